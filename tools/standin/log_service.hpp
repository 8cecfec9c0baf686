#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/net/http_server.hpp"
#include "service_tools.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace azureshore::standin {

// Faults of the log, switched at run time.
struct log_faults {
    // Nothing is read or written; appends say that they were not written.
    bool outage = false;
    // No call is answered at all, and nothing is written.
    bool silent = false;
    // Each answer is held back this long.
    duration slow{};
    // This many further appends take effect and answer with status 500.
    std::int64_t lost_acks = 0;
    // Reads do not see this many of the newest records.
    std::uint64_t stale_records = 0;
};

struct log_limits {
    // Records kept in each stream.
    std::size_t retained_records = 1'000'000;
    // Records are kept this long.
    duration retained_for = std::chrono::hours(24);
    std::size_t appends_per_second = 400;
};

// The platform's append-only log, as a stand-in in memory.
class log_service {
public:
    log_service(log_limits limits, delay_function after);

    // Handles one HTTP call.
    void handle(const net::http_call& call, net::responder respond);

private:
    struct stored {
        time_point when;
        std::string bytes;
    };

    struct stream {
        std::uint64_t first = 0;
        std::deque<stored> records;
        [[nodiscard]] std::uint64_t next() const { return this->first + this->records.size(); }
    };

    void append(const std::string& name, const std::string& bytes, const net::responder& respond);
    void read(const std::string& name, std::uint64_t from, duration wait, net::responder respond);
    void set_faults(const net::http_call& call, const net::responder& respond);
    void expire(stream& of, time_point now);
    net::http_answer records_answer(stream& of, std::uint64_t from);
    std::vector<std::function<void()>> wake(const std::string& name);
    void end_wait(std::uint64_t id);

    log_limits limits;
    delay_function after;
    std::mutex lock;
    log_faults faults;
    std::map<std::string, stream> streams;
    waiting_reads waiters;
    call_rate appends;
};

// Runs the stand-in until SIGTERM or SIGINT; returns the exit status.
int run_log_service(const std::vector<std::string>& arguments);

} // namespace azureshore::standin
