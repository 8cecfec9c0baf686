#include "platform/decode.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace std::chrono_literals;

namespace {

const std::string configuration = R"({"version":"0000001f",
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"base_version":"00000005","listeners":[{"host":"a.example","rule_set":[
{"name":"r-1","kind":"safe","target_latency_ms":600,"priority":2,"match_criteria":{"path_prefix":"/x/"},
"route_action":{"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"timeout_ms":1500,"max_attempts":2}},
{"name":"r-2","kind":"unsafe","target_latency_ms":800,"priority":1,"match_criteria":{"path_prefix":"/y/"},
"route_action":{"service":"s2","timeout_ms":1200,"max_attempts":3}}]}],
"clusters":[{"name":"s1","health_path":"/health","max_connections":220,"protocol":"h1","tls":false,"cold_start_s":3.5,"cold_per_s":2.9}]})";

const std::string server = R"({"address":"10.128.0.9:8080","born":1700000000123,
"info":{"service":"s1","version":"v1","zone":"maadi","slots":2},
"status":{"state":"ready","sequence":4,"cold_remaining_ms":250}})";

platform::keyed_record record(const std::string& key, std::optional<std::string> value)
{
    return {7, key, std::move(value)};
}

std::string without(std::string text, const std::string& what, const std::string& by)
{
    const auto at = text.find(what);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, what.size(), by);
}

} // namespace

BOOST_AUTO_TEST_SUITE(users_platform_formats)

BOOST_AUTO_TEST_CASE(a_configuration_is_read_whole)
{
    const auto read = users_platform::read_operator_record(record("config", configuration));
    BOOST_REQUIRE(read.ok());
    const auto& of = std::get<balance::traffic_configuration>(*read);
    BOOST_TEST(of.version == 31U);
    BOOST_REQUIRE(of.routes.size() == 2U);
    BOOST_TEST(of.routes[0].idempotent);
    BOOST_TEST(of.routes[0].services.size() == 2U);
    BOOST_TEST(of.routes[0].services[1].weight == 10.0);
    BOOST_TEST((of.routes[0].timeout == 1500ms));
    BOOST_TEST((of.routes[0].target_latency == 600ms));
    BOOST_TEST(!of.routes[1].idempotent);
    BOOST_TEST(of.routes[1].max_attempts == 3U);
    BOOST_TEST(of.services[0].cold_rate == 2.9);
    BOOST_TEST((of.services[0].cold_period == 3500ms));
    BOOST_TEST((of.limits.idle_timeout == 15s));
}

// Guards against a second run of an order, and against a download that is never sent again.
BOOST_AUTO_TEST_CASE(downloads_may_be_repeated_and_other_kinds_may_not)
{
    const auto is_idempotent = [](const std::string& kind) {
        const auto read = users_platform::read_operator_record(record(
            "config", without(configuration, R"("kind":"safe")", R"("kind":")" + kind + '"')));
        return std::get<balance::traffic_configuration>(read.value()).routes[0].idempotent;
    };
    BOOST_TEST(is_idempotent("download"));
    BOOST_TEST(!is_idempotent("unsafe"));
    BOOST_TEST(!is_idempotent("keyed"));
}

// Guards against requests that are refused, or counted for another, because a client account is
// read in part.
BOOST_AUTO_TEST_CASE(client_accounts_are_read_with_their_keys_and_quotas)
{
    const std::string accounts =
        R"("tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"rate_per_s":2.5,"burst":4},)"
        R"({"name":"t2"}],"listeners")";
    const auto read = users_platform::read_operator_record(
        record("config", without(configuration, R"("listeners")", accounts)));
    BOOST_REQUIRE(read.ok());
    const auto& listed = std::get<balance::traffic_configuration>(*read).listed_accounts();
    BOOST_REQUIRE(listed.size() == 2U);
    BOOST_TEST(listed[0].name.value == "t1");
    BOOST_TEST((listed[0].keys == std::vector<std::string>{"k1", "k2"}));
    BOOST_TEST((listed[0].priority == 1U));
    BOOST_TEST(listed[0].rate == 2.5);
    BOOST_TEST(listed[0].burst == 4.0);
    BOOST_TEST(!listed[1].priority.has_value());
}

