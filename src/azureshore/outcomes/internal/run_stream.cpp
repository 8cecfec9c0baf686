#include "azureshore/outcomes/internal/run_stream.hpp"

#include "azureshore/core/failure.hpp"
#include "azureshore/wire/run_record.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::outcomes::detail {

namespace {

constexpr std::size_t max_remote_entries = 10'000;

// How long an appender that did not append in time is skipped.
constexpr duration appender_skip_time = std::chrono::seconds(5);

// The delay before an entry is appended again doubles at most this many times.
constexpr unsigned max_backoff_doublings = 4;

// Read times kept for each key lifetime; more of them would let keys expire closer to the end of
// their lifetime.
constexpr int read_times_per_lifetime = 32;

// Between records that only declare keys expired.
constexpr duration min_sweep_interval = std::chrono::seconds(1);

const wire::intent_id& id_of(const run_entry& entry)
{
    return std::visit([](const auto& each) -> const wire::intent_id& { return each.id; }, entry);
}

// Returns an upper bound of the entry's size in a record.
std::size_t size_of(const run_entry& entry)
{
    constexpr std::size_t fixed_bytes = 80;
    const auto* outcome = std::get_if<wire::run_outcome>(&entry);
    if (outcome == nullptr || !outcome->answer) {
        return fixed_bytes;
    }
    auto bytes = 2 * fixed_bytes + outcome->answer->body.size();
    for (const auto& each : outcome->answer->headers) {
        bytes += each.name.size() + each.value.size() + 2 * sizeof(std::uint64_t);
    }
    return bytes;
}

void add_entry(wire::run_record& record, const run_entry& entry)
{
    if (const auto* intent = std::get_if<wire::run_intent>(&entry)) {
        record.intents.push_back(*intent);
    }
    else if (const auto* release = std::get_if<wire::run_release>(&entry)) {
        record.releases.push_back(*release);
    }
    else {
        record.outcomes.push_back(std::get<wire::run_outcome>(entry));
    }
}

} // namespace

run_stream::run_stream(std::uint64_t instance_number, stream_hooks stream_actions)
    : instance(instance_number), hooks(std::move(stream_actions))
{
}

void run_stream::configure(const run_once_limits& new_limits, double appends_per_second)
{
    this->limits = new_limits;
    this->bucket.set_rate(appends_per_second);
}

bool run_stream::ready(time_point now) const
{
    const bool read_recently =
        this->last_successful_read && now - *this->last_successful_read < this->limits.stale_after;
    const auto slow = [&](const pending_map::value_type& each) {
        return now - each.second.posted > this->limits.slow_after;
    };
    return this->caught_up && read_recently && !this->newer_version_seen && !this->append_failing &&
           std::none_of(this->pending_entries.begin(), this->pending_entries.end(), slow);
}

bool run_stream::is_current(time_point now) const
{
    return this->caught_up && !this->newer_version_seen &&
           now - this->last_read < this->limits.stale_after;
}

const key_entry* run_stream::find(time_point now, const wire::key_digest& key) const
{
    return this->table.find(key, this->expired_below(now));
}

std::uint64_t run_stream::expired_below(time_point now) const
{
    auto below = this->table.expiry_offset();
    for (const auto& [read_at, offset] : this->read_times) {
        if (now - read_at <= this->key_lifetime) {
            break;
        }
        below = std::max(below, offset);
    }
    return below;
}

void run_stream::record_read_time(time_point now)
{
    if (this->read_times.empty() ||
        now - this->read_times.back().first > this->key_lifetime / read_times_per_lifetime) {
        this->read_times.emplace_back(now, this->next);
    }
    while (this->read_times.size() > 2 && now - this->read_times[1].first > this->key_lifetime) {
        this->read_times.pop_front();
    }
}

void run_stream::post(time_point now, run_entry entry)
{
    const entry_key key{id_of(entry).number, entry.index()};
    this->pending_entries[key] = {std::move(entry), now, std::nullopt, 0, 0};
}

