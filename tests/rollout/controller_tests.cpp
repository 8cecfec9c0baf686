// Several daemons, a store and a service in virtual time.

#include "azureshore/rollout/rollout.hpp"
#include "support/virtual_clock.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace azureshore;
using namespace std::chrono_literals;
using wire::rollout_phase;

namespace {

const service_id service{"s"};
constexpr duration step = 250ms;
constexpr duration delay = 10ms;

// The states' topic of the store.
struct fake_states {
    std::uint64_t end_offset = 0;
    std::vector<rollout::status_list::entry> written;
    bool available = true;
    // This many further writes take effect and are not answered.
    std::size_t lost_answers = 0;
};

// Daemons in a tree in which each has four below it. The first one decides unless told otherwise.
class rollout_cluster {
public:
    explicit rollout_cluster(std::size_t count, std::uint64_t seed = 1)
        : random(seeded_random(seed)), uses(count, rollout::traffic::moved), credits(count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->start(i);
        }
        this->deciders.insert(0);
        this->tick();
    }

    void start(std::size_t daemon)
    {
        rollout::controller_hooks hooks;
        hooks.direct = [this, daemon](const rollout::order&, rollout::traffic use) {
            this->uses[daemon] = use;
        };
        hooks.release = [](const service_id&) {
        };
        hooks.count = [this](const service_id&, const std::string&) {
            return this->servers;
        };
        hooks.decides = [this, daemon] {
            return this->deciders.contains(daemon);
        };
        hooks.report = [this, daemon](const wire::rollout_report& report) {
            const auto above = daemon == 0 ? *this->deciders.begin() : (daemon - 1) / 4;
            this->pass(daemon, above,
                       [this, above, report] { this->daemons[above]->take_report(report); });
            return true;
        };
        hooks.notify = [this, daemon](const std::vector<wire::rollout_status>& rollouts) {
            ++this->notices;
            for (std::size_t to = 0; to < this->daemons.size(); ++to) {
                if (to != daemon) {
                    this->pass(daemon, to, [this, to, rollouts] {
                        this->daemons[to]->take_notice(this->clock.now(), {rollouts, 1});
                    });
                }
            }
        };
        hooks.list_states = [this](std::function<void(const rollout::status_list&)> done) {
            ++this->store_calls;
            this->clock.after(delay, [this, done = std::move(done)] {
                done({this->states.available, this->states.end_offset, this->states.written});
            });
        };
        hooks.write_state = [this](const rollout::order& order, rollout::decided_state state,
                                   std::uint64_t at,
                                   std::function<void(rollout::write_outcome)> done) {
            ++this->store_calls;
            this->clock.after(delay, [this, order, state, at, done = std::move(done)] {
                done(this->write(order, state, at));
            });
        };
        hooks.random = this->random;
        if (this->daemons.size() <= daemon) {
            this->daemons.resize(daemon + 1);
        }
        this->daemons[daemon] =
            std::make_unique<rollout::controller>(rollout::settings{}, std::move(hooks));
    }

    void order(const std::string& version, duration limit, bool may_be_old = false)
    {
        this->target = version;
        this->ordered_at = this->clock.now();
        for (auto& each : this->daemons) {
            each->take_order(this->clock.now(), {service, version, limit}, may_be_old);
        }
    }

    [[nodiscard]] std::vector<std::string> history() const
    {
        std::vector<std::string> made;
        for (const auto& each : this->states.written) {
            made.push_back(each.new_version +
                           (each.state == rollout::decided_state::running     ? " running"
                            : each.state == rollout::decided_state::completed ? " completed"
                                                                              : " rolled_back"));
        }
        return made;
    }

    // Returns the time from the order until the store holds a final state.
    duration run_until_decided(duration longest)
    {
        const auto decided = [this] {
            return !this->states.written.empty() &&
                   this->states.written.back().new_version == this->target &&
                   this->states.written.back().state != rollout::decided_state::running;
        };
        this->clock.run_while_not(decided, this->clock.now() + longest);
        return this->clock.now() - this->ordered_at;
    }

    void run(duration span) { this->clock.run_until(this->clock.now() + span); }

    [[nodiscard]] bool all_use(rollout::traffic use) const
    {
        return std::all_of(this->uses.begin(), this->uses.end(),
                           [use](auto each) { return each == use; });
    }

    fakes::virtual_clock clock;
    random_source random;
    fake_states states;
    std::vector<std::unique_ptr<rollout::controller>> daemons;
    std::vector<rollout::traffic> uses;
    std::set<std::size_t> deciders;
    // Messages from and to these are lost.
    std::set<std::size_t> cut_off;
    rollout::service_counts servers{40, 40};
    double per_second = 400;
    std::function<double(duration)> failure_rate = [](duration) {
        return 0.0;
    };
    // Whether the servers of the target version are cold all the time.
    bool cold = false;
    std::uint64_t requests = 0;
    std::uint64_t to_target = 0;
    std::uint64_t bad = 0;
    time_point last_to_target;
    std::optional<time_point> fiftieth_bad;
    std::size_t notices = 0;
    std::size_t store_calls = 0;

private:
    void pass(std::size_t from, std::size_t to, std::function<void()> receive)
    {
        if (!this->cut_off.contains(from) && !this->cut_off.contains(to)) {
            this->clock.after(delay, std::move(receive));
        }
    }

