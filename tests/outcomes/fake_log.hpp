#pragma once

#include "azureshore/core/random.hpp"
#include "azureshore/platform/log.hpp"
#include "support/virtual_clock.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace azureshore::outcomes::testing {

// Probabilities of faults of the log, from 0 to 1, and its mean times.
struct log_faults {
    // The record is appended, but its acknowledgement is lost.
    double lost_acknowledgement = 0;
    // The outcome of the append is unknown, and the record appears much later.
    double late_effect = 0;
    // The outcome of the append is unknown, and the record never appears.
    double lost_append = 0;
    double refused_append = 0;
    double stale_read = 0;
    duration append_time = std::chrono::milliseconds(2);
    duration read_time = std::chrono::milliseconds(1);
    duration retention = std::chrono::hours(24);
};

// A fake of the platform's log in virtual time, with injected faults.
class fake_log {
public:
    fake_log(fakes::virtual_clock& virtual_clock, random_source random_numbers)
        : time(virtual_clock), random(std::move(random_numbers))
    {
    }

    void append(const std::string& stream_name, std::string bytes,
                const std::function<void(platform::append_result)>& done);
    // Waits up to `wait` for a record at offset `from` or later.
    void read(const std::string& stream_name, std::uint64_t from, duration wait,
              std::function<void(platform::read_result)> done);

    log_faults faults;
    bool unavailable = false;
    std::uint64_t appends = 0;

private:
    struct record_state {
        std::string bytes;
        time_point appended_at;
    };
    struct waiting_read {
        std::uint64_t number;
        std::uint64_t from;
        std::function<void(platform::read_result)> done;
    };
    struct stream_state {
        std::uint64_t first = 0;
        std::deque<record_state> records;
        std::vector<waiting_read> waiting_reads;
    };

    bool chance(double p) { return p > 0 && uniform(this->random) < p; }
    duration add_jitter(duration mean);
    std::uint64_t put(stream_state& stream, std::string bytes);
    void reply(stream_state& stream, const waiting_read& read);

    fakes::virtual_clock& time;
    random_source random;
    std::map<std::string, stream_state> streams;
    std::uint64_t last_read = 0;
};

} // namespace azureshore::outcomes::testing
