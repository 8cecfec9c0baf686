// The adapter's calls against the stand-in of the store, over sockets.

#include "keyed_store.hpp"
#include "platform/decode.hpp"
#include "platform/store_calls.hpp"
#include "run.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace std::chrono_literals;

namespace {

constexpr duration timeout = 2s;

class running_store {
public:
    explicit running_store(standin::store_limits limits = {})
        : store(limits,
                [this](duration span, std::function<void()> work) {
                    this->timers.after(span, std::move(work));
                }),
          server({{"127.0.0.1", 0}, 1},
                 {[this](const net::http_call& call, const net::responder& respond) {
                      this->before_call(call);
                      this->store.handle(call, [this, respond](net::http_answer answer) {
                          this->before_answer(answer);
                          respond(std::move(answer));
                      });
                  },
                  nullptr, nullptr}),
          where{"127.0.0.1", server.port()}, http(executor)
    {
    }

    platform::keyed_topic topic(const std::string& name, duration patience = timeout)
    {
        return users_platform::open_topic(this->http, this->where, patience, name);
    }

    platform::keyed_list list(const platform::keyed_topic& of)
    {
        std::optional<platform::keyed_list> came;
        of.list([&came](platform::keyed_list listed) { came = std::move(listed); });
        this->wait_for(came);
        return *came;
    }

    platform::keyed_read read(const platform::keyed_topic& of, std::uint64_t from,
                              std::chrono::milliseconds wait = 0ms)
    {
        std::optional<platform::keyed_read> came;
        of.read(from, wait, [&came](platform::keyed_read records) { came = std::move(records); });
        this->wait_for(came);
        return *came;
    }

    bool append(const std::string& topic, const std::string& key, const std::string& value,
                duration patience = timeout)
    {
        std::optional<bool> done;
        users_platform::append_keyed(this->http, this->where, patience, topic, key, value,
                                     [&done](bool taken) { done = taken; });
        this->wait_for(done);
        return *done;
    }

    daemon::append_outcome append_at(const std::string& topic, const std::string& key,
                                     const std::string& value, std::uint64_t at)
    {
        std::optional<daemon::append_outcome> outcome;
        users_platform::append_keyed_at(
            this->http, this->where, timeout, topic, key, value, at,
            [&outcome](daemon::append_outcome result) { outcome = result; });
        this->wait_for(outcome);
        return *outcome;
    }

    standin::delays timers;
    standin::keyed_store store;
    // What happens between the adapter and the store; set between two calls.
    std::function<void(const net::http_call&)> before_call = [](const net::http_call&) {
    };
    std::function<void(net::http_answer&)> before_answer = [](net::http_answer&) {
    };

private:
    template <typename Value>
    void wait_for(const std::optional<Value>& came)
    {
        while (!came) {
            this->executor.run_one();
        }
    }

    net::http_server server;
    address where;
    asio::io_context executor;
    // Between two calls the executor has nothing to do, and must not count as stopped.
    asio::executor_work_guard<asio::io_context::executor_type> guard{this->executor.get_executor()};
    net::http_client http;
};

const std::string mine = "keyed.mine";

} // namespace

BOOST_AUTO_TEST_SUITE(users_platform_store_calls)

BOOST_AUTO_TEST_CASE(what_is_appended_is_listed_and_read_with_any_key)
{
    running_store of;
    const auto topic = of.topic(mine);
    BOOST_TEST(of.append(mine, "evacuate/a b&c", "x"));
    const auto listed = of.list(topic);
    BOOST_TEST(listed.ok);
    BOOST_REQUIRE(listed.records.size() == 1U);
    BOOST_TEST(listed.records[0].key == "evacuate/a b&c");
    BOOST_TEST(listed.next_offset == 1U);
    const auto read = of.read(topic, 0);
    BOOST_REQUIRE(read.records.size() == 1U);
    BOOST_TEST(read.records[0].value.value() == "x");
    BOOST_TEST(read.next_offset == 1U);
}

BOOST_AUTO_TEST_CASE(a_list_of_several_pages_is_whole)
{
    running_store of;
    for (int i = 0; i < 1200; ++i) {
        of.store.put(mine, "k/" + std::to_string(10000 + i), "v");
    }
    const auto listed = of.list(of.topic(mine));
    BOOST_TEST(listed.ok);
    BOOST_TEST(listed.records.size() == 1200U);
    BOOST_TEST(listed.next_offset == 1200U);
}

