#include "azureshore/core/failure.hpp"
#include "azureshore/wire/transport.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace azureshore;
using namespace azureshore::wire;

namespace {

constexpr auto limit = std::chrono::seconds(30);
const address any_port{"127.0.0.1", 0};

// Collects what a transport receives and lets a test wait for it.
class inbox {
public:
    std::function<void(std::string)> hook()
    {
        return [this](std::string bytes) {
            const std::lock_guard lock(this->mutex);
            this->all.push_back(std::move(bytes));
            this->arrived.notify_all();
        };
    }

    bool wait_for(std::size_t count)
    {
        std::unique_lock lock(this->mutex);
        return this->arrived.wait_for(lock, limit, [&] { return this->all.size() >= count; });
    }

    bool wait_for(const std::string& bytes)
    {
        std::unique_lock lock(this->mutex);
        return this->arrived.wait_for(lock, limit, [&] {
            return std::find(this->all.begin(), this->all.end(), bytes) != this->all.end();
        });
    }

    std::vector<std::string> taken()
    {
        const std::lock_guard lock(this->mutex);
        return this->all;
    }

private:
    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<std::string> all;
};

void ignore(const std::string& /*bytes*/) {}

// A peer's bare connection to a transport.
class bare_connection {
public:
    explicit bare_connection(const address& to) : socket(executor)
    {
        this->socket.connect({asio::ip::make_address(to.host), to.port});
    }

    void write(const std::string& bytes) { asio::write(this->socket, asio::buffer(bytes)); }

    // Whether the transport closes this connection without a byte.
    bool is_closed_by_transport()
    {
        char byte = 0;
        asio::error_code error;
        asio::read(this->socket, asio::buffer(&byte, 1), error);
        return error == asio::error::eof || error == asio::error::connection_reset;
    }

private:
    asio::io_context executor;
    asio::ip::tcp::socket socket;
};

} // namespace

BOOST_AUTO_TEST_SUITE(transports)

BOOST_AUTO_TEST_CASE(a_transport_listens_on_a_port_that_the_kernel_chose)
{
    const transport one(any_port, ignore);
    const transport other(any_port, ignore);
    BOOST_TEST(one.where().host == "127.0.0.1");
    BOOST_TEST(one.where().port != 0);
    BOOST_TEST(one.where().port != other.where().port);
}

BOOST_AUTO_TEST_CASE(a_port_in_use_is_a_typed_failure)
{
    const transport one(any_port, ignore);
    try {
        const transport other(one.where(), ignore);
        BOOST_FAIL("listened twice at one port");
    }
    catch (const transport_error& error) {
        BOOST_TEST((failure_of(error.status()) == failure::connection_failed));
    }
}

BOOST_AUTO_TEST_CASE(messages_arrive_whole_in_order_and_both_ways)
{
    inbox left_box;
    inbox right_box;
    transport left(any_port, left_box.hook());
    transport right(any_port, right_box.hook());
    std::vector<std::string> sent;
    for (std::size_t i = 0; i < 100; ++i) {
        sent.push_back(std::string(i * 50, static_cast<char>(i)));
        left.send(right.where(), sent.back());
        right.send(left.where(), sent.back());
    }
    BOOST_REQUIRE(left_box.wait_for(sent.size()));
    BOOST_REQUIRE(right_box.wait_for(sent.size()));
    BOOST_TEST((left_box.taken() == sent));
    BOOST_TEST((right_box.taken() == sent));
    BOOST_TEST(left.counts().received == sent.size());
}

BOOST_AUTO_TEST_CASE(several_threads_send_at_once)
{
    constexpr std::size_t threads = 4;
    constexpr std::size_t each = 50;
    inbox box;
    transport target(any_port, box.hook());
    transport source(any_port, ignore);
    std::vector<std::thread> senders;
    for (std::size_t t = 0; t < threads; ++t) {
        senders.emplace_back([&] {
            for (std::size_t i = 0; i < each; ++i) {
                source.send(target.where(), "message");
            }
        });
    }
    for (auto& sender : senders) {
        sender.join();
    }
    BOOST_TEST(box.wait_for(threads * each));
}

