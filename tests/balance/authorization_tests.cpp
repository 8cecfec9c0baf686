#include "azureshore/balance/account_directory.hpp"
#include "azureshore/balance/dispatcher.hpp"
#include "support/virtual_clock.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <vector>

using namespace azureshore;
using namespace azureshore::balance;
using namespace std::chrono_literals;

namespace {

constexpr duration round_trip = 1ms;

traffic_configuration with_accounts(std::uint64_t version, std::vector<client_account> accounts)
{
    traffic_configuration made;
    made.version = version;
    for (const auto* const name : {"plates", "open"}) {
        route each;
        each.name = name;
        each.host = "a.example";
        each.path_prefix = std::string("/") + name + '/';
        each.services = {{{"plates"}, 1}};
        each.timeout = 2s;
        each.target_latency = 1s;
        each.priority = 2;
        each.max_attempts = 2;
        each.authentication_exempt = each.name == "open";
        made.routes.push_back(each);
    }
    service_traits traits;
    traits.name = {"plates"};
    made.services.push_back(traits);
    made.accounts = std::move(accounts);
    return made;
}

client_account account(const std::string& name, std::vector<std::string> keys, double rate = 0)
{
    client_account made;
    made.name = {name};
    made.keys = std::move(keys);
    made.rate = rate;
    return made;
}

// One dispatcher with one backend server that is idle, or busy as told.
struct one_dispatcher {
    one_dispatcher() : decisions({"here"}, {}, this->hooks())
    {
        registration server;
        server.id = {"plate-1"};
        server.service = {"plates"};
        server.data_centre = {"here"};
        server.slots = 1;
        this->decisions.backend_changed(server);
        this->decisions.backends_listed();
    }

    dispatcher_hooks hooks()
    {
        dispatcher_hooks made;
        made.clock = [this] {
            return this->clock.now();
        };
        made.after = [this](duration wait, std::function<void()> action) {
            this->clock.after(wait, std::move(action));
        };
        made.probe = [this](const probe_order& order) {
            this->clock.after(round_trip, [this, order] {
                this->decisions.probe_ended(
                    order.probe,
                    probe_result{true, load_report{this->running, 0, 1, 1}, std::nullopt});
            });
        };
        made.release = [](probe_number) {
        };
        made.send = [this](const attempt_order& order) {
            this->sent.push_back(order);
        };
        made.cancel = [](attempt_number) {
        };
        made.deliver = [](request_number, attempt_number) {
        };
        made.refuse = [this](request_number number, const refusal& why) {
            this->refused[number.value] = why;
        };
        made.random = seeded_random(1);
        made.take_quota = [this](const account_id& name,
                                 std::function<void(const quota_answer&)> done) {
            this->charged.push_back(name.value);
            this->clock.after(round_trip, [this, done = std::move(done)] { done(this->quota); });
        };
        made.return_quota = [this](const account_id& name, time_point) {
            this->returned.push_back(name.value);
        };
        return made;
    }

    void configure(const traffic_configuration& next)
    {
        this->decisions.configure(std::make_shared<traffic_configuration>(next));
    }

    std::uint64_t request(const std::string& path, const std::string& key)
    {
        incoming_request made;
        made.number = {++this->last};
        made.host = "a.example";
        made.path = path;
        made.account_key = key;
        made.arrived = this->clock.now();
        made.caller_timeout = 2s;
        this->decisions.begin(made);
        return made.number.value;
    }

    fakes::virtual_clock clock;
    quota_answer quota{quota_decision::granted, std::nullopt, std::nullopt};
    std::size_t running = 0;
    std::vector<attempt_order> sent;
    std::map<std::uint64_t, refusal> refused;
    std::vector<std::string> charged;
    std::vector<std::string> returned;
    std::uint64_t last = 0;
    dispatcher decisions;
};

} // namespace

BOOST_AUTO_TEST_SUITE(authorization)

// Guards against requests that run for another account, or for none.
BOOST_AUTO_TEST_CASE(a_request_runs_for_the_account_of_its_key)
{
    one_dispatcher of;
    of.configure(with_accounts(1, {account("a", {"k1", "k2"}), account("b", {"k3"})}));
    of.request("/plates/1", "k3");
    of.clock.run_for(10ms);
    BOOST_REQUIRE(of.sent.size() == 1U);
    BOOST_TEST((of.sent[0].account == account_id{"b"}));
    BOOST_TEST(of.sent[0].keys_required);
    const auto unknown = of.request("/plates/1", "k");
    const auto missing = of.request("/plates/1", "");
    BOOST_TEST(of.refused.at(unknown).status == 401);
    BOOST_TEST(of.refused.at(missing).status == 401);
}

