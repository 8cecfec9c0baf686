// Runs random schedules of requests, callers that disconnect, and servers that hang, crash, lose
// answers, turn cold, are removed and come back. An oracle that sees which request ran where checks
// the invariants of the dispatcher.

#include "balance/dispatch_simulation.hpp"
#include "support/environment.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace azureshore;
using namespace azureshore::balance;
using namespace azureshore::test;
using namespace std::chrono_literals;

namespace {

constexpr duration target = 400ms;
constexpr duration timeout = 1500ms;
// Requests sent before a daemon learned of a change arrive up to this much later.
constexpr duration network_delay = 500us;
// The users' limit for an answer after the timeout of its route.
constexpr duration answer_slack = 250ms;
// The users' limit for a cold server, over all daemons and any second: the rate times the factor,
// plus the burst.
constexpr double cold_rate = 3;
constexpr double cold_rate_factor = 1.5;
constexpr double cold_burst = 8;

struct time_span {
    time_point from;
    time_point until = time_point::max();
};

class schedule {
public:
    schedule(std::uint64_t seed, duration time_between_readings)
        : random(seeded_random(seed)), daemons(1 + this->random_below(4)),
          servers(2 + this->random_below(4)), simulation(daemons, seed)
    {
        this->simulation.time_between_readings = time_between_readings;
        this->bounds.retry_slack = 4 + static_cast<double>(this->random_below(8));
        for (std::size_t i = 0; i < this->daemons; ++i) {
            this->simulation.dispatcher(i).set_bounds(this->bounds);
        }
        auto configured = one_service("plates", true, target, timeout);
        auto orders = one_service("orders", false, target, timeout);
        orders.routes.front().services = configured.routes.front().services;
        configured.routes.push_back(orders.routes.front());
        this->simulation.configure(configured);
        for (std::size_t i = 0; i < this->servers; ++i) {
            server_traits traits;
            traits.slots = 1 + this->random_below(4);
            traits.queue = this->random_below(5);
            traits.work = milliseconds(10 + this->random_below(120));
            traits.slow_share = this->chance(0.5) ? 0.1 : 0;
            traits.data_centre = {this->chance(0.5) ? "khan-el-khalili" : "shubra"};
            this->simulation.add_server(this->name(i), "plates", traits);
        }
    }