// Guards against a list of accounts that is empty, or can't be read, and is taken for an absent
// one, so that requests need no keys.
BOOST_AUTO_TEST_CASE(only_a_configuration_without_a_list_of_accounts_needs_no_keys)
{
    const auto read_with = [](const std::string& member) {
        const auto read = users_platform::read_operator_record(
            record("config", without(configuration, R"("listeners")", member + R"("listeners")")));
        BOOST_REQUIRE(read.ok());
        return std::get<balance::traffic_configuration>(*read);
    };
    BOOST_TEST(!read_with("").accounts.has_value());
    const auto empty = read_with(R"("tenants":[],)");
    BOOST_TEST(empty.accounts.has_value());
    BOOST_TEST(empty.listed_accounts().empty());
    for (const std::string odd : {"null", "{}", R"({"a":{"name":"t1","api_keys":["k1"]}})", "\"\"",
                                  "\"t1\"", "false", "true", "0", "1.5"}) {
        const auto unreadable = read_with(R"("tenants":)" + odd + ',');
        BOOST_TEST_CONTEXT(odd)
        {
            BOOST_REQUIRE(unreadable.listed_accounts().size() == 1U);
            BOOST_TEST(!unreadable.listed_accounts()[0].defect.empty());
            BOOST_TEST(unreadable.listed_accounts()[0].keys.empty());
        }
    }
}

// Guards against an older configuration that stays in force for all because of one client account:
// with a space in its name, or with a member that can't be read.
BOOST_AUTO_TEST_CASE(no_client_account_keeps_a_configuration_out_of_force)
{
    const auto accounts_of = [](const std::string& list) {
        const auto read = users_platform::read_operator_record(record(
            "config",
            without(configuration, R"("listeners")",
                    R"("tenants":[{"name":"t1","api_keys":["k1"]},)" + list + R"(],"listeners")")));
        BOOST_REQUIRE(read.ok());
        return std::get<balance::traffic_configuration>(*read).listed_accounts();
    };
    for (const std::string name :
         {"South Club", "S\u00fcd", "", " ", "a\\nb", "a\\u0000b", "\\\"", "\\ud83d\\ude00"}) {
        const auto accounts = accounts_of(R"({"name":")" + name + R"(","api_keys":["k2"]})");
        BOOST_REQUIRE(accounts.size() == 2U);
        BOOST_TEST(accounts[0].name.value == "t1");
        BOOST_TEST((accounts[1].keys == std::vector<std::string>{"k2"}));
        BOOST_TEST(accounts[1].defect.empty());
    }
    BOOST_TEST(accounts_of(R"({"name":"South Club"})")[1].name.value == "South Club");
    for (const auto* const member :
         {R"("priority":-1)", R"("priority":"1")", R"("rate_per_s":"3")", R"("rate_per_s":-3)",
          R"("burst":[])", R"("name":7)", R"("name":null)"}) {
        const auto accounts =
            accounts_of(R"({"name":"t2","api_keys":["k2"],)" + std::string(member) + '}');
        BOOST_TEST_CONTEXT(member)
        {
            BOOST_TEST((accounts[1].keys == std::vector<std::string>{"k2"}));
            BOOST_TEST(!accounts[1].defect.empty());
            BOOST_TEST(accounts[0].defect.empty());
        }
    }
    for (const auto* const odd : {"7", "null", "[]", "\"t2\"", "{}"}) {
        BOOST_TEST(!accounts_of(odd)[1].defect.empty(), odd);
    }
    const auto nulls =
        accounts_of(R"({"name":"t2","api_keys":["k2",7],"priority":null,"rate_per_s":null})");
    BOOST_TEST(nulls[1].defect.empty());
    BOOST_TEST((nulls[1].keys == std::vector<std::string>{"k2", ""}));
}

