#pragma once

#include "support/routing_cluster.hpp"

#include <cmath>
#include <random>
#include <string>
#include <utility>

namespace azureshore::fakes {

// Generates service times with a heavy-tailed lognormal distribution.
class work_generator {
public:
    explicit work_generator(std::uint64_t seed) : engine(seed) {}

    duration next_work()
    {
        return duration(static_cast<std::int64_t>(this->work(this->engine) * 1e6));
    }

    // Returns the time to the next arrival of a Poisson process.
    duration next_interarrival_time(double per_second)
    {
        std::exponential_distribution<double> distribution(per_second);
        return duration(static_cast<std::int64_t>(distribution(this->engine) * 1e9));
    }

    std::size_t next_index(std::size_t count) { return this->engine() % count; }

    static constexpr double mean_ms = 9.6;
    static constexpr double sigma = 1.2;

private:
    std::mt19937_64 engine;
    std::lognormal_distribution<double> work{std::log(mean_ms) - sigma * sigma / 2, sigma};
};

// Generates load, as a share of the service's total capacity, on VMs chosen at random.
class load_source {
public:
    load_source(cluster& cluster_under_load, double load, std::uint64_t seed)
        : service(cluster_under_load), work_times(seed), relative_load(load)
    {
    }

    void start() { this->arrive(); }
    void set_load(double load) { this->relative_load = load; }
    void stop() { this->relative_load = 0; }

    unsigned callers = 200;
    duration time_left = seconds(2);
    // Receives each request's work.
    std::function<void(duration)> observer;

private:
    void arrive()
    {
        if (this->relative_load <= 0) {
            return;
        }
        const auto& setup = this->service.setup;
        const double slots = setup.backends * setup.traits.slots;
        const double rate = this->relative_load * slots * 1000 / work_generator::mean_ms;
        this->service.clock.after(this->work_times.next_interarrival_time(rate), [this] {
            const auto work = this->work_times.next_work();
            const auto vm = static_cast<int>(this->work_times.next_index(this->service.setup.vms));
            const auto caller =
                "caller-" + std::to_string(this->work_times.next_index(this->callers));
            if (!this->service.dead.contains(vm)) {
                if (this->observer) {
                    this->observer(work);
                }
                this->service.begin(vm, caller, work, this->time_left);
            }
            this->arrive();
        });
    }

    cluster& service;
    work_generator work_times;
    double relative_load;
};

} // namespace azureshore::fakes
