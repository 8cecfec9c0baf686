#include "azureshore/outcomes/internal/key_table.hpp"

#include "azureshore/core/hash.hpp"

#include <algorithm>
#include <vector>

namespace azureshore::outcomes::detail {

namespace {

std::size_t size_of(const wire::stored_answer& answer)
{
    std::size_t bytes = sizeof(answer) + answer.body.size();
    for (const auto& each : answer.headers) {
        bytes += sizeof(each) + each.name.size() + each.value.size();
    }
    return bytes;
}

} // namespace

wire::key_digest digest_of(std::string_view key)
{
    constexpr std::uint64_t high_seed = 0x9e3779b97f4a7c15;
    return {stable_hash(key), stable_hash(key, high_seed)};
}

void key_table::apply(std::uint64_t offset, const wire::run_record& record,
                      const key_events& events)
{
    this->expire_keys(std::min(record.expired_below, offset));
    // Event handlers may post new entries, so they are called after the whole record is applied.
    std::vector<std::function<void()>> notifications;
    for (const auto& each : record.outcomes) {
        if (this->apply_outcome(each)) {
            notifications.emplace_back([&] { events.request_ended(each); });
        }
    }
    for (const auto& each : record.releases) {
        if (this->apply_release(each)) {
            notifications.emplace_back([&] { events.key_released(each); });
        }
    }
    for (const auto& each : record.intents) {
        const auto& event =
            this->apply_intent(each, offset) ? events.intent_held : events.intent_lost;
        notifications.emplace_back([&] { event(each); });
    }
    for (const auto& each : notifications) {
        each();
    }
}

bool key_table::apply_outcome(const wire::run_outcome& outcome)
{
    auto* entry = this->find_held_by(outcome.key, outcome.id);
    if (entry == nullptr || entry->status == key_status::answered) {
        return false;
    }
    entry->status = outcome.answered ? key_status::answered : key_status::unknown;
    if (outcome.answer) {
        entry->answer = std::make_unique<const wire::stored_answer>(*outcome.answer);
        this->answer_bytes += size_of(*entry->answer);
        this->keys_with_answer.push_back(outcome.key);
    }
    return true;
}

bool key_table::apply_release(const wire::run_release& release)
{
    auto* entry = this->find_held_by(release.key, release.id);
    if (entry == nullptr || entry->status == key_status::answered) {
        return false;
    }
    this->entries.erase(release.key);
    return true;
}

bool key_table::apply_intent(const wire::run_intent& intent, std::uint64_t offset)
{
    const auto [it, inserted] = this->entries.try_emplace(intent.key);
    if (!inserted) {
        return false;
    }
    it->second = {intent.id, intent.fingerprint, offset, nullptr, key_status::running};
    this->key_offsets.push_back({intent.key, offset});
    return true;
}

void key_table::expire_keys(std::uint64_t below)
{
    this->expired_below = std::max(this->expired_below, below);
    while (!this->key_offsets.empty() && this->key_offsets.front().offset < this->expired_below) {
        const auto it = this->entries.find(this->key_offsets.front().key);
        if (it != this->entries.end() && it->second.offset < this->expired_below) {
            this->drop_answer(it->second);
            this->entries.erase(it);
        }
        this->key_offsets.pop_front();
    }
    while (!this->keys_with_answer.empty() && !this->has_answer(this->keys_with_answer.front())) {
        this->keys_with_answer.pop_front();
    }
}

bool key_table::has_answer(const wire::key_digest& key) const
{
    const auto it = this->entries.find(key);
    return it != this->entries.end() && it->second.answer != nullptr;
}

key_entry* key_table::find_held_by(const wire::key_digest& key, const wire::intent_id& id)
{
    const auto it = this->entries.find(key);
    return it != this->entries.end() && it->second.holder == id ? &it->second : nullptr;
}

const key_entry* key_table::find(const wire::key_digest& key, std::uint64_t below) const
{
    const auto it = this->entries.find(key);
    return it != this->entries.end() && it->second.offset >= below ? &it->second : nullptr;
}

void key_table::drop_answer(key_entry& entry)
{
    if (entry.answer) {
        this->answer_bytes -= size_of(*entry.answer);
        entry.answer.reset();
    }
}

void key_table::trim_answers(std::size_t max_bytes)
{
    while (this->answer_bytes > max_bytes && !this->keys_with_answer.empty()) {
        const auto it = this->entries.find(this->keys_with_answer.front());
        if (it != this->entries.end()) {
            this->drop_answer(it->second);
        }
        this->keys_with_answer.pop_front();
    }
}

void key_table::reset(std::uint64_t offset)
{
    this->entries.clear();
    this->key_offsets.clear();
    this->keys_with_answer.clear();
    this->answer_bytes = 0;
    this->expired_below = std::max(this->expired_below, offset);
}

} // namespace azureshore::outcomes::detail