    std::string run()
    {
        const auto steps = 30 + this->random_below(120);
        for (std::size_t i = 0; i < steps; ++i) {
            this->step();
            this->simulation.clock.run_for(microseconds(this->random_below(60'000)));
        }
        for (std::size_t i = 0; i < this->servers; ++i) {
            if (this->simulation.faults(this->name(i)).cold != duration::zero()) {
                this->toggle_cold(i);
            }
            this->simulation.faults(this->name(i)) = {};
        }
        this->simulation.clock.run_for(2 * timeout);
        return this->check_invariants();
    }

private:
    using milliseconds = std::chrono::milliseconds;
    using microseconds = std::chrono::microseconds;

    struct sent_request {
        std::size_t daemon = 0;
        bool idempotent = true;
        time_point at;
        duration caller_timeout{};
        std::optional<time_point> disconnected_at;
    };

    void step()
    {
        const auto server = this->random_below(this->servers);
        auto& faults = this->simulation.faults(this->name(server));
        switch (this->random_below(20)) {
        case 0:
            faults.unresponsive = !faults.unresponsive;
            break;
        case 1:
            faults.unreachable = !faults.unreachable;
            break;
        case 2:
            faults.crashes = !faults.crashes;
            break;
        case 3:
            faults.errors = !faults.errors;
            break;
        case 4:
            faults.declines = !faults.declines;
            break;
        case 5:
            faults.loses_answers = !faults.loses_answers;
            break;
        case 6:
            faults.reports_unhealthy = !faults.reports_unhealthy;
            break;
        case 7:
            this->toggle_cold(server);
            break;
        case 8:
            this->remove_or_restore(server);
            break;
        case 9:
            this->toggle_shubra_in_service();
            break;
        case 10:
            this->disconnect_last_caller();
            break;
        default:
            for (std::size_t i = 0; i <= this->random_below(6); ++i) {
                this->send_request();
            }
        }
    }

    void send_request()
    {
        sent_request sent;
        sent.daemon = this->random_below(this->daemons);
        sent.idempotent = this->chance(0.6);
        sent.at = this->simulation.clock.now();
        sent.caller_timeout = milliseconds(50 + this->random_below(2500));
        // Some requests are repeated with the same content.
        const auto fingerprint = this->chance(0.2) ? 7 : 0;
        const auto key =
            this->simulation.request(sent.daemon, sent.idempotent ? "/plates/1" : "/orders/1",
                                     sent.caller_timeout, fingerprint);
        this->requests[key] = sent;
    }

    void disconnect_last_caller()
    {
        if (this->requests.empty()) {
            return;
        }
        auto& [key, request] = *std::prev(this->requests.end());
        const auto found = this->simulation.outcomes.find(key);
        const bool ended = found != this->simulation.outcomes.end() && found->second.answers > 0;
        if (!ended && !request.disconnected_at) {
            request.disconnected_at = this->simulation.clock.now();
            this->simulation.disconnect_caller(request.daemon, key);
        }
    }

    void toggle_cold(std::size_t server)
    {
        auto& cold_remaining = this->simulation.faults(this->name(server)).cold;
        if (cold_remaining == duration::zero()) {
            cold_remaining = 3s;
            this->cold_spans[this->name(server)].push_back({this->simulation.clock.now()});
        }
        else {
            cold_remaining = duration::zero();
            this->cold_spans[this->name(server)].back().until = this->simulation.clock.now();
        }
    }

    void remove_or_restore(std::size_t server)
    {
        auto& spans = this->removed_spans[this->name(server)];
        auto registration = this->simulation.registration_of(this->name(server));
        registration.sequence = ++this->sequence;
        const bool returns = !spans.empty() && spans.back().until == time_point::max();
        const bool drains = !returns && this->chance(0.5);
        registration.draining = drains;
        for (std::size_t i = 0; i < this->daemons; ++i) {
            auto& daemon = this->simulation.dispatcher(i);
            returns || drains ? daemon.backend_changed(registration)
                              : daemon.backend_removed(registration.id);
        }
        if (returns) {
            spans.back().until = this->simulation.clock.now();
        }
        else {
            spans.push_back({this->simulation.clock.now()});
        }
    }

    void toggle_shubra_in_service()
    {
        this->shubra_out_of_service = !this->shubra_out_of_service;
        std::set<data_centre_id> out_of_service;
        if (this->shubra_out_of_service) {
            out_of_service.insert({"shubra"});
        }
        for (std::size_t i = 0; i < this->daemons; ++i) {
            this->simulation.dispatcher(i).set_out_of_service(out_of_service);
        }
        if (this->shubra_out_of_service) {
            this->shubra_spans.push_back({this->simulation.clock.now()});
        }
        else {
            this->shubra_spans.back().until = this->simulation.clock.now();
        }
    }

    [[nodiscard]] static bool is_within(const std::vector<time_span>& spans, time_point when)
    {
        return std::any_of(spans.begin(), spans.end(), [when](const time_span& each) {
            return when > each.from + network_delay && when < each.until;
        });
    }

    std::string check_invariants()
    {
        for (const auto& [key, request] : this->requests) {
            if (auto violation = this->check_request(key, request); !violation.empty()) {
                return "request " + std::to_string(key) + ' ' + violation;
            }
        }
        for (const auto& each : this->simulation.arrivals) {
            const auto spans = this->removed_spans.find(each.backend.value);
            const bool was_removed =
                spans != this->removed_spans.end() && is_within(spans->second, each.at);
            const auto data_centre =
                this->simulation.registration_of(each.backend.value).data_centre;
            if (was_removed ||
                (data_centre.value == "shubra" && is_within(this->shubra_spans, each.at))) {
                return "request " + std::to_string(each.key) + " was sent to " +
                       each.backend.value + " after that server was taken out of service" +
                       (was_removed ? "" : ", together with its data centre");
            }
        }
        for (std::size_t i = 0; i < this->daemons; ++i) {
            if (this->simulation.dispatcher(i).in_flight() != 0) {
                return "a request is still in flight at the end of the schedule";
            }
        }
        auto violation = this->check_retry_budget();
        return violation.empty() ? this->check_cold_rates() : violation;
    }

    std::string check_request(std::uint64_t key, const sent_request& request)
    {
        std::size_t sends = 0;
        std::size_t runs = 0;
        for (const auto& each : this->simulation.arrivals) {
            if (each.key != key) {
                continue;
            }
            ++sends;
            runs += each.ran ? 1 : 0;
            if (request.disconnected_at && each.at > *request.disconnected_at + network_delay) {
                return "was sent after its caller had disconnected";
            }
        }
        const auto& result = this->simulation.outcomes[key];
        const std::size_t max_sends = 2;
        const int status = result.refused ? result.refused->status : 0;
        const bool says_not_run = status == 503 || status == 429 || status == 408 || status == 421;
        if (result.answers > 1) {
            return "got two final answers";
        }
        if (result.answers == 0 && !request.disconnected_at) {
            return "got no final answer";
        }
        if (sends > max_sends) {
            return "was sent more often than the route allows";
        }
        if (!request.idempotent && runs > 1) {
            return "is not idempotent and ran twice";
        }
        if (!request.idempotent && says_not_run && runs > 0) {
            return "was refused as not run, although it ran";
        }
        if (result.answers > 0 && result.took > timeout + answer_slack) {
            return "was held past the timeout of its route, for " +
                   std::to_string(std::chrono::duration_cast<milliseconds>(result.took).count()) +
                   " ms, and then got status " + std::to_string(result.status);
        }
        return {};
    }

    // The second sends of all daemons together stay within the shared retry budget.
    std::string check_retry_budget()
    {
        std::map<std::uint64_t, std::size_t> send_counts;
        std::vector<time_point> second_sends;
        for (const auto& each : this->simulation.arrivals) {
            if (++send_counts[each.key] > 1) {
                second_sends.push_back(each.at);
            }
        }
        for (const auto& last : second_sends) {
            const auto window_begin = last - this->bounds.retry_window;
            const auto sends =
                std::count_if(second_sends.begin(), second_sends.end(),
                              [&](time_point at) { return at > window_begin && at <= last; });
            const auto request_count =
                std::count_if(this->requests.begin(), this->requests.end(), [&](const auto& each) {
                    return each.second.at > window_begin - this->bounds.retry_window &&
                           each.second.at <= last;
                });
            if (static_cast<double>(sends) >
                this->bounds.retry_ratio * static_cast<double>(request_count) +
                    this->bounds.retry_slack) {
                return std::to_string(sends) +
                       " sends beyond the first, over the retry budget for " +
                       std::to_string(request_count) + " requests";
            }
        }
        return {};
    }

    std::string check_cold_rates()
    {
        for (const auto& [server, spans] : this->cold_spans) {
            for (const auto& span : spans) {
                std::vector<time_point> arrival_times;
                for (const auto& each : this->simulation.arrivals) {
                    if (each.backend.value == server && each.at > span.from &&
                        each.at < span.until) {
                        arrival_times.push_back(each.at);
                    }
                }
                for (const auto& first : arrival_times) {
                    const auto count = std::count_if(
                        arrival_times.begin(), arrival_times.end(),
                        [&](time_point at) { return at >= first && at < first + 1s; });
                    if (static_cast<double>(count) > cold_rate * cold_rate_factor + cold_burst) {
                        return server + " was cold and got " + std::to_string(count) +
                               " requests in a second, more than its limit";
                    }
                }
            }
        }
        return {};
    }

    [[nodiscard]] static std::string name(std::size_t server)
    {
        return "plate-" + std::to_string(server);
    }
    std::size_t random_below(std::size_t count) { return uniform_index(this->random, count); }
    bool chance(double share) { return uniform(this->random) < share; }

    random_source random;
    std::size_t daemons;
    std::size_t servers;
    shared_bounds bounds;
    dispatch_simulation simulation;
    std::map<std::uint64_t, sent_request> requests;
    std::map<std::string, std::vector<time_span>> removed_spans;
    std::map<std::string, std::vector<time_span>> cold_spans;
    std::vector<time_span> shubra_spans;
    bool shubra_out_of_service = false;
    std::uint64_t sequence = 100;
};

void run_schedules(duration time_between_readings)
{
#ifdef __SANITIZE_ADDRESS__
    constexpr std::uint64_t usual_schedules = 300;
#else
    constexpr std::uint64_t usual_schedules = 3000;
#endif
    const auto schedules = test_support::number_from("AZURESHORE_SCHEDULES", usual_schedules);
    const auto first = test_support::number_from("AZURESHORE_SEED", 1);
    for (auto seed = first; seed < first + schedules; ++seed) {
        const auto violation = schedule(seed, time_between_readings).run();
        BOOST_TEST(violation.empty(), "AZURESHORE_SEED=" << seed << ": " << violation);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_schedules)

BOOST_AUTO_TEST_CASE(dispatcher_invariants_hold_under_random_schedules)
{
    run_schedules(duration{});
}

// The order of waiting requests depends on the time, so it must not change within one decision.
BOOST_AUTO_TEST_CASE(dispatcher_invariants_hold_while_time_passes_within_a_decision)
{
    run_schedules(std::chrono::microseconds(20));
}

BOOST_AUTO_TEST_SUITE_END()
