// What daemons know from before the store was restored from a backup, and tell each other.

#include "azureshore/sharing/internal/sharing_constants.hpp"
#include "azureshore/sharing/internal/sharing_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// How long a daemon that restarts keeps its list of a restored store back, so that others can tell
// what the store has lost.
constexpr duration held_list_patience = std::chrono::milliseconds(300);
// For this long after its start, a daemon that listed the store itself takes newer records from
// others that know them from before the store was restored.
constexpr duration earlier_records_window = std::chrono::seconds(3);
// The time between two questions to others by a daemon that listed a restored store.
constexpr duration earlier_records_retry_delay = std::chrono::milliseconds(500);

} // namespace

// The others may know what the restored store has lost, so all that can be found are asked.
void store_sharing::state::hold_list(topic_state& topic, const platform::keyed_list& list,
                                     time_point began)
{
    const bool already_asking = std::any_of(this->topics.begin(), this->topics.end(),
                                            [](const auto& each) { return each.held.has_value(); });
    topic.held = held_list{list, began};
    this->run_after(held_list_patience,
                    [kind = topic.kind](state& self) { self.use_held_list(self.topic_for(kind)); });
    if (already_asking) {
        return;
    }
    for (const auto& each : this->settings.seeds) {
        if (each != this->settings.own_address) {
            this->request_snapshot(each, 0);
        }
    }
    this->list_members();
}

void store_sharing::state::use_held_list(topic_state& topic)
{
    const auto held = std::exchange(topic.held, std::nullopt);
    if (!held) {
        return;
    }
    this->apply_list(topic, {held->list.epoch, held->list.next_offset},
                     {held->list.records, {}, {}});
    this->seek_earlier_records(topic);
    this->handle_store_success(topic, held->began);
    this->serve_waiting_daemons();
    this->check_staleness();
}

void store_sharing::state::seek_earlier_records(topic_state& topic)
{
    const bool already_asking =
        std::any_of(this->topics.begin(), this->topics.end(),
                    [](const auto& each) { return each.seeks_earlier_records; });
    topic.seeks_earlier_records = true;
    if (!already_asking) {
        this->ask_for_earlier_records();
    }
}

void store_sharing::state::ask_for_earlier_records()
{
    if (std::none_of(this->topics.begin(), this->topics.end(),
                     [](const auto& each) { return each.seeks_earlier_records; })) {
        return;
    }
    this->send_to(this->random_members(pulled_daemons),
                  wire::topics_pull{this->known_members.self(), this->topics[0].next,
                                    this->topics[1].next, true, 0});
    this->run_after(this->jittered(earlier_records_retry_delay),
                    [](state& self) { self.ask_for_earlier_records(); });
}

void store_sharing::state::heard_earlier_records(topic_state& topic,
                                                 const wire::topic_snapshot& snapshot)
{
    // Only an answer tells what its sender knows: a broadcast may come from another daemon that
    // listed the restored store. What is known from before stands in the last part.
    if (snapshot.broadcast_id == 0 && snapshot.part + 1 == snapshot.parts &&
        snapshot.next.epoch == topic.next.epoch) {
        topic.seeks_earlier_records = false;
    }
}

// Called when another daemon's snapshot has been applied.
void store_sharing::state::merge_held_list(topic_state& topic)
{
    if (!topic.held) {
        return;
    }
    const wire::topic_position next{topic.held->list.epoch, topic.held->list.next_offset};
    if (next.epoch > topic.next.epoch) {
        this->use_held_list(topic);
        return;
    }
    topic.held.reset();
    if (next > topic.next) {
        this->read_topic(topic, std::chrono::milliseconds(0));
    }
}

void store_sharing::state::take_earlier_records(topic_state& topic,
                                                const wire::topic_snapshot& snapshot)
{
    if (this->now() - this->started_at >= earlier_records_window && !topic.seeks_earlier_records) {
        return;
    }
    if (snapshot.next.epoch == topic.next.epoch) {
        for (const auto& each : snapshot.earlier_records) {
            const auto known = topic.newest_records.find(each.record.key);
            const bool written_again = known != topic.newest_records.end() &&
                                       known->second.record.offset >= snapshot.next.offset;
            if (!written_again) {
                this->take_earlier_record(topic, each);
            }
        }
        return;
    }
    // The sender does not know yet that the store was restored. Its registrations can't be told
    // from those of backend servers that have registered again since.
    if (topic.kind == wire::shared_topic::operators) {
        for (const auto& each : snapshot.records) {
            this->take_earlier_record(topic, {each, rewrite_grace});
        }
    }
}

void store_sharing::state::take_earlier_record(topic_state& topic,
                                               const wire::earlier_record& record)
{
    if (this->hooks.take_earlier_record(topic.kind, record)) {
        topic.earlier_records[record.record.key] = {
            record.record.value, this->now() + std::clamp(record.valid_for, duration{}, max_age),
            record.record.dropped_value};
    }
}

} // namespace azureshore::sharing
