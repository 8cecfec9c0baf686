#pragma once

#include "support/routing_cluster.hpp"

#include <cmath>
#include <random>
#include <string>
#include <utility>

namespace azureshore::fakes {

// Generates service times with a heavy-tailed lognormal distribution.
class service_time_generator {
public:
    explicit service_time_generator(std::uint64_t seed) : engine(seed) {}

    duration next_service_time()
    {
        return duration(static_cast<std::int64_t>(this->service_time_ms(this->engine) * 1e6));
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
    std::lognormal_distribution<double> service_time_ms{std::log(mean_ms) - sigma * sigma / 2,
                                                        sigma};
};

// Generates load, as a share of the service's total capacity, on VMs chosen at random.
class load_source {
public:
    load_source(cluster& cluster_under_load, double load, std::uint64_t seed)
        : service(cluster_under_load), service_times(seed), relative_load(load)
    {
    }

    void start() { this->arrive(); }
    void set_load(double load) { this->relative_load = load; }
    void stop() { this->relative_load = 0; }

    unsigned callers = 200;
    duration time_left = seconds(2);
    // Receives each request's service time.
    std::function<void(duration)> observer;

private:
    void arrive()
    {
        if (this->relative_load <= 0) {
            return;
        }
        const auto& setup = this->service.setup;
        const double slots = setup.backends * setup.traits.slots;
        const double rate = this->relative_load * slots * 1000 / service_time_generator::mean_ms;
        this->service.clock.after(this->service_times.next_interarrival_time(rate), [this] {
            const auto service_time = this->service_times.next_service_time();
            const auto vm =
                static_cast<int>(this->service_times.next_index(this->service.setup.vms));
            const auto caller =
                "caller-" + std::to_string(this->service_times.next_index(this->callers));
            if (!this->service.dead.contains(vm)) {
                if (this->observer) {
                    this->observer(service_time);
                }
                this->service.begin(vm, caller, service_time, this->time_left);
            }
            this->arrive();
        });
    }

    cluster& service;
    service_time_generator service_times;
    double relative_load;
};

} // namespace azureshore::fakes
