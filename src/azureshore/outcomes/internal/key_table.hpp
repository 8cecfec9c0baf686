#pragma once

#include "azureshore/wire/outcome_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace azureshore::outcomes::detail {

// The status of a key according to the log.
enum class key_status : std::uint8_t {
    // The holder's request may be running or may have run.
    running,
    // The request ran and was answered.
    answered,
    // The request may have run, and its outcome will not become known.
    unknown,
};

// One key that an intent holds.
struct key_entry {
    wire::intent_id holder;
    std::uint64_t fingerprint = 0;
    // The offset of the record whose intent holds the key.
    std::uint64_t offset = 0;
    // Null when no answer was recorded or when it has been dropped.
    std::unique_ptr<const wire::stored_answer> answer;
    key_status status = key_status::running;
};

struct key_digest_hash {
    std::size_t operator()(const wire::key_digest& key) const noexcept { return key.low; }
};

// Returns the hash that identifies a key in records.
wire::key_digest digest_of(std::string_view key);

// Handlers called for each change that a record makes, in the log's order, after the whole record
// is applied.
struct key_events {
    // The intent's key was free; the intent holds it now.
    std::function<void(const wire::run_intent&)> intent_held;
    // The intent's key is held by another intent.
    std::function<void(const wire::run_intent&)> intent_lost;
    // The holder's outcome was recorded.
    std::function<void(const wire::run_outcome&)> request_ended;
    // The holder released the key.
    std::function<void(const wire::run_release&)> key_released;
};

// The keys of one stream, derived from its records in order. The table depends on the records
// alone and on no clock, so every VM that applies the same records finds the same holders.
class key_table {
public:
    // Applies the next record. Events are called after the whole record is applied.
    void apply(std::uint64_t offset, const wire::run_record& record, const key_events& events);

    // Returns the key's entry, or null if there is none or its record is below the offset `below`.
    [[nodiscard]] const key_entry* find(const wire::key_digest& key, std::uint64_t below) const;

    // Keys held by records below this offset have expired according to the records.
    [[nodiscard]] std::uint64_t expiry_offset() const { return this->expired_below; }
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

    // Drops the oldest answers until the kept ones take at most `max_bytes`.
    void trim_answers(std::size_t max_bytes);

    // Clears the table, for a reader that restarts at `offset`.
    void reset(std::uint64_t offset);

private:
    struct key_offset {
        wire::key_digest key;
        std::uint64_t offset = 0;
    };

    bool apply_outcome(const wire::run_outcome& outcome);
    bool apply_release(const wire::run_release& release);
    bool apply_intent(const wire::run_intent& intent, std::uint64_t offset);
    void expire_keys(std::uint64_t below);
    [[nodiscard]] bool has_answer(const wire::key_digest& key) const;
    key_entry* find_held_by(const wire::key_digest& key, const wire::intent_id& id);
    void drop_answer(key_entry& entry);

    std::unordered_map<wire::key_digest, key_entry, key_digest_hash> entries;
    // Keys in the order of the records that hold them.
    std::deque<key_offset> key_offsets;
    // Keys whose answer is kept, oldest first.
    std::deque<wire::key_digest> keys_with_answer;
    std::size_t answer_bytes = 0;
    std::uint64_t expired_below = 0;
};

} // namespace azureshore::outcomes::detail
