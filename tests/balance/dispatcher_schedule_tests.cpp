// Random schedules of requests, callers who leave, and servers that hang, crash, lie, turn cold,
// leave and come back, against an oracle that sees what ran where.

#include "balance/dispatch_world.hpp"
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
// What was decided before a daemon learned of something is on its way for that long.
constexpr duration one_way = 500us;
// The users' bound for an answer after the time-out of a route.
constexpr duration answer_slack = 250ms;
// The users' bound for a cold server, over all daemons and any second.
constexpr double cold_rate = 3;
constexpr double cold_overshoot = 1.5;
constexpr double cold_slack = 8;

struct closed_span {
    time_point from;
    time_point until = time_point::max();
};

class schedule {
public:
    explicit schedule(std::uint64_t seed)
        : random(seeded_random(seed)), daemons(1 + this->below(4)), servers(2 + this->below(4)),
          world(daemons, seed)
    {
        this->bounds.retry_slack = 4 + static_cast<double>(this->below(8));
        for (std::size_t i = 0; i < this->daemons; ++i) {
            this->world.dispatcher(i).set_bounds(this->bounds);
        }
        auto configured = one_service("plates", true, target, timeout);
        auto orders = one_service("orders", false, target, timeout);
        orders.routes.front().services = configured.routes.front().services;
        configured.routes.push_back(orders.routes.front());
        this->world.configure(configured);
        for (std::size_t i = 0; i < this->servers; ++i) {
            server_traits traits;
            traits.slots = 1 + this->below(4);
            traits.queue = this->below(5);
            traits.work = milliseconds(10 + this->below(120));
            traits.slow_share = this->chance(0.5) ? 0.1 : 0;
            traits.data_centre = {this->chance(0.5) ? "khan-el-khalili" : "shubra"};
            this->world.add_server(this->name(i), "plates", traits);
        }
    }