// Guards against an order that is ignored because of the name of its service.
BOOST_AUTO_TEST_CASE(an_order_of_a_roll_out_may_name_any_service_and_version)
{
    const auto read = users_platform::read_operator_record(
        record("rollout/ride ledger",
               R"({"service":"ride ledger","target_version":"v2 b","duration_s":30})"));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST(std::get<daemon::rollout_order_record>(*read).new_version == "v2 b");
}

// Guards against an older configuration that stays in force for all routes because of one route
// that is written in another way: weights are proportions, and an empty split is no split.
BOOST_AUTO_TEST_CASE(a_configuration_is_read_whatever_numbers_its_weights_are)
{
    const std::string single = "\"service\":\"s2\",\"timeout_ms\":1200";
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"weight\":90", "\"weight\":0.9"},
             {"\"weight\":90", "\"weight\":33.3"},
             {single, "\"traffic_split\":null," + single},
             {single, "\"traffic_split\":[]," + single}}) {
        BOOST_TEST_CONTEXT(to)
        BOOST_TEST(
            users_platform::read_operator_record(record("config", without(configuration, from, to)))
                .ok());
    }
}

BOOST_AUTO_TEST_CASE(a_broken_configuration_is_malformed_and_nothing_else)
{
    for (const auto* const what :
         {"\"0000001f\"", "\"r-1\"", "600", "\"/x/\"", "\"s1\"", "90", "220", "2.9", "16384"}) {
        BOOST_TEST_CONTEXT(what)
        BOOST_TEST(!users_platform::read_operator_record(
                        record("config", without(configuration, what, "[]")))
                        .ok());
    }
    BOOST_TEST(!users_platform::read_operator_record(record("config", "{\"ver")).ok());
}

// Guards against an older configuration that stays in force because of how a whole number is
// written.
BOOST_AUTO_TEST_CASE(a_configuration_is_read_however_its_whole_numbers_are_written)
{
    const auto read = [](const std::string& from, const std::string& to) {
        return users_platform::read_operator_record(
            record("config", without(configuration, from, to)));
    };
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"weight\":90", "\"weight\":90.0"},
             {"\"priority\":2", "\"priority\":2.0"},
             {"\"max_attempts\":2", "\"max_attempts\":2e0"},
             {"16384", "1.6384e4"}}) {
        BOOST_TEST_CONTEXT(to)
        BOOST_TEST(read(from, to).ok());
    }
    for (const auto* broken : {"-1", "-1.0", "2.5", "1e300", "\"2\"", "null"}) {
        BOOST_TEST_CONTEXT(broken)
        BOOST_TEST(!read("\"max_attempts\":2", std::string("\"max_attempts\":") + broken).ok());
    }
}

BOOST_AUTO_TEST_CASE(a_data_centre_is_out_of_service_while_its_record_stands)
{
    const auto out = users_platform::read_operator_record(record("evacuate/maadi", "{}"));
    const auto back = users_platform::read_operator_record(record("evacuate/maadi", std::nullopt));
    BOOST_TEST((std::get<daemon::data_centre_service>(*out) ==
                daemon::data_centre_service{{"maadi"}, false}));
    BOOST_TEST((std::get<daemon::data_centre_service>(*back) ==
                daemon::data_centre_service{{"maadi"}, true}));
}

BOOST_AUTO_TEST_CASE(other_records_of_the_operators_are_of_no_use)
{
    const auto read = users_platform::read_operator_record(record("notes", "hello"));
    BOOST_TEST(std::holds_alternative<daemon::unused_record>(*read));
}

BOOST_AUTO_TEST_CASE(a_backend_server_is_read_from_its_record)
{
    const auto read = users_platform::read_registration(record("i-1", server));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST(read->id.value == "i-1");
    BOOST_TEST(read->data_centre.value == "maadi");
    BOOST_TEST(to_string(read->endpoint) == "10.128.0.9:8080");
    BOOST_TEST(read->slots == 2U);
    BOOST_TEST(!read->draining);
    BOOST_TEST(read->sequence == 4U);
    BOOST_TEST((read->cold_remaining == 250ms));
    BOOST_TEST(read->started_at == 1700000000123);
}

