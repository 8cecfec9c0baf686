#include "azureshore/sharing/store_sharing.hpp"

#include "azureshore/sharing/internal/sharing_constants.hpp"
#include "azureshore/sharing/internal/sharing_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// What a key held before it was last dropped, if known.
template <class RemovedKeys>
std::optional<std::string> dropped_value_of(const RemovedKeys& removed_keys, const std::string& key)
{
    const auto last = std::find_if(removed_keys.rbegin(), removed_keys.rend(),
                                   [&](const auto& each) { return each.second.key == key; });
    return last == removed_keys.rend() ? std::nullopt : last->second.dropped_value;
}

} // namespace

store_sharing::state::state(sharing_settings own_settings, shared_topics store_topics,
                            sharing_hooks owner_hooks)
    : known_members({own_settings.self, own_settings.own_address, own_settings.data_centre,
                     own_settings.incarnation, wire::member_state::serving}),
      settings(std::move(own_settings)), hooks(std::move(owner_hooks)),
      members_topic(std::move(store_topics.members)),
      topics{topic_state{wire::shared_topic::operators, std::move(store_topics.operators)},
             topic_state{wire::shared_topic::registrations, std::move(store_topics.registrations)}}
{
}

store_sharing::state::topic_state& store_sharing::state::topic_for(wire::shared_topic kind)
{
    return this->topics.at(static_cast<std::size_t>(kind));
}

const store_sharing::state::topic_state&
store_sharing::state::topic_for(wire::shared_topic kind) const
{
    return this->topics.at(static_cast<std::size_t>(kind));
}

void store_sharing::state::run_after(duration delay, std::function<void(state&)> action)
{
    this->hooks.after(delay, [weak = this->weak_from_this(), action = std::move(action)] {
        if (const auto self = weak.lock()) {
            action(*self);
        }
    });
}

duration store_sharing::state::jittered(duration delay)
{
    return fraction_of(delay, 1 + uniform(this->hooks.random) / 2);
}

void store_sharing::state::apply_list(topic_state& topic, const wire::topic_position& next,
                                      const snapshot_content& content)
{
    const bool restored = topic.listed && next.epoch > topic.next.epoch;
    if (restored) {
        this->report_restore(topic, next);
        // The store may have lost the announcements of this daemon and of others.
        this->announced = false;
        this->members_listed_at.reset();
    }
    const bool first = !std::exchange(topic.listed, true);
    topic.before = std::max(restored ? topic.next : topic.before, content.before);
    topic.history_begin = next.offset;
    topic.recent_reads.clear();
    const topic_content known{
        std::exchange(topic.next, next), std::exchange(topic.newest_records, {}),
        std::exchange(topic.removed_keys, {}), std::exchange(topic.earlier_records, {})};
    for (const auto& each : content.records) {
        if (this->hooks.is_usable && !this->hooks.is_usable(topic.kind, each)) {
            continue;
        }
        topic.newest_records[each.key] = {{each.offset, each.key, each.value}, each.offset};
    }
    auto earlier = content.earlier_records;
    for (const auto& each : content.removals) {
        topic.removed_keys[each.offset] = {each.key, each.dropped_value};
        earlier.push_back({each, max_age});
    }
    if (first) {
        this->hooks.replace_records(topic.kind, content.records, earlier);
        for (const auto& each : content.earlier_records) {
            topic.earlier_records[each.record.key] = {
                each.record.value, this->now() + each.valid_for, each.record.dropped_value};
        }
        return;
    }
    if (restored) {
        this->merge_restored_list(topic, known, content.records);
    }
    else {
        this->replace_records(topic, known, content.records);
    }
    for (const auto& each : content.earlier_records) {
        this->take_earlier_record(topic, each);
    }
}

void store_sharing::state::replace_records(topic_state& topic, const topic_content& known,
                                           const std::vector<platform::keyed_record>& records)
{
    std::vector<wire::earlier_record> still_newer;
    for (const auto& [key, each] : known.earlier_records) {
        const auto listed = topic.newest_records.find(key);
        const auto before = known.newest_records.find(key);
        const bool same_record = listed != topic.newest_records.end() &&
                                 before != known.newest_records.end() &&
                                 listed->second.record == before->second.record;
        const bool still_lacking =
            listed == topic.newest_records.end() && before == known.newest_records.end();
        if ((same_record || still_lacking) && each.valid_until > this->now() &&
            !is_written_since(topic, key, known.next.offset)) {
            topic.earlier_records.emplace(key, each);
            still_newer.push_back(
                {{0, key, each.value, each.dropped_value}, each.valid_until - this->now()});
        }
    }
    for (const auto& key : this->hooks.replace_records(topic.kind, records, still_newer)) {
        const auto kept = known.earlier_records.find(key);
        const auto before = known.newest_records.find(key);
        if (kept != known.earlier_records.end() && kept->second.value) {
            topic.earlier_records[key] = kept->second;
        }
        else if (before != known.newest_records.end()) {
            topic.earlier_records[key] = {before->second.record.value, this->now() + max_age};
        }
    }
}

