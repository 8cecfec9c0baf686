// Compares the dispatchers of many gateways under a shortage of capacity with one ideal queue, in
// virtual time. The arguments are the seed and the seconds measured.

#include "balance/dispatch_simulation.hpp"
#include "ideal_queue.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

using namespace azureshore;
using namespace azureshore::bench;
using namespace std::chrono_literals;

namespace {

constexpr double crowded_factor = 1.7;
constexpr double warm_up_load = 0.5;
constexpr duration warm_up = 5s;
// Attempts of one caller at different gateways.
constexpr std::size_t max_tries = 4;

struct run_result {
    std::vector<kind_result> kinds;
    std::size_t runs = 0;
    std::size_t delivered = 0;
};

// Callers that follow Retry-After, and the gateways and servers that serve them.
class gateway_run {
public:
    gateway_run(const load_deployment& served, std::uint64_t seed)
        : deployment(served), simulation(served.gateways, seed), kinds(served.kinds.size())
    {
        this->simulation.configure(configuration_of(served));
        for (const auto& each : served.kinds) {
            this->simulation.set_work('/' + each.name + '/', each.work);
        }
        for (std::size_t i = 0; i < served.servers; ++i) {
            test::server_traits traits;
            traits.slots = server_slots;
            traits.queue = 12;
            traits.crowded_factor = crowded_factor;
            traits.declines_when_full = true;
            this->simulation.add_server(fmt::format("server-{}", i), "service", traits);
        }
        this->simulation.answered = [this](const test::outcome& result) {
            this->answered(result);
        };
    }

    run_result run(double load, duration span)
    {
        this->generate(warm_up_load, warm_up, false);
        this->simulation.clock.run_for(warm_up);
        this->generate(load, span, true);
        this->simulation.clock.run_for(span + 8s);
        return {this->kinds, this->simulation.runs, this->delivered};
    }

private:
    struct caller {
        std::size_t kind = 0;
        bool measured = false;
        time_point since;
        std::size_t tries = 0;
    };

    void generate(double load, duration span, bool measured)
    {
        double total = 0;
        for (const auto& each : this->deployment.kinds) {
            total += each.rate;
        }
        for (std::size_t kind = 0; kind < this->kinds.size(); ++kind) {
            const double per_second =
                load * this->deployment.capacity() * this->deployment.kinds[kind].rate / total;
            auto at = this->simulation.clock.now();
            const auto end = at + span;
            while (true) {
                const std::chrono::duration<double> gap(
                    -std::log(1 - uniform(this->simulation.random)) / per_second);
                at += std::chrono::duration_cast<duration>(gap);
                if (at >= end) {
                    break;
                }
                this->kinds[kind].requests += measured ? 1 : 0;
                this->simulation.clock.at(at, [this, kind, measured, at] {
                    this->call({kind, measured, at, 0});
                });
            }
        }
    }

    void call(caller next)
    {
        const auto& kind = this->deployment.kinds[next.kind];
        const auto left = next.since + kind.caller_timeout - this->simulation.clock.now();
        if (left <= 0s || next.tries == max_tries) {
            return;
        }
        ++next.tries;
        const auto gateway = uniform_index(this->simulation.random, this->deployment.gateways);
        // The answer may come before the call returns.
        this->callers[this->last_key + 1] = next;
        this->last_key = this->simulation.request(gateway, '/' + kind.name + "/1", left);
    }

    void answered(const test::outcome& result)
    {
        const auto found = this->callers.find(result.request.value);
        const auto ended = found->second;
        this->callers.erase(found);
        const auto& kind = this->deployment.kinds[ended.kind];
        const auto took = this->simulation.clock.now() - ended.since;
        if (result.delivered) {
            if (took <= kind.caller_timeout) {
                ++this->delivered;
                auto& counted = this->kinds[ended.kind];
                counted.in_time += ended.measured && took <= kind.target ? 1 : 0;
                counted.late += ended.measured && took > kind.target ? 1 : 0;
            }
            return;
        }
        if (result.status != 503 && !kind.idempotent) {
            return;
        }
        const auto wait = std::min<duration>(result.refused->retry_after.value_or(50ms),
                                             (kind.caller_timeout - took) / 3);
        this->simulation.clock.after(wait, [this, ended] { this->call(ended); });
    }

    const load_deployment& deployment;
    test::dispatch_simulation simulation;
    std::vector<kind_result> kinds;
    std::map<std::uint64_t, caller> callers;
    std::uint64_t last_key = 0;
    std::size_t delivered = 0;
};

// Returns the worth earned in per cent of the worth of all requests, if served in time.
double worth(const load_deployment& deployment, const std::vector<kind_result>& results)
{
    double sum = 0;
    double offered = 0;
    for (std::size_t i = 0; i < results.size(); ++i) {
        offered += deployment.kinds[i].worth_in_time * static_cast<double>(results[i].requests);
        sum += deployment.kinds[i].worth_in_time * static_cast<double>(results[i].in_time) +
               deployment.kinds[i].worth_late * static_cast<double>(results[i].late);
    }
    return 100 * sum / offered;
}

void print(const load_deployment& deployment, double load, const char* order,
           const run_result& result, double ideal)
{
    std::string kinds;
    for (const auto& each : result.kinds) {
        const auto percent = [&](std::size_t count) {
            return 100 * static_cast<double>(count) / static_cast<double>(each.requests);
        };
        kinds += fmt::format(" {:.0f} / {:.0f} / {:.0f} |", percent(each.in_time),
                             percent(each.late), percent(each.requests - each.in_time - each.late));
    }
    const double value = worth(deployment, result.kinds);
    const double wasted = result.runs == 0
                              ? 0
                              : 100 * static_cast<double>(result.runs - result.delivered) /
                                    static_cast<double>(result.runs);
    fmt::print("| {} | {} | {} | {:.1f} | {:.1f} | {:.1f} |{}\n", deployment.name, load, order,
               value, 100 * value / ideal, wasted, kinds);
}

void compare(const load_deployment& deployment, std::uint64_t seed, duration span)
{
    fmt::print("\n| deployment | load | order | worth % | of ideal % | wasted runs % |");
    for (const auto& each : deployment.kinds) {
        fmt::print(" {}: in time / late / refused % |", each.name);
    }
    fmt::print("\n|---|---|---|---|---|---|");
    for (std::size_t i = 0; i < deployment.kinds.size(); ++i) {
        fmt::print("---|");
    }
    fmt::print("\n");
    for (const double load : {0.7, 0.9, 1.1, 1.5, 2.5}) {
        run_result ideal;
        ideal.kinds = serve_ideally(deployment, load, span, seed);
        const double ideal_worth = worth(deployment, ideal.kinds);
        gateway_run run(deployment, seed);
        print(deployment, load, "gateways", run.run(load, span), ideal_worth);
        print(deployment, load, "ideal", ideal, ideal_worth);
    }
}

} // namespace

int main(int argc, char** argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const auto span = std::chrono::seconds(argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 15);
    compare(planning(), seed, span);
    compare(scooters(), seed, span);
}