// Guards against deployments without accounts that begin to ask for keys.
BOOST_AUTO_TEST_CASE(without_a_list_of_accounts_no_key_is_needed)
{
    one_dispatcher of;
    auto open = with_accounts(1, {});
    open.accounts.reset();
    of.configure(open);
    of.request("/plates/1", "k");
    of.clock.run_for(10ms);
    BOOST_REQUIRE(of.sent.size() == 1U);
    BOOST_TEST(!of.sent[0].account.has_value());
    BOOST_TEST(!of.sent[0].keys_required);
}

// Guards against a deployment that opens to everybody when its last account is removed.
BOOST_AUTO_TEST_CASE(an_empty_list_of_accounts_accepts_no_key)
{
    one_dispatcher of;
    of.configure(with_accounts(1, {}));
    for (const auto* const key : {"k", ""}) {
        const auto number = of.request("/plates/1", key);
        BOOST_TEST(of.refused.at(number).status == 401);
    }
    of.request("/open/1", "k");
    of.clock.run_for(10ms);
    BOOST_REQUIRE(of.sent.size() == 1U);
    BOOST_TEST(!of.sent[0].account.has_value());
    BOOST_TEST(of.sent[0].keys_required);
}

// Guards against a request that waits for room and runs after the last account was removed.
BOOST_AUTO_TEST_CASE(a_waiting_request_is_not_sent_once_the_list_of_accounts_is_empty)
{
    one_dispatcher of;
    of.configure(with_accounts(1, {account("a", {"k1"})}));
    of.running = 1;
    const auto number = of.request("/plates/1", "k1");
    of.clock.run_for(50ms);
    of.configure(with_accounts(2, {}));
    of.running = 0;
    of.clock.run_for(100ms);
    BOOST_TEST(of.sent.empty());
    BOOST_TEST(of.refused.at(number).status == 401);
}

BOOST_AUTO_TEST_CASE(an_exempt_route_needs_no_key)
{
    one_dispatcher of;
    of.configure(with_accounts(1, {account("a", {"k1"})}));
    of.request("/open/1", "");
    of.clock.run_for(10ms);
    BOOST_REQUIRE(of.sent.size() == 1U);
    BOOST_TEST(!of.sent[0].account.has_value());
    BOOST_TEST(of.sent[0].keys_required);
}

// Guards against a final refusal of a key that a later configuration has added.
BOOST_AUTO_TEST_CASE(an_unknown_key_may_be_retried_if_the_configuration_may_be_outdated)
{
    one_dispatcher of;
    of.configure(with_accounts(1, {account("a", {"k1"})}));
    of.decisions.set_configuration_check([] { return false; });
    const auto number = of.request("/plates/1", "k2");
    BOOST_TEST(of.refused.at(number).status == 503);
    BOOST_TEST(of.refused.at(number).retry_after.has_value());
}

// Guards against a request that waits for room and runs after its key was removed.
BOOST_AUTO_TEST_CASE(a_waiting_request_whose_key_was_removed_is_not_sent)
{
    one_dispatcher of;
    of.configure(with_accounts(1, {account("a", {"k1"})}));
    of.running = 1;
    const auto number = of.request("/plates/1", "k1");
    of.clock.run_for(50ms);
    BOOST_TEST(of.sent.empty());
    of.configure(with_accounts(2, {account("a", {"k2"})}));
    of.running = 0;
    of.clock.run_for(100ms);
    BOOST_TEST(of.sent.empty());
    BOOST_TEST(of.refused.at(number).status == 401);
}

// Guards against a key that names whichever account was read first.
BOOST_AUTO_TEST_CASE(a_key_of_two_accounts_and_one_that_can_not_be_sent_are_rejected)
{
    const auto of = std::make_shared<traffic_configuration>(with_accounts(
        1, {account("a", {"shared", "own-a", "", " led", "tab\t"}),
            account("b", {"shared", "own\nb", "own-b"}), account("c", {std::string(1, '\x7f')})}));
    const account_directory directory(of);
    BOOST_TEST(directory.find("shared") == nullptr);
    BOOST_TEST(directory.find("own\nb") == nullptr);
    BOOST_TEST(directory.find(" led") == nullptr);
    BOOST_TEST(directory.find("tab\t") == nullptr);
    BOOST_TEST(directory.find("\x7f") == nullptr);
    BOOST_TEST(directory.find("") == nullptr);
    BOOST_REQUIRE(directory.find("own-b") != nullptr);
    BOOST_TEST(directory.find("own-b")->name.value == "b");
    BOOST_TEST(directory.rejected_keys().size() == 7U);
}

