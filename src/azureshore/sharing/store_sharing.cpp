#include "azureshore/sharing/store_sharing.hpp"

#include "azureshore/sharing/internal/sharing_constants.hpp"
#include "azureshore/sharing/internal/sharing_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

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
                                      const std::vector<platform::keyed_record>& records)
{
    const bool restored = topic.listed && next.epoch > topic.next.epoch;
    if (restored) {
        this->report_restore(topic, next);
        // This daemon's announcement may be lost, and those of others.
        this->announced = false;
        this->members_listed_at.reset();
    }
    topic.listed = true;
    topic.next = next;
    topic.history_begin = next.offset;
    topic.recent_reads.clear();
    topic.removed_keys.clear();
    const auto known = std::exchange(topic.newest_records, {});
    for (const auto& each : records) {
        topic.newest_records[each.key] = {{each.offset, each.key, each.value}, each.offset};
    }
    if (!restored) {
        this->hooks.replace_records(topic.kind, records);
        return;
    }
    // Snapshots for other daemons must hold the newer records too.
    for (const auto& key : this->hooks.merge_restored_records(topic.kind, records)) {
        const auto newer = known.find(key);
        if (newer == known.end()) {
            topic.newest_records.erase(key);
        }
        else {
            topic.newest_records[key].record.value = newer->second.record.value;
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
    const bool changed = this->hooks.apply_record(topic.kind, record);
    if (!record.value) {
        topic.newest_records.erase(record.key);
        topic.removed_keys[record.offset] = record.key;
        if (topic.removed_keys.size() > max_removed_keys) {
            topic.history_begin = topic.removed_keys.begin()->first + 1;
            topic.removed_keys.erase(topic.removed_keys.begin());
        }
        return changed;
    }
    auto& newest = topic.newest_records[record.key];
    newest.record = {record.offset, record.key, record.value};
    if (changed) {
        newest.changed_offset = record.offset;
    }
    return changed;
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

bool store_sharing::topics_listed() const
{
    return this->inner->topics_listed();
}

bool store_sharing::members_listed() const
{
    return this->inner->members_listed;
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
