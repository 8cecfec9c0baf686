#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/observe/decision.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace azureshore::observe {

// What a line is about. Each kind has bounds of its own, so that a flood of requests does not
// push out the lines that explain them.
enum class event_kind : std::uint8_t { request, state };

struct event_log_settings {
    // Lines a second of each kind; more are counted and dropped.
    std::size_t lines_per_second = 200;
    // Bytes that wait for a reader of the output; more are counted and dropped.
    std::size_t most_waiting = 256UL * 1024UL;
    // Lines are written together once so many bytes wait, or at a flush.
    std::size_t write_at = 8UL * 1024UL;
};

// Takes bytes without ever waiting and says how many it took.
using event_sink = std::function<std::size_t(std::string_view)>;

// A sink on a file descriptor, which is made non-blocking.
event_sink descriptor_sink(int descriptor);

// The structured log: one line for each event, `time=... event=... key=value ...`. Never blocks;
// lines beyond its bounds are dropped, and a line says how many. One thread.
class event_log {
public:
    // `wall_clock` gives the time of day in milliseconds since 1970.
    event_log(event_log_settings bounds, event_sink to, std::function<std::int64_t()> wall_clock);

    void write(time_point now, event_kind kind, const decision& event);

    // Writes what waits, as far as the sink takes it.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const { return this->total_dropped; }

private:
    void begin_second(time_point now);
    void add_line(const decision& event);

    event_log_settings settings;
    event_sink sink;
    std::function<std::int64_t()> clock;
    std::string waiting;
    time_point second_began{};
    std::array<std::size_t, 2> lines{};
    std::uint64_t dropped_now = 0;
    std::uint64_t total_dropped = 0;
};

} // namespace azureshore::observe