BOOST_AUTO_TEST_CASE(a_record_of_another_writer_names_no_backend_server)
{
    for (const auto* const what :
         {"\"10.128.0.9:8080\"", "\"s1\"", "\"maadi\"", "2}", "\"ready\"", "4,", "250"}) {
        const std::string text(what);
        const std::string by = text == "2}" ? "\"2\"}" : text == "4," ? "{}," : "null";
        BOOST_TEST_CONTEXT(what)
        BOOST_TEST(
            !users_platform::read_registration(record("i-1", without(server, text, by))).ok());
    }
    BOOST_TEST(
        !users_platform::read_registration(record("i-1", without(server, "ready", "sleeping")))
             .ok());
    BOOST_TEST(!users_platform::read_registration(record("i-1", std::string("\xff\x00", 2))).ok());
}

// Guards against an entry of another writer whose address can't be connected to, which ended every
// gateway that chose it.
BOOST_AUTO_TEST_CASE(an_entry_whose_address_is_no_ip_number_and_port_names_no_backend_server)
{
    for (const auto* const odd :
         {"plates.example:8080", "10.128.0.9", "10.128.0.9:", "10.128.0.9:0", "10.128.0.9:65536",
          "10.128.0.9:-1", "10.128.0.9:99999999999999999999", "10.128.0.999:8080", ":8080",
          "10.128.0.9\\u0000:8080", "\\ud800:1", "\xff\xfe:8080"}) {
        BOOST_TEST_CONTEXT(odd)
        BOOST_TEST(!users_platform::read_registration(
                        record("i-1", without(server, "10.128.0.9:8080", odd)))
                        .ok());
    }
}

// Guards against entries of another writer that end the process or overflow what is counted.
BOOST_AUTO_TEST_CASE(an_entry_with_odd_numbers_depth_or_key_names_no_backend_server)
{
    const auto read = [](const std::string& from, const std::string& to) {
        return users_platform::read_registration(record("i-1", without(server, from, to))).ok();
    };
    for (const auto* const number : {"1e300", "1e999", "-1", "18446744073709551615",
                                     "9007199254740992", "99999999999999999999999999"}) {
        BOOST_TEST_CONTEXT(number)
        {
            BOOST_TEST(!read("\"slots\":2", std::string("\"slots\":") + number));
            BOOST_TEST(!read("\"sequence\":4", std::string("\"sequence\":") + number));
            BOOST_TEST(!read("1700000000123", number));
        }
    }
    BOOST_TEST(!read("250", "1e300"));
    BOOST_TEST(!read("250", "1e999"));
    constexpr std::size_t depth = 120'000;
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    BOOST_TEST(!users_platform::read_registration(record("i-1", nested)).ok());
    BOOST_TEST(!users_platform::read_registration(record("i-1", std::string(depth, '['))).ok());
    BOOST_TEST(!read("\"ready\"", nested));
    for (const std::string key : {"", "a b", "a\r\nX-Other: 1", "\xff"}) {
        BOOST_TEST_CONTEXT(key)
        BOOST_TEST(!users_platform::read_registration(record(key, server)).ok());
    }
}

BOOST_AUTO_TEST_CASE(a_load_has_three_figures_and_at_times_a_fourth)
{
    BOOST_TEST((*users_platform::read_load("3,1,8") == balance::load_report{3, 1, 8, 1.0}));
    BOOST_TEST((*users_platform::read_load("0,0,2,500") == balance::load_report{0, 0, 2, 5.0}));
    for (const auto* const text : {"", "3", "3,1", "a,b,c", "-1,0,2"}) {
        BOOST_TEST_CONTEXT(text)
        BOOST_TEST(!users_platform::read_load(text).has_value());
    }
}

BOOST_AUTO_TEST_CASE(records_are_read_as_far_as_they_are_whole)
{
    const auto one = users_platform::write_keyed("k", "value");
    const auto dropped = users_platform::write_keyed("k", "");
    const std::string head(16, '\0');
    const auto read = users_platform::read_records(head + one + dropped + one.substr(0, 6), 40);
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->records.size() == 2U);
    BOOST_TEST((read->records[0] == platform::keyed_record{40, "k", "value"}));
    BOOST_TEST((read->records[1] == platform::keyed_record{41, "k", std::nullopt}));
    BOOST_TEST(read->next_offset == 42U);
    BOOST_TEST(!users_platform::read_records("short", 0).has_value());
}

