#include "keyed_store.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace azureshore;
using namespace azureshore::standin;
using namespace std::chrono_literals;

namespace {

// The store with its delayed work kept, to be run by hand.
struct held_store {
    std::vector<std::function<void()>> delayed;
    keyed_store service;

    explicit held_store(store_limits limits = {})
        : service(limits, [this](duration, std::function<void()> work) {
              this->delayed.push_back(std::move(work));
          })
    {
    }

    std::shared_ptr<std::optional<net::http_answer>>
    call(const std::string& method, const std::string& target, const std::string& body = "")
    {
        net::http_call made;
        made.method = method;
        made.target = target;
        made.body = body;
        auto answer = std::make_shared<std::optional<net::http_answer>>();
        this->service.handle(made, [answer](const net::http_answer& came) { *answer = came; });
        return answer;
    }

    int status(const std::string& method, const std::string& target, const std::string& body = "")
    {
        return this->call(method, target, body)->value().status;
    }
};

const std::string own = "/log-append?topic=keyed.mine&part=0";
const std::string a_is_1("\0\0\0\3\1a1", 7);

std::string read_from(std::uint64_t offset, const std::string& more = "")
{
    return "/log-read?topic=keyed.mine&part=0&from=" + std::to_string(offset) + more;
}

} // namespace

BOOST_AUTO_TEST_SUITE(keyed_store_stand_in)

BOOST_AUTO_TEST_CASE(an_appended_record_is_read_and_listed)
{
    held_store store;
    const auto appended = store.call("POST", own, a_is_1 + a_is_1);
    BOOST_TEST(nlohmann::json::parse(appended->value().body).at("end_offset") == 2);
    const auto read = store.call("GET", read_from(1))->value();
    BOOST_TEST(read.body.substr(16) == a_is_1);
    BOOST_TEST(static_cast<int>(read.body[7]) == 2);
    const auto listed = nlohmann::json::parse(
        store.call("GET", "/log-newest?topic=keyed.mine&part=0")->value().body);
    BOOST_TEST(listed.at("items").size() == 1U);
    BOOST_TEST(listed.at("items")[0].at("value") == "MQ==");
    BOOST_TEST(listed.at("items")[0].at("offset") == 1);
}

BOOST_AUTO_TEST_CASE(a_waiting_read_ends_with_the_next_record_or_with_its_time)
{
    held_store store;
    const auto first = store.call("GET", read_from(0, "&wait_ms=100"));
    BOOST_TEST(!first->has_value());
    store.service.put("keyed.mine", "a", "1");
    BOOST_TEST(first->value().body.substr(16) == a_is_1);
    const auto second = store.call("GET", read_from(1, "&wait_ms=100"));
    BOOST_TEST(!second->has_value());
    store.delayed.back()();
    BOOST_TEST(second->value().body.size() == 16U);
}

BOOST_AUTO_TEST_CASE(topics_of_others_can_not_be_written)
{
    held_store store;
    BOOST_TEST(store.status("POST", "/log-append?topic=keyed.op&part=0", a_is_1) == 403);
    BOOST_TEST(store.status("POST", "/log-append?topic=keyed.servers&part=0", a_is_1) == 403);
}

BOOST_AUTO_TEST_CASE(a_broken_append_is_refused_whole)
{
    held_store store;
    for (const auto& body : {std::string(), std::string("\0\0\0\5\1a1", 7), a_is_1 + 'x'}) {
        BOOST_TEST(store.status("POST", own, body) == 400);
    }
    BOOST_TEST(store.call("GET", read_from(0))->value().body.size() == 16U);
}

BOOST_AUTO_TEST_CASE(an_append_at_another_offset_than_the_end_is_not_done)
{
    held_store store;
    BOOST_TEST(store.status("POST", own + "&at=1", a_is_1) == 412);
    BOOST_TEST(store.status("POST", own + "&at=0", a_is_1) == 200);
}

BOOST_AUTO_TEST_CASE(a_read_from_before_the_first_record_is_gone)
{
    held_store store;
    store.service.put("keyed.mine", "a", "1");
    store.service.put("keyed.mine", "b", "2");
    store.service.compact("keyed.mine");
    BOOST_TEST(store.status("GET", read_from(0)) == 410);
    BOOST_TEST(store.status("GET", read_from(1)) == 200);
}

BOOST_AUTO_TEST_CASE(a_list_comes_in_pages)
{
    held_store store;
    for (int i = 0; i < 700; ++i) {
        store.service.put("keyed.mine", "k/" + std::to_string(1000 + i), "v");
    }
    const std::string list = "/log-newest?topic=keyed.mine&part=0";
    const auto first = nlohmann::json::parse(store.call("GET", list)->value().body);
    BOOST_TEST(first.at("items").size() == 500U);
    BOOST_TEST(first.at("more") == true);
    const auto second =
        nlohmann::json::parse(store.call("GET", list + "&after=k%2F1499")->value().body);
    BOOST_TEST(second.at("items").size() == 200U);
    BOOST_TEST(second.at("more") == false);
}

BOOST_AUTO_TEST_CASE(calls_beyond_the_rate_are_turned_away)
{
    held_store store({2, 2, 100});
    BOOST_TEST(store.status("GET", read_from(0)) == 200);
    BOOST_TEST(store.status("GET", read_from(0)) == 200);
    BOOST_TEST(store.status("GET", read_from(0)) == 429);
    BOOST_TEST(store.status("POST", own, a_is_1) == 200);
}

BOOST_AUTO_TEST_CASE(faults_refuse_hold_back_lose_and_delay)
{
    held_store store;
    store.status("POST", "/standin/faults?outage=1");
    BOOST_TEST(store.status("POST", own, a_is_1) == 503);
    store.status("POST", "/standin/faults?silent=1");
    BOOST_TEST(!store.call("POST", own, a_is_1)->has_value());
    store.status("POST", "/standin/faults?lost_answers=1");
    BOOST_TEST(!store.call("POST", own, a_is_1)->has_value());
    BOOST_TEST(store.call("GET", read_from(0))->value().body.size() > 16U);
    store.status("POST", "/standin/faults?late_appends=1");
    BOOST_TEST(!store.call("POST", own, a_is_1)->has_value());
    BOOST_TEST(store.call("GET", read_from(1))->value().body.size() == 16U);
    store.delayed.back()();
    BOOST_TEST(store.call("GET", read_from(1))->value().body.size() > 16U);
    store.status("POST", "/standin/faults?slow_ms=5");
    const auto held = store.call("GET", read_from(0));
    BOOST_TEST(!held->has_value());
    store.delayed.back()();
    BOOST_TEST(held->value().status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
