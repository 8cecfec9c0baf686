// Changes of client accounts while gateways run as processes.

#include "deployment/keyed_deployment.hpp"

using namespace azureshore;
using namespace azureshore::testing;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(account_changes)

// Guards against a version that stays out of force for all, and against gateways that have none
// after a restart, because of the name of one client account.
BOOST_AUTO_TEST_CASE(a_version_is_in_force_whatever_its_accounts_are_called)
{
    const std::vector<int> served(2, status_ok);
    const std::vector<int> refused(2, status_unauthorized);
    keyed_deployment of(gateways_alone(2), json::array({account("north-club", "key-0")}));
    int version = 0;
    for (const std::string name : {"South Club", "S\xc3\xbc\x64 \xe2\x9a\x93", "a\tb", "\"x\", {y}",
                                   "no-header\r\nX-Tenant: north-club", " led", ""}) {
        const auto old_key = "key-" + std::to_string(version);
        const auto new_key = "key-" + std::to_string(++version);
        of.place.configure_accounts(
            json::array({account("north-club", new_key), account(name, "odd-" + new_key)}).dump());
        keyed_deployment::await_configuration();
        BOOST_TEST_CONTEXT('\'' << name << '\'')
        {
            BOOST_TEST(of.ask_all(old_key) == refused);
            BOOST_TEST(of.ask_all(new_key) == served);
            std::optional<seen_request> ran;
            const auto status = of.ask(of.place.gateways.front(), "odd-" + new_key, &ran);
            const bool can_be_told = version <= 4;
            BOOST_TEST(status == (can_be_told ? status_ok : status_unavailable));
            BOOST_TEST(ran.has_value() == can_be_told);
            if (ran) {
                BOOST_TEST(ran->account == name);
                BOOST_TEST(ran->key.empty());
            }
        }
    }
    auto& restarted = of.place.gateways.front();
    of.restart(restarted);
    BOOST_TEST(of.ask(restarted, "key-" + std::to_string(version)) == status_ok);
}

// Guards against a deployment whose keys nobody checks any more because its list of accounts is
// empty or can't be read, at the change and after a restart.
BOOST_AUTO_TEST_CASE(keys_are_checked_for_as_long_as_there_is_a_list_of_accounts)
{
    const auto one_account = json::array({account("north-club", "key-north")}).dump();
    keyed_deployment of(gateways_alone(2), json::array({account("north-club", "key-north")}));
    const auto expect_none_runs = [&](const gateway_vm& at) {
        for (const std::string key : {"key-north", "key-nobody", ""}) {
            std::optional<seen_request> ran;
            BOOST_TEST(of.ask(at, key, &ran, "north-club") == status_unauthorized, key);
            BOOST_TEST(!ran.has_value(), key);
        }
    };
    for (const std::string list : {"[]", "null", "{}", "false", "\"\""}) {
        BOOST_TEST_CONTEXT(list)
        {
            of.place.configure_accounts(list);
            keyed_deployment::await_configuration();
            for (const auto& each : of.place.gateways) {
                expect_none_runs(each);
            }
        }
    }
    of.place.configure_accounts("[]");
    keyed_deployment::await_configuration();
    auto& restarted = of.place.gateways.front();
    of.restart(restarted);
    expect_none_runs(restarted);
    of.place.configure_accounts(one_account);
    keyed_deployment::await_configuration();
    BOOST_TEST(of.ask_all("key-north") == std::vector<int>(2, status_ok));
    BOOST_TEST(of.ask_all("key-nobody") == std::vector<int>(2, status_unauthorized));
}

BOOST_AUTO_TEST_SUITE_END()