// Guards against 401 for a key that the configuration holds, because it is long or has a space or
// letters beyond ASCII, which a header field may carry.
BOOST_AUTO_TEST_CASE(every_key_that_a_header_field_can_carry_is_known)
{
    for (const std::string key : {"own b", "a\tb", "cl\xc3\xa9", "!~", "k"}) {
        const account_directory directory(
            std::make_shared<traffic_configuration>(with_accounts(1, {account("a", {key})})));
        BOOST_TEST(directory.find(key) != nullptr, key);
        BOOST_TEST(directory.rejected_keys().empty(), key);
    }
    const std::string long_key(4000, 'k');
    const account_directory directory(
        std::make_shared<traffic_configuration>(with_accounts(1, {account("a", {long_key})})));
    BOOST_TEST(directory.find(long_key) != nullptr);
}

// Guards against a version that stays out of force for all because of one account: its own requests
// alone are refused, and not with a 401, as their key is known.
BOOST_AUTO_TEST_CASE(an_account_that_can_not_be_served_is_refused_alone)
{
    auto broken = account("b", {"k2"});
    broken.defect = "no number";
    for (const auto& odd : {broken, account("", {"k2"}), account("b\r\nX-Other: 1", {"k2"}),
                            account(" b", {"k2"}), account("b\t", {"k2"})}) {
        one_dispatcher of;
        of.configure(with_accounts(1, {account("a", {"k1"}), odd}));
        const auto refused = of.request("/plates/1", "k2");
        BOOST_TEST(of.refused.at(refused).status == 503);
        BOOST_TEST((of.refused.at(refused).cause == refusal_cause::unusable_account));
        of.request("/plates/1", "k1");
        of.request("/open/1", "k2");
        of.clock.run_for(10ms);
        BOOST_REQUIRE(of.sent.size() == 2U);
        BOOST_TEST((of.sent[0].account == account_id{"a"}));
        BOOST_TEST(!of.sent[1].account.has_value());
    }
}

BOOST_AUTO_TEST_CASE(an_account_may_have_any_name_that_a_header_field_can_carry)
{
    for (const std::string name : {"South Club",
                                   "S\xc3\xbc"
                                   "d",
                                   "a\tb", "\"'{},;"}) {
        one_dispatcher of;
        of.configure(with_accounts(1, {account(name, {"k1"})}));
        of.request("/plates/1", "k1");
        of.clock.run_for(10ms);
        BOOST_REQUIRE(of.sent.size() == 1U);
        BOOST_TEST((of.sent[0].account == account_id{name}));
    }
}

// Guards against requests beyond the quota that reach a backend server, and against a quota that is
// charged for a request that does not.
BOOST_AUTO_TEST_CASE(a_request_is_sent_once_its_quota_is_granted)
{
    one_dispatcher of;
    of.configure(with_accounts(1, {account("a", {"k1"}, 5), account("b", {"k2"})}));
    of.request("/plates/1", "k2");
    of.request("/plates/1", "k1");
    of.clock.run_for(10ms);
    BOOST_TEST(of.sent.size() == 2U);
    BOOST_TEST((of.charged == std::vector<std::string>{"a"}));

    of.quota = {quota_decision::unavailable, std::nullopt, std::nullopt};
    const auto unknown = of.request("/plates/1", "k1");
    of.clock.run_for(10ms);
    BOOST_TEST(of.sent.size() == 2U);
    BOOST_TEST(of.refused.at(unknown).status == 503);
    BOOST_TEST(of.refused.at(unknown).retry_after.has_value());
    BOOST_TEST(of.returned.empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_leaves_unsent_gives_its_quota_back)
{
    one_dispatcher of;
    of.configure(with_accounts(1, {account("a", {"k1"}, 5)}));
    of.running = 1;
    const auto waiting = of.request("/plates/1", "k1");
    of.clock.run_for(50ms);
    const auto early = of.request("/plates/1", "k1");
    of.decisions.caller_gone({early});
    of.decisions.caller_gone({waiting});
    of.clock.run_for(50ms);
    BOOST_TEST(of.sent.empty());
    BOOST_TEST((of.returned == std::vector<std::string>{"a", "a"}));
}

BOOST_AUTO_TEST_CASE(a_request_beyond_the_quota_gets_429_with_the_time_to_come_back)
{
    one_dispatcher of;
    of.configure(with_accounts(1, {account("a", {"k1"}, 5)}));
    of.quota = {quota_decision::exceeded, 700ms, std::nullopt};
    const auto number = of.request("/plates/1", "k1");
    of.clock.run_for(10ms);
    BOOST_TEST(of.refused.at(number).status == 429);
    BOOST_TEST((of.refused.at(number).retry_after == std::optional<duration>(700ms)));
}

BOOST_AUTO_TEST_SUITE_END()