    rollout::write_outcome write(const rollout::order& order, rollout::decided_state state,
                                 std::uint64_t at)
    {
        if (!this->states.available) {
            return rollout::write_outcome::unknown;
        }
        if (at != this->states.end_offset) {
            return rollout::write_outcome::conflict;
        }
        ++this->states.end_offset;
        this->states.written.push_back({order.service, order.new_version, state});
        if (this->states.lost_answers > 0) {
            --this->states.lost_answers;
            return rollout::write_outcome::unknown;
        }
        return rollout::write_outcome::written;
    }

    void request(std::size_t daemon)
    {
        ++this->requests;
        const auto use = this->uses[daemon];
        this->credits[daemon] += 0.08;
        const bool exposed = use == rollout::traffic::exposed && this->credits[daemon] >= 1;
        this->credits[daemon] -= exposed ? 1 : 0;
        const bool to_new = exposed || use == rollout::traffic::moved;
        const bool failed = to_new && uniform(this->random) <
                                          this->failure_rate(this->clock.now() - this->ordered_at);
        this->to_target += to_new ? 1 : 0;
        this->bad += failed ? 1 : 0;
        if (to_new) {
            this->last_to_target = this->clock.now();
        }
        if (failed && this->bad == 50) {
            this->fiftieth_bad = this->clock.now();
        }
        this->daemons[daemon]->observe(service, "r" + std::to_string(this->requests % 2),
                                       to_new ? this->target : "old", failed, to_new && this->cold,
                                       100ms);
    }

    void tick()
    {
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            const double expected =
                this->per_second * 0.25 / static_cast<double>(this->daemons.size());
            auto count = static_cast<std::size_t>(expected);
            count += uniform(this->random) < expected - static_cast<double>(count) ? 1 : 0;
            for (std::size_t made = 0; made < count && !this->target.empty(); ++made) {
                this->request(i);
            }
            this->daemons[i]->tick(this->clock.now());
        }
        this->clock.after(step, [this] { this->tick(); });
    }

    std::vector<double> credits;
    std::string target;
    time_point ordered_at;
};

} // namespace

BOOST_AUTO_TEST_SUITE(rollout_controller)

// Guards against a good version that is not completed in time, or before all requests have left the
// old servers.
BOOST_AUTO_TEST_CASE(a_good_version_is_completed_before_its_deadline)
{
    rollout_cluster cluster(40);
    cluster.order("v2", 40s);
    cluster.run(15s);
    BOOST_TEST(cluster.all_use(rollout::traffic::exposed));
    BOOST_TEST((cluster.run_until_decided(60s) < 30s));
    BOOST_TEST(cluster.history() == (std::vector<std::string>{"v2 running", "v2 completed"}));
    BOOST_TEST(cluster.all_use(rollout::traffic::moved));
}

// Guards against a bad version that is served for long or to many.
BOOST_AUTO_TEST_CASE(bad_versions_are_rolled_back_in_time_and_within_their_share)
{
    for (const duration from : {duration(0s), duration(9s), duration(18s)}) {
        rollout_cluster cluster(155);
        cluster.failure_rate = [from](duration at) {
            return at >= from ? 0.3 : 0.0;
        };
        cluster.order("v2", 60s);
        cluster.run_until_decided(80s);
        BOOST_TEST(cluster.history() == (std::vector<std::string>{"v2 running", "v2 rolled_back"}));
        cluster.run(10s);
        BOOST_TEST(cluster.all_use(rollout::traffic::held));
        BOOST_TEST(static_cast<double>(cluster.to_target) <=
                   0.1 * static_cast<double>(cluster.requests));
        BOOST_TEST((!cluster.fiftieth_bad || cluster.last_to_target - *cluster.fiftieth_bad <= 3s));
    }
}

// Guards against messages and calls to the store that cost something when there is nothing to do.
BOOST_AUTO_TEST_CASE(without_an_order_nothing_is_sent)
{
    rollout_cluster cluster(5);
    cluster.run(60s);
    BOOST_TEST(cluster.notices == 0U);
    BOOST_TEST(cluster.store_calls == 0U);
}

// Guards against a version that is completed although nobody could judge it.
BOOST_AUTO_TEST_CASE(a_version_without_evidence_is_rolled_back_at_the_deadline)
{
    rollout_cluster nobody_runs(5);
    nobody_runs.servers = {0, 40};
    nobody_runs.per_second = 0;
    nobody_runs.order("v2", 30s);
    BOOST_TEST((nobody_runs.run_until_decided(60s) <= 30s));
    BOOST_TEST(nobody_runs.history().back() == "v2 rolled_back");
}

