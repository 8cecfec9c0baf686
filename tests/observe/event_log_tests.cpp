#include "azureshore/observe/event_log.hpp"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include <algorithm>
#include <array>

using namespace azureshore;
using namespace azureshore::observe;
using namespace std::chrono_literals;

namespace {

constexpr time_point start(100s);

event_log log_to(std::string& out, event_log_settings settings)
{
    return {settings,
            [&out](std::string_view bytes) {
                out += bytes;
                return bytes.size();
            },
            [] {
                return std::int64_t{1700000000000};
            }};
}

std::size_t lines_of(const std::string& text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_logs)

BOOST_AUTO_TEST_CASE(a_line_has_its_time_its_event_and_its_fields)
{
    std::string out;
    auto log = log_to(out, {});
    log.write(start, event_kind::state, {"store_lost", {{"age_ms", "1200"}}});
    log.flush();
    BOOST_TEST(out == "time=1700000000000 event=store_lost age_ms=1200\n");
}

BOOST_AUTO_TEST_CASE(lines_beyond_the_bound_are_dropped_and_counted)
{
    std::string out;
    auto log = log_to(out, {3});
    for (int i = 0; i < 10; ++i) {
        log.write(start, event_kind::request, {"send", {}});
    }
    log.write(start + 1s, event_kind::request, {"send", {}});
    log.flush();
    BOOST_TEST(lines_of(out) == 5U);
    BOOST_TEST(out.find("event=log_lines_dropped count=7") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(requests_do_not_push_out_changes_of_state)
{
    std::string out;
    auto log = log_to(out, {3});
    for (int i = 0; i < 10; ++i) {
        log.write(start, event_kind::request, {"send", {}});
    }
    log.write(start, event_kind::state, {"store_lost", {}});
    log.flush();
    BOOST_TEST(out.find("store_lost") != std::string::npos);
}

// A pipe that nobody reads is full after a while.
BOOST_AUTO_TEST_CASE(a_reader_that_does_not_read_never_blocks_the_log)
{
    std::array<int, 2> ends{};
    BOOST_REQUIRE(pipe(ends.data()) == 0);
    event_log log({1000000, 4096, 1024}, descriptor_sink(ends[1]), [] { return std::int64_t{0}; });
    for (int i = 0; i < 100000; ++i) {
        log.write(start, event_kind::request, {"send", {{"attempt", "1"}}});
    }
    BOOST_TEST(log.dropped() > 0U);
    close(ends[0]);
    close(ends[1]);
}

BOOST_AUTO_TEST_SUITE_END()