void run_stream::post_remote(const wire::run_record& entries)
{
    const auto add_all = [this](const auto& all) {
        for (const auto& each : all) {
            if (this->remote_entries.size() < max_remote_entries) {
                this->remote_entries.emplace_back(each);
            }
        }
    };
    this->remote_expired_below = std::max(this->remote_expired_below, entries.expired_below);
    add_all(entries.outcomes);
    add_all(entries.releases);
    add_all(entries.intents);
}

void run_stream::withdraw(time_point now, const wire::intent_id& id)
{
    const auto it = this->pending_entries.find({id.number, 0});
    if (it == this->pending_entries.end()) {
        return;
    }
    if (it->second.sent && now - it->second.posted > this->limits.slow_after) {
        this->append_failing = true;
    }
    this->pending_entries.erase(it);
}

void run_stream::append_ended(time_point now, std::uint64_t append_id,
                              platform::append_outcome outcome)
{
    const auto it = this->appends_in_flight.find(append_id);
    if (it == this->appends_in_flight.end()) {
        return;
    }
    const auto append = std::move(it->second);
    this->appends_in_flight.erase(it);
    const bool slow = now - append.started > this->limits.slow_after;
    if (outcome == platform::append_outcome::accepted) {
        this->append_failing = slow;
    }
    if (outcome != platform::append_outcome::refused) {
        return;
    }
    this->append_failing = true;
    for (const auto& each : append.entry_keys) {
        if (each.kind == 0 && this->pending_entries.contains(each)) {
            this->hooks.intent_refused({this->instance, each.number});
        }
    }
}

void run_stream::handle_read(time_point now, const platform::read_result& result)
{
    // Other VMs may have acquired keys while this VM was paused.
    this->caught_up = this->is_current(now);
    this->last_read = now;
    if (result.outcome == platform::read_outcome::unavailable) {
        this->last_successful_read.reset();
        return;
    }
    if (result.first_offset > this->next) {
        this->reset(result.first_offset);
    }
    for (const auto& each : result.records) {
        if (each.offset != this->next) {
            continue;
        }
        ++this->next;
        const auto record = wire::decode_run_record(each.bytes);
        if (record.ok()) {
            this->apply(each.offset, *record);
        }
        else if (failure_of(record.status()) == failure::record_from_future) {
            this->newer_version_seen = true;
        }
    }
    this->record_read_time(now);
    this->caught_up = this->next >= result.next_offset;
    if (result.outcome == platform::read_outcome::ok) {
        this->last_successful_read = now;
    }
    this->table.trim_answers(this->limits.max_answers_bytes);
}

void run_stream::apply(std::uint64_t offset, const wire::run_record& record)
{
    this->remove_confirmed(record);
    this->table.apply(offset, record, this->hooks.events);
}

void run_stream::remove_confirmed(const wire::run_record& record)
{
    for (const auto& each : record.intents) {
        this->remove_confirmed(each.id, each);
    }
    for (const auto& each : record.releases) {
        this->remove_confirmed(each.id, each);
    }
    for (const auto& each : record.outcomes) {
        this->remove_confirmed(each.id, each);
    }
}

void run_stream::remove_confirmed(const wire::intent_id& id, const run_entry& entry)
{
    if (id.instance != this->instance) {
        return;
    }
    const auto it = this->pending_entries.find({id.number, entry.index()});
    if (it != this->pending_entries.end() && it->second.body == entry) {
        this->pending_entries.erase(it);
    }
}

void run_stream::reset(std::uint64_t offset)
{
    if (this->next > 0) {
        this->hooks.log("history_lost");
    }
    this->table.reset(offset);
    this->read_times.clear();
    this->next = offset;
    this->caught_up = false;
}

time_point run_stream::due_at(const pending_entry& entry) const
{
    if (!entry.sent) {
        return entry.posted;
    }
    const auto doublings = std::min(entry.send_count - 1, max_backoff_doublings);
    return *entry.sent + this->limits.append_retry_interval * (1U << doublings);
}

bool run_stream::any_due(time_point now) const
{
    return !this->remote_entries.empty() ||
           std::any_of(this->pending_entries.begin(), this->pending_entries.end(),
                       [&](const auto& each) { return this->due_at(each.second) <= now; });
}