// Guards against a good version that is rolled back because its servers are cold for long.
BOOST_AUTO_TEST_CASE(a_version_whose_servers_stay_cold_is_judged_by_its_failures)
{
    for (const double rate : {0.0, 0.3}) {
        rollout_cluster cluster(10);
        cluster.cold = true;
        cluster.failure_rate = [rate](duration) {
            return rate;
        };
        cluster.order("v2", 30s);
        BOOST_TEST((cluster.run_until_decided(60s) <= 30s));
        BOOST_TEST(cluster.history().back() == (rate > 0 ? "v2 rolled_back" : "v2 completed"));
    }
}

// Guards against two decisions on one version.
BOOST_AUTO_TEST_CASE(of_two_daemons_that_decide_the_first_to_write_wins)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        rollout_cluster cluster(10, seed);
        cluster.deciders = {0, 3};
        cluster.cut_off = {3};
        cluster.failure_rate = [seed](duration) {
            return seed % 2 == 0 ? 0.05 : 0.0;
        };
        cluster.order("v2", 40s);
        cluster.run(60s);
        const auto history = cluster.history();
        const auto decided = std::count_if(history.begin(), history.end(),
                                           [](const auto& each) { return each != "v2 running"; });
        BOOST_TEST(decided == 1);
    }
}

// Guards against a second write after one whose answer was lost.
BOOST_AUTO_TEST_CASE(a_write_whose_answer_is_lost_is_not_repeated)
{
    rollout_cluster cluster(3);
    cluster.states.lost_answers = 10;
    cluster.order("v2", 40s);
    cluster.run(60s);
    BOOST_TEST(cluster.history() == (std::vector<std::string>{"v2 running", "v2 completed"}));
}

// Guards against a bad version that is served on because the store can't be written.
BOOST_AUTO_TEST_CASE(while_the_store_is_unavailable_a_bad_version_gets_no_requests)
{
    rollout_cluster cluster(40);
    cluster.order("v2", 60s);
    cluster.run(5s);
    cluster.states.available = false;
    cluster.failure_rate = [](duration) {
        return 0.3;
    };
    cluster.run(15s);
    BOOST_TEST(cluster.all_use(rollout::traffic::held));
    BOOST_TEST(cluster.history().back() == "v2 running");
    cluster.states.available = true;
    cluster.run(5s);
    BOOST_TEST(cluster.history().back() == "v2 rolled_back");
}

// Guards against a daemon that exposes requests although nobody can tell it to stop.
BOOST_AUTO_TEST_CASE(a_daemon_that_hears_nothing_exposes_no_requests)
{
    rollout_cluster cluster(10);
    cluster.order("v2", 60s);
    cluster.run(5s);
    cluster.cut_off = {7};
    cluster.run(4s);
    BOOST_TEST((cluster.uses[7] == rollout::traffic::held));
    BOOST_TEST((cluster.uses[6] == rollout::traffic::exposed));
    cluster.cut_off.clear();
    cluster.run(2s);
    BOOST_TEST((cluster.uses[7] == rollout::traffic::exposed));
}

// Guards against a restarted daemon that serves what was decided against.
BOOST_AUTO_TEST_CASE(a_daemon_that_starts_learns_the_decision_from_the_store)
{
    for (const double rate : {0.0, 0.5}) {
        rollout_cluster cluster(5);
        cluster.failure_rate = [rate](duration) {
            return rate;
        };
        cluster.order("v2", 30s);
        cluster.run(60s);
        cluster.uses[4] = rollout::traffic::exposed;
        cluster.start(4);
        cluster.daemons[4]->take_order(cluster.clock.now(), {service, "v2", 30s}, true);
        cluster.run(5s);
        BOOST_TEST(
            (cluster.uses[4] == (rate > 0 ? rollout::traffic::held : rollout::traffic::moved)));
    }
}

// Guards against a roll-out that never ends because all daemons restarted.
BOOST_AUTO_TEST_CASE(a_roll_out_is_decided_although_all_daemons_restart)
{
    rollout_cluster cluster(5);
    cluster.order("v2", 40s);
    cluster.run(10s);
    for (std::size_t i = 0; i < 5; ++i) {
        cluster.start(i);
    }
    cluster.order("v2", 40s, true);
    BOOST_TEST((cluster.run_until_decided(60s) <= 30s));
    BOOST_TEST(cluster.history().back() == "v2 completed");
}

// Guards against the decision on one version being taken for that on the next.
BOOST_AUTO_TEST_CASE(a_new_order_for_the_service_begins_anew)
{
    rollout_cluster cluster(5);
    cluster.failure_rate = [](duration) {
        return 0.5;
    };
    cluster.order("v2", 30s);
    cluster.run(10s);
    BOOST_TEST(cluster.history().back() == "v2 rolled_back");
    cluster.failure_rate = [](duration) {
        return 0.0;
    };
    cluster.order("v3", 30s);
    cluster.run(2s);
    BOOST_TEST(cluster.history().back() == "v3 running");
    cluster.run(30s);
    BOOST_TEST(cluster.history().back() == "v3 completed");
}

BOOST_AUTO_TEST_SUITE_END()