    std::string run()
    {
        const auto steps = 30 + this->below(120);
        for (std::size_t i = 0; i < steps; ++i) {
            this->step();
            this->world.clock.run_for(microseconds(this->below(60'000)));
        }
        for (std::size_t i = 0; i < this->servers; ++i) {
            if (this->world.trouble(this->name(i)).cold != duration::zero()) {
                this->turn_cold(i);
            }
            this->world.trouble(this->name(i)) = {};
        }
        this->world.clock.run_for(2 * timeout);
        return this->verdict();
    }

private:
    using milliseconds = std::chrono::milliseconds;
    using microseconds = std::chrono::microseconds;

    struct asked {
        std::size_t daemon = 0;
        bool idempotent = true;
        time_point at;
        duration patience{};
        std::optional<time_point> left;
    };

    void step()
    {
        const auto server = this->below(this->servers);
        auto& trouble = this->world.trouble(this->name(server));
        switch (this->below(20)) {
        case 0:
            trouble.mute = !trouble.mute;
            break;
        case 1:
            trouble.unreachable = !trouble.unreachable;
            break;
        case 2:
            trouble.crashes = !trouble.crashes;
            break;
        case 3:
            trouble.errors = !trouble.errors;
            break;
        case 4:
            trouble.declines = !trouble.declines;
            break;
        case 5:
            trouble.loses_answers = !trouble.loses_answers;
            break;
        case 6:
            trouble.says_ill = !trouble.says_ill;
            break;
        case 7:
            this->turn_cold(server);
            break;
        case 8:
            this->leave_or_return(server);
            break;
        case 9:
            this->change_service_of_shubra();
            break;
        case 10:
            this->caller_leaves();
            break;
        default:
            for (std::size_t i = 0; i <= this->below(6); ++i) {
                this->ask();
            }
        }
    }

    void ask()
    {
        asked made;
        made.daemon = this->below(this->daemons);
        made.idempotent = this->chance(0.6);
        made.at = this->world.clock.now();
        made.patience = milliseconds(50 + this->below(2500));
        // Some requests come again and again with the same content.
        const auto fingerprint = this->chance(0.2) ? 7 : 0;
        const auto key = this->world.request(
            made.daemon, made.idempotent ? "/plates/1" : "/orders/1", made.patience, fingerprint);
        this->requests[key] = made;
    }

    void caller_leaves()
    {
        if (this->requests.empty()) {
            return;
        }
        auto& [key, of] = *std::prev(this->requests.end());
        const auto found = this->world.outcomes.find(key);
        const bool ended = found != this->world.outcomes.end() && found->second.answers > 0;
        if (!ended && !of.left) {
            of.left = this->world.clock.now();
            this->world.caller_leaves(of.daemon, key);
        }
    }

    void turn_cold(std::size_t server)
    {
        auto& left = this->world.trouble(this->name(server)).cold;
        if (left == duration::zero()) {
            left = 3s;
            this->cold[this->name(server)].push_back({this->world.clock.now()});
        }
        else {
            left = duration::zero();
            this->cold[this->name(server)].back().until = this->world.clock.now();
        }
    }

    void leave_or_return(std::size_t server)
    {
        auto& spans = this->closed[this->name(server)];
        auto registration = this->world.registration_of(this->name(server));
        registration.sequence = ++this->sequence;
        const bool returns = !spans.empty() && spans.back().until == time_point::max();
        const bool drains = !returns && this->chance(0.5);
        registration.draining = drains;
        for (std::size_t i = 0; i < this->daemons; ++i) {
            auto& daemon = this->world.dispatcher(i);
            returns || drains ? daemon.backend_changed(registration)
                              : daemon.backend_removed(registration.id);
        }
        if (returns) {
            spans.back().until = this->world.clock.now();
        }
        else {
            spans.push_back({this->world.clock.now()});
        }
    }

    void change_service_of_shubra()
    {
        this->shubra_out = !this->shubra_out;
        std::set<data_centre_id> out;
        if (this->shubra_out) {
            out.insert({"shubra"});
        }
        for (std::size_t i = 0; i < this->daemons; ++i) {
            this->world.dispatcher(i).set_out_of_service(out);
        }
        if (this->shubra_out) {
            this->shubra.push_back({this->world.clock.now()});
        }
        else {
            this->shubra.back().until = this->world.clock.now();
        }
    }

    [[nodiscard]] static bool within(const std::vector<closed_span>& spans, time_point when)
    {
        return std::any_of(spans.begin(), spans.end(), [when](const closed_span& each) {
            return when > each.from + one_way && when < each.until;
        });
    }

    std::string verdict()
    {
        for (const auto& [key, of] : this->requests) {
            if (auto fault = this->verdict_on(key, of); !fault.empty()) {
                return "request " + std::to_string(key) + ' ' + fault;
            }
        }
        for (const auto& each : this->world.arrivals) {
            const auto spans = this->closed.find(each.backend.value);
            const bool gone = spans != this->closed.end() && within(spans->second, each.at);
            const auto in = this->world.registration_of(each.backend.value).data_centre;
            if (gone || (in.value == "shubra" && within(this->shubra, each.at))) {
                return "request " + std::to_string(each.key) + " was sent to " +
                       each.backend.value + " after it had left" +
                       (gone ? "" : ", by its data centre");
            }
        }
        for (std::size_t i = 0; i < this->daemons; ++i) {
            if (this->world.dispatcher(i).in_flight() != 0) {
                return "a request is still held";
            }
        }
        auto fault = this->verdict_on_second_sends();
        return fault.empty() ? this->verdict_on_cold_servers() : fault;
    }

    std::string verdict_on(std::uint64_t key, const asked& of)
    {
        std::size_t sent = 0;
        std::size_t ran = 0;
        for (const auto& each : this->world.arrivals) {
            if (each.key != key) {
                continue;
            }
            ++sent;
            ran += each.ran ? 1 : 0;
            if (of.left && each.at > *of.left + one_way) {
                return "was sent after its caller had left";
            }
        }
        const auto& ended = this->world.outcomes[key];
        const std::size_t most_sends = 2;
        const int status = ended.refused ? ended.refused->status : 0;
        const bool says_not_run = status == 503 || status == 429 || status == 408 || status == 421;
        if (ended.answers > 1) {
            return "got two final answers";
        }
        if (ended.answers == 0 && !of.left) {
            return "got no final answer";
        }
        if (sent > most_sends) {
            return "was sent more often than the route allows";
        }
        if (!of.idempotent && ran > 1) {
            return "is not idempotent and ran twice";
        }
        if (!of.idempotent && says_not_run && ran > 0) {
            return "was refused as not run and ran";
        }
        if (ended.answers > 0 && ended.took > timeout + answer_slack) {
            return "was held past the time-out of its route, for " +
                   std::to_string(std::chrono::duration_cast<milliseconds>(ended.took).count()) +
                   " ms, and then got " + std::to_string(ended.status);
        }
        return {};
    }

    // Each daemon has its part of the budget, and all together the whole.
    std::string verdict_on_second_sends()
    {
        std::map<std::uint64_t, std::size_t> seen;
        std::vector<time_point> extra;
        for (const auto& each : this->world.arrivals) {
            if (++seen[each.key] > 1) {
                extra.push_back(each.at);
            }
        }
        for (const auto& last : extra) {
            const auto from = last - this->bounds.retry_window;
            const auto sends = std::count_if(
                extra.begin(), extra.end(), [&](time_point at) { return at > from && at <= last; });
            const auto asked_in =
                std::count_if(this->requests.begin(), this->requests.end(), [&](const auto& each) {
                    return each.second.at > from - this->bounds.retry_window &&
                           each.second.at <= last;
                });
            if (static_cast<double>(sends) >
                this->bounds.retry_ratio * static_cast<double>(asked_in) +
                    this->bounds.retry_slack) {
                return std::to_string(sends) + " second sends for " + std::to_string(asked_in) +
                       " requests";
            }
        }
        return {};
    }

    std::string verdict_on_cold_servers()
    {
        for (const auto& [server, spans] : this->cold) {
            for (const auto& span : spans) {
                std::vector<time_point> came;
                for (const auto& each : this->world.arrivals) {
                    if (each.backend.value == server && each.at > span.from &&
                        each.at < span.until) {
                        came.push_back(each.at);
                    }
                }
                for (const auto& first : came) {
                    const auto count = std::count_if(came.begin(), came.end(), [&](time_point at) {
                        return at >= first && at < first + 1s;
                    });
                    if (static_cast<double>(count) > cold_rate * cold_overshoot + cold_slack) {
                        return server + " was cold and got " + std::to_string(count) +
                               " requests in a second";
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
    std::size_t below(std::size_t count) { return uniform_index(this->random, count); }
    bool chance(double share) { return uniform(this->random) < share; }

    random_source random;
    std::size_t daemons;
    std::size_t servers;
    shared_bounds bounds;
    dispatch_world world;
    std::map<std::uint64_t, asked> requests;
    std::map<std::string, std::vector<closed_span>> closed;
    std::map<std::string, std::vector<closed_span>> cold;
    std::vector<closed_span> shubra;
    bool shubra_out = false;
    std::uint64_t sequence = 100;
};

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_schedules)

BOOST_AUTO_TEST_CASE(no_schedule_breaks_what_a_dispatcher_promises)
{
#ifdef __SANITIZE_ADDRESS__
    constexpr std::uint64_t usual_schedules = 300;
#else
    constexpr std::uint64_t usual_schedules = 3000;
#endif
    const auto schedules = test_support::number_from("AZURESHORE_SCHEDULES", usual_schedules);
    const auto first = test_support::number_from("AZURESHORE_SEED", 1);
    for (auto seed = first; seed < first + schedules; ++seed) {
        const auto verdict = schedule(seed).run();
        BOOST_TEST(verdict.empty(), "AZURESHORE_SEED=" << seed << ": " << verdict);
    }
}

BOOST_AUTO_TEST_SUITE_END()
