#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/net/http_server.hpp"
#include "service_tools.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::standin {

// Faults of the store, switched at run time.
struct store_faults {
    // Every call is refused, and nothing is done.
    bool outage = false;
    // No call is answered, and nothing is done.
    bool silent = false;
    // Each answer is held back this long.
    duration slow{};
    // This many further appends take effect and are not answered.
    std::int64_t lost_answers = 0;
    // This many further appends are not answered and take effect `late_by` later.
    std::int64_t late_appends = 0;
    duration late_by = std::chrono::seconds(2);
    // Whether a record that comes leaves waiting reads asleep.
    bool sleepy = false;
};

struct store_limits {
    // Calls beyond these rates get 429.
    double writes_per_second = 100;
    double reads_per_second = 400;
    // Records of a topic that can still be read one by one; the newest of each key stays listed.
    std::size_t retained_records = 10'000;
};

// The users' platform's store as far as a gateway uses it: topics of keyed records with one
// partition, in memory.
class keyed_store {
public:
    keyed_store(store_limits limits, delay_function after);

    // Handles one HTTP call.
    void handle(const net::http_call& call, net::responder respond);

    // Writes as operators and backend servers do, past rates and faults; no value drops the key.
    void put(const std::string& topic, const std::string& key, std::optional<std::string> value);

    // Forgets all but the newest records of a topic, so that a read from before them is too old.
    void compact(const std::string& topic);

    // Keeps a copy of all topics, which replaces the previous one.
    void take_backup();

    // Restores all topics from the last backup, or empties them if there is none. What was written
    // since is lost and its offsets are reused; waiting reads end without records.
    void restore_backup();

    void set_faults(const store_faults& now);

private:
    struct record {
        std::uint64_t offset = 0;
        std::string key;
        std::optional<std::string> value;
    };

    struct topic_state {
        std::uint64_t next_offset = 0;
        std::deque<record> history;
        std::map<std::string, record> newest;
        [[nodiscard]] std::uint64_t first_offset() const;
    };

    using pending_answers = std::vector<std::function<void()>>;

    void control(const std::string& path, const net::http_call& call,
                 const net::responder& respond);
    void end_wait(std::uint64_t id);

    // All below are called under the lock; answers are given after it is released. An empty result
    // of serve(), append() or read() means that the call is answered later or not at all.
    std::optional<net::http_answer> serve(const std::string& path, const net::http_call& call,
                                          const net::responder& respond, pending_answers& woken);
    std::optional<net::http_answer> append(const net::http_call& call, pending_answers& woken);
    std::optional<net::http_answer> read(const net::http_call& call, const net::responder& respond);
    net::http_answer newest(const net::http_call& call);
    pending_answers add(const std::string& topic, record entry);
    [[nodiscard]] net::http_answer records_answer(const topic_state& of, std::uint64_t from) const;
    // What a call that is no control call meets first; nothing when it goes on.
    std::optional<net::http_answer> turned_away(bool writes);
    // Adds the epoch of the records that the answer was made from.
    [[nodiscard]] net::http_answer with_era(net::http_answer answer) const;

    store_limits limits;
    delay_function after;
    std::mutex lock;
    store_faults faults;
    call_rate writes;
    call_rate reads;
    std::map<std::string, topic_state> topics;
    std::map<std::string, topic_state> backup;
    // The epoch of the records: one more after each restore. Offsets of two epochs can name
    // different records and can't be compared.
    std::uint64_t era = 1;
    waiting_reads waiters;
};

// Runs the stand-in until SIGTERM or SIGINT; returns the exit status.
int run_keyed_store(const std::vector<std::string>& arguments);

} // namespace azureshore::standin
