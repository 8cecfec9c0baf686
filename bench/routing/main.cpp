// Compares ways to choose a backend server in virtual time, from a seed, beside one perfect
// queue over the same servers.

#include "baselines.hpp"
#include "support/routing_load.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>
#include <queue>
#include <string>
#include <vector>

using namespace azureshore;
using namespace azureshore::fakes;

namespace {

constexpr double ramp_load = 0.4;
constexpr duration ramp_time = seconds(4);

struct house {
    std::string name;
    unsigned vms;
    unsigned backends;
    unsigned slots;
    duration probe_cost;
};

struct event {
    std::string name;
    // Starts and ends the event, a third and two thirds into the measured time.
    std::function<void(cluster&)> start;
    std::function<void(cluster&)> end;
};

struct options {
    std::uint64_t seed = 1;
    unsigned seconds_measured = 20;
    // Requests that a backend server queues before it refuses.
    unsigned backlog = backend_traits{}.backlog;
    // Only this load and no events, unless zero.
    double only_load = 0;
};

// One first-come first-served queue without trips over all slots.
class perfect_queue {
public:
    perfect_queue(unsigned slots) { this->free_at.assign(slots, time_point{}); }

    void add(time_point now, duration work)
    {
        std::pop_heap(this->free_at.begin(), this->free_at.end(), std::greater<>());
        const auto end = std::max(this->free_at.back(), now) + work;
        this->free_at.back() = end;
        std::push_heap(this->free_at.begin(), this->free_at.end(), std::greater<>());
        this->latencies_ms.push_back(to_milliseconds(end - now));
    }

    std::vector<double> latencies_ms;

private:
    std::vector<time_point> free_at;
};

double percentile(std::vector<double>& values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto place = std::min(
        values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<long>(place), values.end());
    return values[place];
}

void print_head()
{
    std::printf("| house | way | load | event | p50 | p99 | p99.9 | refused %% | failed %% | "
                "goodput | most on cold | over cold | probes | messages |\n"
                "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

void print_perfect(const house& place, double load, perfect_queue& queue)
{
    auto& all = queue.latencies_ms;
    std::printf("| %s | perfect queue | %.2f | none | %.1f | %.1f | %.1f | | | | | | | |\n",
                place.name.c_str(), load, percentile(all, 0.5), percentile(all, 0.99),
                percentile(all, 0.999));
}

void print_row(const house& place, const std::string& way, double load, const std::string& event,
               cluster& service, const outcome_counts& before, std::size_t probes_before)
{
    auto& counts = service.counts;
    const auto begun = static_cast<double>(counts.begun - before.begun);
    const auto share = [begun](std::uint64_t now, std::uint64_t then) {
        return static_cast<double>(now - then) / begun;
    };
    unsigned most = 0;
    unsigned over = 0;
    for (const auto& each : service.backends) {
        most = std::max(most, each->max_load_after_cold_start);
        over += each->arrivals_over_cold_limit;
    }
    std::printf("| %s | %s | %.2f | %s | %.1f | %.1f | %.1f | %.2f | %.2f | %.3f | %u | %u | %zu | "
                "%.2f |\n",
                place.name.c_str(), way.c_str(), load, event.c_str(),
                percentile(counts.latencies_ms, 0.5), percentile(counts.latencies_ms, 0.99),
                percentile(counts.latencies_ms, 0.999), 100 * share(counts.refused, before.refused),
                100 * share(counts.failed, before.failed),
                load * share(counts.answered, before.answered), most, over,
                counts.probes.size() - probes_before, share(counts.messages, before.messages));
    std::fflush(stdout);
}

void run(const options& wanted, const house& place, const std::string& way,
         const routing_strategy_factory& make, double load, const event& happens, bool show_perfect)
{
    cluster_setup setup;
    setup.seed = wanted.seed;
    setup.vms = place.vms;
    setup.backends = place.backends;
    setup.traits.slots = place.slots;
    setup.traits.backlog = wanted.backlog;
    setup.limits.slots = place.slots;
    setup.probe_cost = place.probe_cost;
    setup.make_strategy = make;
    cluster service(setup);
    perfect_queue perfect(place.backends * place.slots);
    service.publish();
    load_source source(service, std::min(load, ramp_load), wanted.seed);
    source.start();
    service.clock.run_for(ramp_time);
    source.set_load(load);
    source.observer = [&](duration work) {
        perfect.add(service.clock.now(), work);
    };
    service.counts.latencies_ms.clear();
    const auto before = service.counts;
    const auto third = milliseconds(wanted.seconds_measured * 1000 / 3);
    service.clock.run_for(third);
    happens.start(service);
    service.clock.run_for(third);
    happens.end(service);
    service.clock.run_for(third);
    if (show_perfect) {
        print_perfect(place, load, perfect);
    }
    print_row(place, way, load, happens.name, service, before, before.probes.size());
}

void nothing(cluster&) {}

// The third data centre comes back, all its backend servers just started.
void back_cold(cluster& service)
{
    const auto step = service.setup.data_centres.size();
    for (std::size_t i = step - 1; i < service.backends.size(); i += step) {
        service.backends[i]->start_cold();
    }
    service.set_out_of_service("maadi", false);
}

options read_options(int argc, char** argv)
{
    namespace po = boost::program_options;
    options wanted;
    po::options_description described("azureshore-bench-routing");
    described.add_options()("seed", po::value(&wanted.seed), "seed of all random numbers")(
        "seconds", po::value(&wanted.seconds_measured), "virtual seconds measured in each run")(
        "backlog", po::value(&wanted.backlog), "requests that a backend server queues")(
        "load", po::value(&wanted.only_load), "run only this load, without events");
    po::variables_map found;
    po::store(po::parse_command_line(argc, argv, described), found);
    po::notify(found);
    return wanted;
}

} // namespace

int main(int argc, char** argv)
{
    const auto wanted = read_options(argc, argv);
    const std::vector<house> houses{{"catalogue", 13, 12, 2, milliseconds(6)},
                                    {"ordbog", 14, 14, 4, duration{}}};
    const std::vector<std::pair<std::string, routing_strategy_factory>> ways{
        {"permits", make_service_router},
        {"power of two", bench::make_power_of_two},
        {"fixed subset", bench::make_fixed_subset}};
    const event none{"none", nothing, nothing};
    const std::vector<event> events{
        {"data centre out and back",
         [](cluster& service) { service.set_out_of_service("maadi", true); }, back_cold},
        {"one turns cold", [](cluster& service) { service.backends[0]->turn_cold(); }, nothing},
        {"leader paused 1 s",
         [](cluster& service) { service.pause_vm(service.first_leader(), seconds(1)); }, nothing}};
    print_head();
    for (const auto& place : houses) {
        for (const double load : {0.3, 0.7, 0.9, 0.95, 1.2, 3.0}) {
            if (wanted.only_load != 0 && load != wanted.only_load) {
                continue;
            }
            for (const auto& [name, make] : ways) {
                run(wanted, place, name, make, load, none, name == "permits");
            }
        }
        for (const auto& each : events) {
            if (wanted.only_load != 0) {
                break;
            }
            for (const auto& [name, make] : ways) {
                run(wanted, place, name, make, 0.6, each, false);
            }
        }
    }
    return 0;
}
