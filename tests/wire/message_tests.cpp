#include "azureshore/core/failure.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/wire/message.hpp"
#include "azureshore/wire/run_record.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace azureshore;
using namespace azureshore::wire;

namespace {

const pool_id pool{{"catalogue"}, {"cairo"}};

permit_return a_return()
{
    return {pool,          {"vm-2"},    {9},       {"plate-2"},
            usage::failed, duration(5), {"run-1"}, load_report{1, 2}};
}

permit_grant a_grant()
{
    return {pool,        3,
            {9},         {"plate-2"},
            {"shubra"},  {"127.0.0.1", 80},
            duration(7), std::chrono::seconds(1),
            2,           true,
            true};
}

run_record one_record()
{
    run_record record;
    record.expired_below = 7;
    record.outcomes.push_back({{1, 2}, {3, 4}, true, stored_answer{200, {{"a", "b"}}, "done"}});
    record.releases.push_back({{1, 2}, {3, 5}});
    record.intents.push_back({{1, 2}, {3, 6}, 7});
    return record;
}

std::vector<message> one_of_each()
{
    const member_entry leaving_member{
        {"vm-2"}, {"10.0.0.2", 7000}, {"shubra"}, 9, member_state::leaving};
    return {heartbeat{7,
                      true,
                      12,
                      heartbeat_purpose::answer,
                      4,
                      {"vm-1"},
                      {"vm-2"},
                      {"maadi"},
                      {"10.0.0.1", 7000},
                      {{{"vm-3"}, 5, vm_condition::leaving, {"shubra"}, {"10.0.0.3", 7000}}}},
            permit_request{
                pool, 3, std::chrono::milliseconds(250), "lesson", {{"plate-1"}}, {a_return()}},
            permit_cancel{pool, 3},
            a_grant(),
            permit_refusal{pool, 3, refusal_reason::no_backend, std::chrono::seconds(2)},
            a_return(),
            permit_report{pool,
                          {{{"vm-2"}, {9}, {"plate-2"}, duration(4)}},
                          {{{"plate-2"}, {"run-1"}, 2, duration(6)}},
                          8,
                          true,
                          4},
            configuration_records{{{1, "a"}, {2, std::string("\0b", 2)}}},
            configuration_pull{4},
            suspicion{{"foundry"}, 99, 1, std::chrono::seconds(30), {"plate-1"}},
            configuration_state{"snapshot"},
            configuration_notice{17, 3, std::chrono::seconds(5)},
            permit_queued{pool, 3},
            leader_claim{pool, 5, {{"plate-2"}}},
            run_group{{"foundry"}, 1, one_record()},
            topic_news{{"vm-1"},
                       shared_topic::operators,
                       3,
                       {2, 5},
                       {{4, "config", "{}"}},
                       {2, 5},
                       9,
                       12.5,
                       false,
                       77,
                       {1, 4}},
            member_hello{leaving_member, 9, 3.5},
            member_changes{{leaving_member}},
            crash_suspicion{7, 78},
            topic_snapshot{shared_topic::registrations,
                           {1, 5},
                           std::chrono::milliseconds(3),
                           1,
                           2,
                           {{4, "plate-1", std::nullopt, "ready"}},
                           80,
                           79,
                           {{{0, "plate-2", "draining"}, std::chrono::seconds(9)}},
                           {1, 4}},
            member_digests{leaving_member, {1, 2, 3}, true},
            topics_pull{leaving_member, {1, 5}, {1, 6}, true, 2},
            topic_update{shared_topic::registrations,
                         5,
                         {1, 7},
                         std::chrono::milliseconds(3),
                         {{5, "plate-1", std::nullopt}, {6, "plate-2", "ready"}}},
            pull_redirect{{leaving_member}, 3, 12},
            quota_query{{{{"harbour"}, 7, 1, 2}}},
            quota_reply{{{{"harbour"}, 7, 1, std::chrono::milliseconds(20), true}}},
            rollout_report{{{{"plates"}, "v2", {{7, {3, 1, {0, 2}}, {40, 0, {30, 9, 1}}}}}}},
            rollout_notice{
                {{{"plates"}, "v2", rollout_phase::moving, false, std::chrono::seconds(9)}}, 81},
            quota_ping{8, true}};
}

std::string bytes_of_any_length(const random_source& random, std::size_t limit)
{
    std::string bytes(uniform_index(random, limit), '\0');
    for (auto& each : bytes) {
        each = static_cast<char>(random());
    }
    return bytes;
}

// Either malformed, or a message that encodes and decodes to itself.
void check_decodes_or_is_malformed(const std::string& bytes)
{
    const auto received = decode(bytes);
    if (!received.ok()) {
        BOOST_TEST((failure_of(received.status()) == failure::message_malformed));
        return;
    }
    const auto again = decode(encode(*received));
    BOOST_REQUIRE(again.ok());
    BOOST_TEST((*again == *received));
}

void mutate(std::string& bytes, const random_source& random)
{
    const auto place = uniform_index(random, bytes.size());
    switch (uniform_index(random, 4)) {
    case 0:
        bytes[place] = static_cast<char>(random());
        break;
    case 1:
        bytes.erase(place, 1 + uniform_index(random, 4));
        break;
    case 2:
        bytes.insert(place, bytes_of_any_length(random, 6));
        break;
    default:
        bytes.insert(place, bytes.substr(uniform_index(random, bytes.size())));
        break;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(messages)

BOOST_AUTO_TEST_CASE(every_kind_is_read_back_as_written)
{
    BOOST_TEST(one_of_each().size() == std::variant_size_v<message>);
    for (const auto& body : one_of_each()) {
        const envelope sent{{"vm-1"}, body};
        const auto received = decode(encode(sent));
        BOOST_TEST_CONTEXT(name_of(body))
        {
            BOOST_REQUIRE(received.ok());
            BOOST_TEST((*received == sent));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_message_cut_anywhere_is_malformed)
{
    for (const auto& body : one_of_each()) {
        const auto bytes = encode({{"vm-1"}, body});
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            const auto received = decode(std::string_view(bytes).substr(0, length));
            BOOST_TEST((failure_of(received.status()) == failure::message_malformed));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_message_of_the_permits_names_its_service)
{
    BOOST_TEST(service_of(leader_claim{pool, 5, {}})->value == "catalogue");
    BOOST_TEST(service_of(heartbeat{}) == nullptr);
}

BOOST_AUTO_TEST_CASE(an_oversized_message_is_refused_unread)
{
    const auto received = decode(std::string(max_message_bytes + 1, 'x'));
    BOOST_TEST((failure_of(received.status()) == failure::message_oversized));
}

BOOST_AUTO_TEST_CASE(a_message_about_a_service_names_it)
{
    const std::set<std::string_view> of_no_service{
        "heartbeat",           "configuration_records", "configuration_pull",
        "configuration_state", "configuration_notice",  "topic_news",
        "member_hello",        "member_changes",        "crash_suspicion",
        "topic_snapshot",      "member_digests",        "topics_pull",
        "topic_update",        "pull_redirect",         "quota_query",
        "quota_reply",         "rollout_report",        "rollout_notice",
        "quota_ping"};
    for (const auto& body : one_of_each()) {
        BOOST_TEST_CONTEXT(name_of(body))
        {
            BOOST_TEST((service_of(body) == nullptr) == of_no_service.contains(name_of(body)));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(message_fuzz)

BOOST_AUTO_TEST_CASE(a_mutation_of_any_message_does_no_harm)
{
    const auto random = seeded_random(11);
    constexpr int rounds = 2000;
    for (int round = 0; round < rounds; ++round) {
        for (const auto& body : one_of_each()) {
            auto bytes = encode({{"vm-1"}, body});
            for (int i = 0; i < 3 && !bytes.empty(); ++i) {
                mutate(bytes, random);
                check_decodes_or_is_malformed(bytes);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(random_bytes_do_no_harm)
{
    const auto random = seeded_random(12);
    constexpr int rounds = 50000;
    for (int round = 0; round < rounds; ++round) {
        check_decodes_or_is_malformed(bytes_of_any_length(random, 80));
    }
}

BOOST_AUTO_TEST_CASE(an_enumeration_out_of_range_is_malformed)
{
    const auto out_of_range = static_cast<std::uint8_t>(200);
    heartbeat beat;
    beat.purpose = static_cast<heartbeat_purpose>(out_of_range);
    rumour doubtful;
    doubtful.condition = static_cast<vm_condition>(out_of_range);
    heartbeat carrier;
    carrier.rumours.push_back(doubtful);
    const permit_refusal refusal{{}, 1, static_cast<refusal_reason>(out_of_range), duration(1)};
    permit_return returned;
    returned.result = static_cast<usage>(out_of_range);
    for (const message& body : std::vector<message>{beat, carrier, refusal, returned}) {
        const auto received = decode(encode({{"vm-1"}, body}));
        BOOST_TEST((failure_of(received.status()) == failure::message_malformed));
    }
}

BOOST_AUTO_TEST_CASE(a_false_length_costs_no_memory)
{
    // An array, a map, a text and a binary that each claim 2^32 - 1 elements.
    for (const std::string start : {"\xdd", "\xdf", "\xdb", "\xc6"}) {
        const auto received = decode(start + "\xff\xff\xff\xff" + "x");
        BOOST_TEST((failure_of(received.status()) == failure::message_malformed));
    }
}

BOOST_AUTO_TEST_CASE(bytes_after_a_message_are_malformed)
{
    const auto received = decode(encode({{"vm-1"}, heartbeat{}}) + '\0');
    BOOST_TEST((failure_of(received.status()) == failure::message_malformed));
}

BOOST_AUTO_TEST_SUITE_END()