BOOST_AUTO_TEST_CASE(a_peer_that_is_away_costs_a_bounded_queue_and_no_waiting)
{
    address away;
    {
        const transport gone(any_port, ignore);
        away = gone.where();
    }
    transport source(any_port, ignore);
    constexpr std::size_t count = 1000;
    for (std::size_t i = 0; i < count; ++i) {
        source.send(away, "message");
    }
    const auto counts = source.counts();
    BOOST_TEST(counts.sent == 0U);
    BOOST_TEST(counts.dropped_full > 0U);
    BOOST_TEST(counts.dropped_full < count);
}

BOOST_AUTO_TEST_CASE(a_peer_that_returns_at_its_address_is_reached_again)
{
    transport source(any_port, ignore);
    inbox first_box;
    auto first = std::make_unique<transport>(any_port, first_box.hook());
    const auto there = first->where();
    source.send(there, "before");
    BOOST_REQUIRE(first_box.wait_for("before"));
    first.reset();
    inbox second_box;
    const transport second(there, second_box.hook());
    bool reached = false;
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!reached && std::chrono::steady_clock::now() < end) {
        source.send(there, "after");
        reached = !second_box.taken().empty();
        std::this_thread::yield();
    }
    BOOST_TEST(reached);
}

BOOST_AUTO_TEST_CASE(a_transport_closes_while_messages_stream_in)
{
    transport source(any_port, ignore);
    constexpr int rounds = 10;
    for (int round = 0; round < rounds; ++round) {
        inbox box;
        const transport target(any_port, box.hook());
        constexpr std::size_t flood = 250;
        for (std::size_t i = 0; i < flood; ++i) {
            source.send(target.where(), "message");
        }
        BOOST_REQUIRE(box.wait_for(1));
    }
}

BOOST_AUTO_TEST_CASE(peers_left_out_of_keep_only_are_closed_and_can_be_dialled_again)
{
    inbox box;
    transport target(any_port, box.hook());
    transport source(any_port, ignore);
    source.send(target.where(), "one");
    BOOST_REQUIRE(box.wait_for("one"));
    source.keep_only({});
    source.send(target.where(), "two");
    BOOST_TEST(box.wait_for("two"));
    source.keep_only({target.where()});
    source.send(target.where(), "three");
    BOOST_TEST(box.wait_for("three"));
}

BOOST_AUTO_TEST_CASE(a_message_of_the_largest_size_passes_and_a_larger_one_is_not_sent)
{
    inbox box;
    transport target(any_port, box.hook());
    transport source(any_port, ignore);
    source.send(target.where(), std::string(max_carried_bytes + 1, 'x'));
    source.send(target.where(), std::string(max_carried_bytes, 'y'));
    BOOST_REQUIRE(box.wait_for(1));
    BOOST_TEST(box.taken().front().size() == max_carried_bytes);
    BOOST_TEST(source.counts().dropped_oversized == 1U);
}

BOOST_AUTO_TEST_CASE(a_message_that_arrives_in_pieces_is_received_whole)
{
    inbox box;
    const transport target(any_port, box.hook());
    bare_connection peer(target.where());
    for (const char byte : std::string("\0\0\0\5hello\0\0\0\0", 13)) {
        peer.write(std::string(1, byte));
    }
    BOOST_TEST(box.wait_for("hello"));
    BOOST_TEST(box.wait_for(""));
}

BOOST_AUTO_TEST_CASE(a_peer_that_announces_more_than_the_largest_message_is_disconnected)
{
    inbox box;
    const transport target(any_port, box.hook());
    bare_connection peer(target.where());
    peer.write("\xff\xff\xff\xff");
    BOOST_TEST(peer.is_closed_by_transport());
    BOOST_TEST(target.counts().received == 0U);
}

BOOST_AUTO_TEST_CASE(a_peer_that_breaks_off_in_mid_message_costs_that_message_alone)
{
    inbox box;
    const transport target(any_port, box.hook());
    {
        bare_connection peer(target.where());
        peer.write(std::string("\0\0\0\5hel", 7));
    }
    transport source(any_port, ignore);
    source.send(target.where(), "whole");
    BOOST_REQUIRE(box.wait_for("whole"));
    BOOST_TEST(target.counts().received == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