void run_stream::skip_slow_appender(time_point now)
{
    if (this->appender_rank > 0 && now >= this->appender_rank_until) {
        this->appender_rank = 0;
    }
    if (this->hooks.appends_at_rank(this->appender_rank)) {
        return;
    }
    const auto overdue = [&](const pending_map::value_type& each) {
        const auto& entry = each.second;
        return entry.sent && entry.rank == this->appender_rank && this->due_at(entry) <= now;
    };
    if (std::any_of(this->pending_entries.begin(), this->pending_entries.end(), overdue)) {
        ++this->appender_rank;
        this->appender_rank_until = now + appender_skip_time;
    }
}

wire::run_record run_stream::collect_due_entries(time_point now, std::vector<entry_key>& entry_keys)
{
    wire::run_record record;
    std::size_t bytes = 0;
    while (!this->remote_entries.empty() && bytes < this->limits.max_record_bytes) {
        bytes += size_of(this->remote_entries.front());
        add_entry(record, this->remote_entries.front());
        this->remote_entries.pop_front();
    }
    for (auto& [key, entry] : this->pending_entries) {
        if (bytes >= this->limits.max_record_bytes) {
            break;
        }
        if (this->due_at(entry) > now) {
            continue;
        }
        bytes += size_of(entry.body);
        add_entry(record, entry.body);
        entry.sent = now;
        entry.rank = this->appender_rank;
        ++entry.send_count;
        entry_keys.push_back(key);
    }
    return record;
}

void run_stream::append(time_point now, bool empty)
{
    const auto append_id = this->hooks.next_append_id();
    auto& pending = this->appends_in_flight[append_id];
    pending.started = now;
    auto record = empty ? wire::run_record() : this->collect_due_entries(now, pending.entry_keys);
    record.expired_below = std::max(this->expired_below(now), this->remote_expired_below);
    this->hooks.append(wire::encode(record), append_id);
}

bool run_stream::appends_entries() const
{
    return !this->remote_entries.empty() || this->hooks.appends_at_rank(this->appender_rank);
}

time_point run_stream::sweep_due() const
{
    if (this->table.size() == 0 || !this->hooks.appends_at_rank(this->appender_rank)) {
        return time_point::max();
    }
    for (const auto& [read_at, offset] : this->read_times) {
        if (offset > this->table.expiry_offset()) {
            return std::max(read_at + this->key_lifetime + duration(1), this->next_sweep);
        }
    }
    return time_point::max();
}

void run_stream::flush(time_point now)
{
    if (this->append_failing && now >= this->next_append_probe) {
        this->next_append_probe = now + this->limits.append_probe_interval;
        this->append(now, true);
    }
    if (now >= this->sweep_due()) {
        this->next_sweep =
            now + std::max(this->key_lifetime / read_times_per_lifetime, min_sweep_interval);
        this->append(now, true);
    }
    this->skip_slow_appender(now);
    if (this->appends_entries()) {
        while (this->any_due(now) && this->bucket.try_take(now)) {
            this->append(now, false);
        }
        return;
    }
    while (this->any_due(now)) {
        std::vector<entry_key> entry_keys;
        auto entries = this->collect_due_entries(now, entry_keys);
        // The record must cover the expiry by which this VM considered a key free.
        entries.expired_below = this->expired_below(now);
        this->hooks.forward(this->appender_rank, entries);
    }
}

time_point run_stream::next_flush(time_point now)
{
    auto earliest = time_point::max();
    for (const auto& each : this->pending_entries) {
        earliest = std::min(earliest, this->due_at(each.second));
    }
    if (!this->remote_entries.empty()) {
        earliest = now;
    }
    if (earliest != time_point::max() && this->appends_entries()) {
        earliest = std::max(earliest, this->bucket.next_token_at(now));
    }
    earliest = std::min(earliest, this->sweep_due());
    return this->append_failing ? std::min(earliest, this->next_append_probe) : earliest;
}

} // namespace azureshore::outcomes::detail