BOOST_AUTO_TEST_CASE(a_page_of_the_newest_records_is_read)
{
    const auto page = users_platform::read_newest(
        R"({"items":[{"key":"config","value":"e30=","offset":4}],"more":true,"end_offset":6})");
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->more);
    BOOST_TEST(page->end_offset == 6U);
    BOOST_TEST((page->records[0] == platform::keyed_record{4, "config", "{}"}));
    BOOST_TEST(!users_platform::read_newest("{}").has_value());
    BOOST_TEST(!users_platform::read_newest("").has_value());
}

BOOST_AUTO_TEST_CASE(an_order_of_a_roll_out_is_read)
{
    const auto read = users_platform::read_operator_record(
        record("rollout/s1", R"({"service":"s1","target_version":"v2","duration_s":30.5})"));
    BOOST_REQUIRE(read.ok());
    const auto& order = std::get<daemon::rollout_order_record>(*read);
    BOOST_TEST(order.service.value == "s1");
    BOOST_TEST(order.new_version == "v2");
    BOOST_TEST((order.time_limit == 30500ms));
    BOOST_TEST(!order.withdrawn);
    const auto withdrawn = users_platform::read_operator_record(record("rollout/s1", std::nullopt));
    BOOST_REQUIRE(withdrawn.ok());
    BOOST_TEST(std::get<daemon::rollout_order_record>(*withdrawn).withdrawn);
}

// Guards against a roll-out without a deadline, and against one of a service that nobody named.
BOOST_AUTO_TEST_CASE(an_order_that_makes_no_sense_is_rejected)
{
    for (const std::string value :
         {"", "null", "[]", "{", R"({"service":"s1","target_version":"v2"})",
          R"({"service":"s1","target_version":"v2","duration_s":0})",
          R"({"service":"s1","target_version":"v2","duration_s":-3})",
          R"({"service":"s1","target_version":"v2","duration_s":1e300})",
          R"({"service":"s1","target_version":"v2","duration_s":"30"})",
          R"({"service":"s1","target_version":"","duration_s":30})",
          R"({"service":"s1","target_version":7,"duration_s":30})",
          R"({"service":"s2","target_version":"v2","duration_s":30})",
          R"({"target_version":"v2","duration_s":30})"}) {
        BOOST_TEST(!users_platform::read_operator_record(record("rollout/s1", value)).ok(), value);
    }
}

BOOST_AUTO_TEST_CASE(the_state_of_a_roll_out_is_read_as_it_was_written)
{
    for (const auto state : {rollout::decided_state::running, rollout::decided_state::completed,
                             rollout::decided_state::rolled_back}) {
        const daemon::rollout_status_record status{service_id{"s1"}, "v2", state};
        const auto [key, value] = users_platform::write_rollout_status(status);
        BOOST_TEST(key == "rollout/s1");
        const auto read = users_platform::read_rollout_status(record(key, value));
        BOOST_REQUIRE(read.ok());
        BOOST_TEST((*read == status));
    }
    const auto [key, value] = users_platform::write_rollout_status(
        {service_id{"s1"}, "v2", rollout::decided_state::rolled_back});
    BOOST_TEST(value == R"({"state":"rolled_back","target_version":"v2"})");
}

// Guards against a registration that is lost because it bears no version, or one of another kind.
BOOST_AUTO_TEST_CASE(a_registration_may_lack_its_version)
{
    const std::string bears = R"("version":"v1",)";
    const auto read = users_platform::read_registration(record("b", server));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST(read->version == "v1");
    for (const std::string other : {"", R"("version":3,)"}) {
        const auto without_version =
            users_platform::read_registration(record("b", without(server, bears, other)));
        BOOST_REQUIRE(without_version.ok());
        BOOST_TEST(without_version->version.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
