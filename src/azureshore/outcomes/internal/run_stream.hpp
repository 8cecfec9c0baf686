#pragma once

#include "azureshore/outcomes/internal/key_table.hpp"
#include "azureshore/outcomes/internal/token_bucket.hpp"
#include "azureshore/outcomes/run_once.hpp"
#include "azureshore/platform/log.hpp"
#include "azureshore/wire/outcome_messages.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace azureshore::outcomes::detail {

using run_entry = std::variant<wire::run_intent, wire::run_release, wire::run_outcome>;

// Actions and events of a stream, handled by its owner.
struct stream_hooks {
    std::function<void(std::string bytes, std::uint64_t append_id)> append;
    // Forwards entries to the VM with this rank among those that may append for all.
    std::function<void(std::size_t rank, const wire::run_record& entries)> forward;
    // Returns whether this VM appends entries itself while the VM with this rank is the appender.
    std::function<bool(std::size_t rank)> appends_at_rank;
    // The log refused an append with this intent, so that append did not add it.
    std::function<void(const wire::intent_id&)> intent_refused;
    // Returns the id of the next append, unique across streams.
    std::function<std::uint64_t()> next_append_id;
    std::function<void(std::string_view event)> log;
    key_events events;
};

// One run-once stream on one VM: the table of its keys, and the entries of this VM that have not
// been read back from it yet. An entry is appended again until it is read back. This is safe, since
// the second copy of an entry has no effect.
class run_stream {
public:
    run_stream(std::uint64_t instance_number, stream_hooks stream_actions);

    void configure(const run_once_limits& new_limits, double appends_per_second);
    void set_key_lifetime(duration lifetime) { this->key_lifetime = lifetime; }

    // Returns whether keyed requests may be admitted: the stream has been read up to its end, and
    // recent reads and appends succeeded.
    [[nodiscard]] bool ready(time_point now) const;
    // Returns whether this VM has read the stream without a gap, so that its table is complete up
    // to the last successful read.
    [[nodiscard]] bool is_current(time_point now) const;
    [[nodiscard]] const key_entry* find(time_point now, const wire::key_digest& key) const;
    [[nodiscard]] std::size_t size() const { return this->table.size(); }
    [[nodiscard]] std::uint64_t next_offset() const { return this->next; }
    // Returns whether all entries of this VM have been read back.
    [[nodiscard]] bool settled() const { return this->pending_entries.empty(); }

    // Adds an entry of this VM, which is appended until it is read back.
    void post(time_point now, run_entry entry);
    // Adds entries of another VM, which are appended once.
    void post_remote(const wire::run_record& entries);
    // Stops appending an intent. It may be in the log already or appear in it later.
    void withdraw(time_point now, const wire::intent_id& id);

    void append_ended(time_point now, std::uint64_t append_id, platform::append_outcome outcome);
    void handle_read(time_point now, const platform::read_result& result);

    // Appends or forwards the due entries, as far as the rate limiter allows.
    void flush(time_point now);
    [[nodiscard]] time_point next_flush(time_point now);

private:
    struct entry_key {
        std::uint64_t number = 0;
        std::size_t kind = 0;
        auto operator<=>(const entry_key&) const = default;
    };
    struct pending_entry {
        run_entry body;
        time_point posted;
        std::optional<time_point> sent;
        unsigned send_count = 0;
        std::size_t rank = 0;
    };
    // An append whose result is awaited.
    struct pending_append {
        std::vector<entry_key> entry_keys;
        time_point started;
    };
    using pending_map = std::map<entry_key, pending_entry>;

    // Keys held by records below this offset have expired, by the records or by this VM's clock.
    [[nodiscard]] std::uint64_t expired_below(time_point now) const;
    void record_read_time(time_point now);
    [[nodiscard]] time_point due_at(const pending_entry& entry) const;
    [[nodiscard]] bool any_due(time_point now) const;
    void skip_slow_appender(time_point now);
    // Collects due entries into a record, until it reaches the size limit, and the keys of this
    // VM's own entries into `entry_keys`.
    wire::run_record collect_due_entries(time_point now, std::vector<entry_key>& entry_keys);
    void append(time_point now, bool empty);
    [[nodiscard]] bool appends_entries() const;
    // Returns when this VM next declares keys of an idle stream expired.
    [[nodiscard]] time_point sweep_due() const;
    void apply(std::uint64_t offset, const wire::run_record& record);
    void remove_confirmed(const wire::run_record& record);
    void remove_confirmed(const wire::intent_id& id, const run_entry& entry);
    // Discards the table and continues at an offset, as a VM without history does.
    void reset(std::uint64_t offset);

    std::uint64_t instance;
    stream_hooks hooks;
    run_once_limits limits;
    token_bucket bucket;
    key_table table;
    std::uint64_t next = 0;
    bool caught_up = false;
    // A record of a newer format version was read, so the table may be wrong.
    bool newer_version_seen = false;
    std::optional<time_point> last_successful_read;
    time_point last_read;
    time_point next_sweep{};
    // When this VM had read up to which offset, oldest first. Keys held below an offset are older
    // than its time.
    std::deque<std::pair<time_point, std::uint64_t>> read_times;
    duration key_lifetime{};
    pending_map pending_entries;
    std::deque<run_entry> remote_entries;
    std::uint64_t remote_expired_below = 0;
    std::unordered_map<std::uint64_t, pending_append> appends_in_flight;
    // Whether appends fail or take too long. A probe that is accepted in time resets it.
    bool append_failing = false;
    time_point next_append_probe{};
    std::size_t appender_rank = 0;
    time_point appender_rank_until{};
};

} // namespace azureshore::outcomes::detail