void store_sharing::state::merge_restored_list(topic_state& topic, const topic_content& known,
                                               const std::vector<platform::keyed_record>& records)
{
    const auto now = this->now();
    for (const auto& key : this->hooks.merge_restored_records(topic.kind, records)) {
        const auto kept = known.earlier_records.find(key);
        const auto before = known.newest_records.find(key);
        kept_record newer{std::nullopt, now + max_age};
        if (kept != known.earlier_records.end()) {
            newer.value = kept->second.value;
            newer.dropped_value = kept->second.dropped_value;
        }
        else if (before != known.newest_records.end()) {
            newer.value = before->second.record.value;
        }
        else {
            newer.dropped_value = dropped_value_of(known.removed_keys, key);
        }
        if (!newer.value && !newer.dropped_value) {
            // What was dropped is at least as new as what the store lists.
            newer.dropped_value = topic.newest_records.at(key).record.value;
        }
        topic.earlier_records[key] = std::move(newer);
    }
    if (topic.kind != wire::shared_topic::operators) {
        // Backend servers that the store lacks register again by themselves.
        return;
    }
    for (const auto& [key, each] : known.earlier_records) {
        if (each.value && each.valid_until > now && !topic.newest_records.contains(key)) {
            topic.earlier_records.emplace(key, each);
        }
    }
    for (const auto& [key, each] : known.newest_records) {
        if (!topic.newest_records.contains(key) && !known.earlier_records.contains(key)) {
            topic.earlier_records.emplace(key, kept_record{each.record.value, now + rewrite_grace});
        }
    }
}

void store_sharing::state::report_restore(const topic_state& topic,
                                          const wire::topic_position& next) const
{
    if (this->hooks.decided) {
        this->hooks.decided({"store_restored",
                             {{"topic", std::string(wire::to_string(topic.kind))},
                              {"epoch", std::to_string(next.epoch)},
                              {"next", std::to_string(next.offset)},
                              {"known_epoch", std::to_string(topic.next.epoch)},
                              {"known", std::to_string(topic.next.offset)}}});
    }
}

bool store_sharing::state::apply_record(topic_state& topic, const platform::keyed_record& record)
{
    // Limits the memory for removals; a daemon that missed older ones gets a snapshot.
    constexpr std::size_t max_removed_keys = 1024;
    const auto effect = this->hooks.apply_record(topic.kind, record);
    if (effect == record_effect::unusable) {
        return false;
    }
    const bool is_news = effect != record_effect::unchanged;
    auto earlier = topic.earlier_records.extract(record.key);
    if (!record.value) {
        removed_key removed{record.key, std::nullopt};
        if (earlier) {
            removed.dropped_value =
                earlier.mapped().value ? earlier.mapped().value : earlier.mapped().dropped_value;
        }
        else if (const auto known = topic.newest_records.find(record.key);
                 known != topic.newest_records.end()) {
            removed.dropped_value = known->second.record.value;
        }
        topic.newest_records.erase(record.key);
        topic.removed_keys[record.offset] = std::move(removed);
        if (topic.removed_keys.size() > max_removed_keys) {
            topic.history_begin =
                std::max(topic.history_begin, topic.removed_keys.begin()->first + 1);
            topic.removed_keys.erase(topic.removed_keys.begin());
        }
        return is_news;
    }
    auto& newest = topic.newest_records[record.key];
    if (effect == record_effect::outdated) {
        const auto known = earlier ? earlier.mapped().value : newest.record.value;
        if (known) {
            topic.earlier_records[record.key] = {known, this->now() + max_age};
        }
    }
    newest.record = {record.offset, record.key, record.value};
    if (is_news) {
        newest.changed_offset = record.offset;
    }
    return is_news;
}

bool store_sharing::state::is_current(wire::shared_topic kind) const
{
    // The reader knows what the store held when its long poll began.
    const auto limit = fraction_of(this->settings.apply_within, 1 + operators_poll_fraction);
    const auto& topic = this->topic_for(kind);
    return topic.listed && !topic.missed_records && this->now() - topic.current_as_of < limit;
}

bool store_sharing::state::topics_listed() const
{
    return this->topics[0].listed && this->topics[1].listed;
}

store_sharing::store_sharing(sharing_settings settings, shared_topics topics, sharing_hooks hooks)
    : inner(std::make_shared<state>(std::move(settings), std::move(topics), std::move(hooks)))
{
}

store_sharing::~store_sharing() = default;

void store_sharing::start()
{
    this->inner->start();
}

void store_sharing::set_apply_within(duration bound)
{
    this->inner->set_apply_within(bound);
}

void store_sharing::leave()
{
    this->inner->leave();
}

void store_sharing::receive(const wire::envelope& received)
{
    this->inner->receive(received);
}

void store_sharing::broadcast_crash_suspicion(std::uint64_t fingerprint)
{
    this->inner->broadcast_crash_suspicion(fingerprint);
}

bool store_sharing::report_rollouts(const wire::rollout_report& report)
{
    return this->inner->report_rollouts(report);
}

void store_sharing::broadcast_rollouts(const std::vector<wire::rollout_status>& rollouts)
{
    this->inner->broadcast_rollouts(rollouts);
}

bool store_sharing::is_reader() const
{
    return this->inner->is_reader();
}

bool store_sharing::topics_listed() const
{
    return this->inner->topics_listed();
}

bool store_sharing::members_listed() const
{
    return this->inner->members_listed;
}

bool store_sharing::is_current(wire::shared_topic topic) const
{
    return this->inner->is_current(topic);
}

wire::topic_position store_sharing::next_position(wire::shared_topic topic) const
{
    return this->inner->topic_for(topic).next;
}

std::uint64_t store_sharing::dropped_record_count() const
{
    return this->inner->dropped_record_count;
}

double store_sharing::total_request_rate() const
{
    return this->inner->total_request_rate;
}

const members& store_sharing::known_members() const
{
    return this->inner->known_members;
}

} // namespace azureshore::sharing