BOOST_AUTO_TEST_CASE(a_dropped_key_is_read_without_a_value)
{
    running_store of;
    of.store.put(mine, "a", "1");
    of.store.put(mine, "a", std::nullopt);
    const auto read = of.read(of.topic(mine), 1);
    BOOST_REQUIRE(read.records.size() == 1U);
    BOOST_TEST(!read.records[0].value.has_value());
    BOOST_TEST(of.list(of.topic(mine)).records.empty());
}

// Guards against a part of the records that is taken for all of them.
BOOST_AUTO_TEST_CASE(a_read_that_ends_at_the_size_limit_tells_that_more_records_follow)
{
    constexpr std::uint64_t records = 6;
    running_store of;
    const std::string large(256UL * 1024UL, 'x');
    for (std::uint64_t i = 0; i < records; ++i) {
        of.store.put(mine, "k/" + std::to_string(i), large);
    }
    const auto part = of.read(of.topic(mine), 0);
    BOOST_TEST(part.next_offset < records);
    BOOST_TEST(part.end_offset == records);
    const auto rest = of.read(of.topic(mine), part.next_offset);
    BOOST_TEST(rest.next_offset == records);
    BOOST_TEST(rest.end_offset == records);
}

BOOST_AUTO_TEST_CASE(a_read_that_waits_ends_with_the_next_record)
{
    running_store of;
    of.timers.after(20ms, [&of] { of.store.put(mine, "a", "1"); });
    BOOST_TEST(of.read(of.topic(mine), 0, 30'000ms).records.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_read_of_deleted_records_says_so)
{
    running_store of;
    of.store.put(mine, "a", "1");
    of.store.put(mine, "b", "2");
    of.store.compact(mine);
    BOOST_TEST((of.read(of.topic(mine), 0).outcome == platform::read_outcome::expired));
    BOOST_TEST((of.read(of.topic(mine), 1).outcome == platform::read_outcome::ok));
}

BOOST_AUTO_TEST_CASE(a_store_that_refuses_is_unavailable_and_nothing_is_listed)
{
    running_store of;
    of.store.put(mine, "a", "1");
    standin::store_faults faults;
    faults.outage = true;
    of.store.set_faults(faults);
    BOOST_TEST(!of.append(mine, "a", "2"));
    BOOST_TEST(!of.list(of.topic(mine)).ok);
    BOOST_TEST((of.read(of.topic(mine), 0).outcome == platform::read_outcome::unavailable));
    of.store.set_faults({});
    BOOST_TEST(of.list(of.topic(mine)).ok);
}

BOOST_AUTO_TEST_CASE(a_store_that_does_not_answer_is_given_up_after_the_time_out)
{
    running_store of;
    standin::store_faults faults;
    faults.silent = true;
    of.store.set_faults(faults);
    BOOST_TEST(!of.append(mine, "a", "1", 50ms));
    const auto read = of.read(of.topic(mine, 50ms), 0);
    BOOST_TEST((read.outcome == platform::read_outcome::unavailable));
}

BOOST_AUTO_TEST_CASE(an_append_whose_answer_is_lost_is_not_taken_for_done)
{
    running_store of;
    standin::store_faults faults;
    faults.lost_answers = 1;
    of.store.set_faults(faults);
    BOOST_TEST(!of.append(mine, "a", "1", 50ms));
    BOOST_TEST(of.list(of.topic(mine)).records.size() == 1U);
}

BOOST_AUTO_TEST_CASE(calls_beyond_the_rate_fail_and_later_ones_pass)
{
    running_store of({1, 1000, 100});
    BOOST_TEST(of.append(mine, "a", "1"));
    BOOST_TEST(!of.append(mine, "a", "2"));
    BOOST_TEST(of.list(of.topic(mine)).records[0].value.value() == "1");
}

BOOST_AUTO_TEST_CASE(topics_of_others_can_not_be_written)
{
    running_store of;
    BOOST_TEST(!of.append("keyed.op", "config", "{}"));
    BOOST_TEST(of.list(of.topic("keyed.op")).records.empty());
}

// Offsets of two epochs that count as one make daemons drop records that they lack.
BOOST_AUTO_TEST_CASE(lists_and_reads_carry_the_epoch_of_the_store)
{
    running_store of;
    const auto topic = of.topic(mine);
    of.store.put(mine, "a", "1");
    of.store.take_backup();
    BOOST_TEST(of.list(topic).epoch == 1U);
    BOOST_TEST(of.read(topic, 0).epoch == 1U);
    of.store.restore_backup();
    BOOST_TEST(of.list(topic).epoch == 2U);
    BOOST_TEST(of.read(topic, 0).epoch == 2U);
    BOOST_TEST(of.read(topic, 1, 20ms).epoch == 2U);
}

// A daemon that reads on behind the end would wait until the store has given the offset out again.
BOOST_AUTO_TEST_CASE(a_read_from_behind_the_end_is_expired_and_carries_the_new_epoch)
{
    running_store of;
    of.store.take_backup();
    of.store.put(mine, "a", "1");
    of.store.put(mine, "a", "2");
    of.store.restore_backup();
    for (const auto wait : {0ms, 30'000ms}) {
        const auto read = of.read(of.topic(mine), 2, wait);
        BOOST_TEST((read.outcome == platform::read_outcome::expired));
        BOOST_TEST(read.epoch == 2U);
    }
}

// A read that was begun before the restore must not be given what was written after it.
BOOST_AUTO_TEST_CASE(a_read_that_waits_over_a_restore_gets_no_records_of_the_next_epoch)
{
    running_store of;
    of.store.put(mine, "a", "1");
    of.store.take_backup();
    of.timers.after(20ms, [&of] {
        of.store.restore_backup();
        of.store.put(mine, "b", "2");
    });
    const auto read = of.read(of.topic(mine), 1, 30'000ms);
    BOOST_TEST((read.outcome == platform::read_outcome::unavailable));
    BOOST_TEST(read.records.empty());
}

// Half of one history and half of another is a state that the topic never had.
BOOST_AUTO_TEST_CASE(pages_of_two_epochs_are_no_list)
{
    running_store of;
    for (int i = 0; i < 700; ++i) {
        of.store.put(mine, "k/" + std::to_string(10000 + i), "v");
    }
    of.store.take_backup();
    bool restored = false;
    of.before_call = [&](const net::http_call& call) {
        if (!restored && call.target.find("after=") != std::string::npos) {
            restored = true;
            of.store.restore_backup();
        }
    };
    BOOST_TEST(!of.list(of.topic(mine)).ok);
    BOOST_TEST(restored);
    const auto again = of.list(of.topic(mine));
    BOOST_TEST(again.ok);
    BOOST_TEST(again.epoch == 2U);
    BOOST_TEST(again.records.size() == 700U);
}

// A store that is never restored needs no epoch, and daemons must still follow it.
BOOST_AUTO_TEST_CASE(an_answer_without_an_epoch_is_of_epoch_zero)
{
    running_store of;
    of.before_answer = [](net::http_answer& answer) {
        std::erase_if(answer.headers,
                      [](const net::field& each) { return each.name == "Store-Era"; });
    };
    of.store.put(mine, "a", "1");
    const auto listed = of.list(of.topic(mine));
    BOOST_TEST(listed.ok);
    BOOST_TEST(listed.epoch == 0U);
    const auto read = of.read(of.topic(mine), 0);
    BOOST_TEST((read.outcome == platform::read_outcome::ok));
    BOOST_TEST(read.epoch == 0U);
}

// Guards against a second daemon that overwrites what the first one decided.
BOOST_AUTO_TEST_CASE(a_record_is_appended_only_at_the_end_that_its_writer_knows)
{
    running_store store;
    const auto write = [&store](std::uint64_t at) {
        return store.append_at("keyed.status", "key", "value", at);
    };
    BOOST_TEST((write(0) == daemon::append_outcome::written));
    BOOST_TEST((write(0) == daemon::append_outcome::conflict));
    const auto listed = store.list(store.topic("keyed.status"));
    BOOST_REQUIRE(listed.ok);
    BOOST_TEST((write(listed.next_offset) == daemon::append_outcome::written));
}

BOOST_AUTO_TEST_SUITE_END()
