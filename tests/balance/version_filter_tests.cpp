// Which versions of a service's servers get requests.

#include "balance/dispatch_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace azureshore;
using namespace azureshore::balance;
using namespace azureshore::test;
using namespace std::chrono_literals;

namespace {

const service_id plates{"plates"};
constexpr std::size_t daemon_count = 3;

// Servers of two versions, and requests for some seconds.
struct two_versions {
    explicit two_versions(std::size_t old_servers = 20, std::size_t new_servers = 20)
        : simulation(daemon_count, 1)
    {
        this->simulation.configure(one_service("plates", true, 400ms, 1500ms));
        this->add("old", old_servers, "v1");
        this->add("new", new_servers, "v2");
    }

    void add(const std::string& name, std::size_t count, const std::string& version)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const auto id = name + "-" + std::to_string(i);
            this->simulation.add_server(id, "plates", {});
            auto registered = this->simulation.registration_of(id);
            registered.version = version;
            for (std::size_t daemon = 0; daemon < daemon_count; ++daemon) {
                this->simulation.dispatcher(daemon).backend_changed(registered);
            }
        }
    }

    void set_rule(version_use use)
    {
        for (std::size_t daemon = 0; daemon < daemon_count; ++daemon) {
            this->simulation.dispatcher(daemon).set_version_rule(plates, {"v2", use, 0.08});
        }
    }

    void run(duration span, double per_second = 150)
    {
        this->simulation.generate_load("/plates/x", per_second, span, 2s);
        this->simulation.clock.run_until(this->simulation.clock.now() + span + 3s);
    }

    [[nodiscard]] std::size_t arrived_at(const std::string& prefix) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->simulation.arrivals.begin(), this->simulation.arrivals.end(),
            [&](const arrival& each) { return each.backend.value.starts_with(prefix); }));
    }

    [[nodiscard]] bool all_served() const
    {
        return std::all_of(
            this->simulation.outcomes.begin(), this->simulation.outcomes.end(),
            [](const auto& each) { return each.second.delivered && each.second.status == 200; });
    }

    dispatch_simulation simulation;
};

} // namespace

BOOST_AUTO_TEST_SUITE(versions)

// Guards against a bad version that gets more than its share, or so little that it can't be judged.
BOOST_AUTO_TEST_CASE(an_undecided_version_gets_its_share_and_no_more)
{
    two_versions of;
    of.set_rule(version_use::share);
    of.run(20s);
    const auto requests = static_cast<double>(of.simulation.outcomes.size());
    BOOST_TEST(static_cast<double>(of.arrived_at("new")) <= 0.08 * requests);
    BOOST_TEST(static_cast<double>(of.arrived_at("new")) >= 0.06 * requests);
    BOOST_TEST(of.all_served());
}

// Guards against an exposure so thin that a version that is bad under load seems good.
BOOST_AUTO_TEST_CASE(the_share_goes_to_so_few_servers_that_each_has_the_usual_load)
{
    two_versions of(60, 60);
    of.set_rule(version_use::share);
    of.run(10s, 300);
    std::set<backend_id> used;
    for (const auto& each : of.simulation.arrivals) {
        if (each.backend.value.starts_with("new")) {
            used.insert(each.backend);
        }
    }
    BOOST_TEST(used.size() == 5U);
}

BOOST_AUTO_TEST_CASE(a_version_that_was_rolled_back_gets_nothing)
{
    two_versions of;
    of.set_rule(version_use::other_only);
    of.run(5s);
    BOOST_TEST(of.arrived_at("new") == 0U);
    BOOST_TEST(of.all_served());
}

BOOST_AUTO_TEST_CASE(a_version_that_was_completed_gets_everything)
{
    two_versions of;
    of.set_rule(version_use::target_only);
    of.run(5s);
    BOOST_TEST(of.arrived_at("old") == 0U);
    BOOST_TEST(of.all_served());
}

// Guards against requests that are refused because all servers are of the wrong version.
BOOST_AUTO_TEST_CASE(a_rule_does_not_hold_where_it_leaves_no_server)
{
    two_versions only_new(0, 20);
    only_new.set_rule(version_use::other_only);
    only_new.run(5s);
    BOOST_TEST(only_new.all_served());
    two_versions only_old(20, 0);
    only_old.set_rule(version_use::target_only);
    only_old.run(5s);
    BOOST_TEST(only_old.all_served());
}

// Guards against requests that fail because the exposed servers do not answer, and against second
// sends that take the new version beyond its share.
BOOST_AUTO_TEST_CASE(requests_are_served_although_no_exposed_server_answers)
{
    two_versions of;
    for (std::size_t i = 0; i < 20; ++i) {
        of.simulation.faults("new-" + std::to_string(i)).errors = true;
    }
    of.set_rule(version_use::share);
    of.run(10s);
    const auto requests = static_cast<double>(of.simulation.outcomes.size());
    BOOST_TEST(static_cast<double>(of.arrived_at("new")) <= 0.08 * requests);
    BOOST_TEST(of.all_served());

    two_versions unreachable;
    for (std::size_t i = 0; i < 20; ++i) {
        unreachable.simulation.faults("new-" + std::to_string(i)).unreachable = true;
    }
    unreachable.set_rule(version_use::share);
    unreachable.run(10s);
    BOOST_TEST(unreachable.all_served());
}

// Guards against a version in registrations that changes the choice where there is no roll-out.
BOOST_AUTO_TEST_CASE(without_a_rule_versions_change_nothing)
{
    const auto arrivals_with = [](const std::string& version) {
        two_versions of(20, 0);
        of.add("more", 20, version);
        of.run(5s);
        std::vector<std::string> names;
        for (const auto& each : of.simulation.arrivals) {
            names.push_back(each.backend.value);
        }
        return names;
    };
    BOOST_TEST((arrivals_with("v1") == arrivals_with("v2")));
}

// Guards against evidence that lacks the failures, or counts requests that did not run.
BOOST_AUTO_TEST_CASE(ends_of_attempts_are_observed_while_a_rule_holds)
{
    two_versions of;
    std::size_t failures = 0;
    std::size_t observations = 0;
    of.simulation.dispatcher(0).set_observer([&](const attempt_observation& each) {
        ++observations;
        failures += each.failed ? 1 : 0;
        BOOST_TEST((!each.failed || each.version == "v2"));
    });
    of.run(1s);
    BOOST_TEST(observations == 0U);
    for (std::size_t i = 0; i < 20; ++i) {
        of.simulation.faults("new-" + std::to_string(i)).errors = true;
    }
    of.set_rule(version_use::share);
    of.run(10s);
    BOOST_TEST(observations > 100U);
    BOOST_TEST(failures > 10U);
}

BOOST_AUTO_TEST_SUITE_END()
