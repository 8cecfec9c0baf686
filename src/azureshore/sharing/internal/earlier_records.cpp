// What daemons know from before the store was restored from a backup, and tell each other.

#include "azureshore/sharing/internal/sharing_constants.hpp"
#include "azureshore/sharing/internal/sharing_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// How long a daemon that restarts waits before it uses its own list of a restored store, so that
// others can tell it what the store has lost.
constexpr duration held_list_patience = std::chrono::milliseconds(300);
// For this long after its start, a daemon that listed the store itself takes newer records from
// others that know them from before the store was restored.
constexpr duration earlier_records_window = std::chrono::seconds(3);
// For this long after the first answer, a daemon that listed a restored store takes further ones.
constexpr duration further_answers_window = std::chrono::milliseconds(300);
// Of the daemons that know more from before a restore than the reader does, as many tell the reader
// after each of its news if all of them do.
constexpr double telling_daemons = 6;
// The time between two requests to others by a daemon that listed a restored store.
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
    // Those of the same data centre may have been cut off together with this daemon.
    auto asked = this->random_members(pulled_daemons);
    for (const auto& each : this->random_remote_members(pulled_daemons)) {
        if (std::find(asked.begin(), asked.end(), each) == asked.end()) {
            asked.push_back(each);
        }
    }
    this->send_to(asked, wire::topics_pull{this->known_members.self(), this->topics[0].next,
                                           this->topics[1].next, true, 0});
    this->run_after(this->jittered(earlier_records_retry_delay),
                    [](state& self) { self.ask_for_earlier_records(); });
}

void store_sharing::state::end_search(topic_state& topic) const
{
    if (std::exchange(topic.seeks_earlier_records, false)) {
        topic.answers_taken_until = this->now() + further_answers_window;
    }
}

// Asks for what others know from before the store was restored, without what it holds now.
void store_sharing::state::request_earlier_records()
{
    auto asked = this->random_members(1);
    for (const auto& each : this->random_remote_members(1)) {
        asked.push_back(each);
    }
    this->send_to(asked, wire::topics_pull{this->known_members.self(),
                                           {},
                                           this->topic_for(wire::shared_topic::registrations).next,
                                           false,
                                           0});
}

// The news come from a daemon that knew the operators' topic up to this position before the store
// was restored. If that is further than this daemon knew it, records that the store has lost are
// missing here; if it is less far, the reader lacks them.
void store_sharing::state::compare_knowledge(const wire::topic_news& news)
{
    auto& operators = this->topic_for(wire::shared_topic::operators);
    if (!operators.listed || news.next.epoch != operators.next.epoch) {
        return;
    }
    if (news.operators_before > operators.before) {
        this->request_earlier_records();
    }
    else if (news.operators_before < operators.before && this->is_chosen_to_call(telling_daemons)) {
        // A reader whose news arrive is alive, even if it was declared gone while it was cut off.
        if (const auto reader_entry = this->known_members.last_entry(news.reader)) {
            this->send_all_records(*reader_entry, operators);
        }
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

bool store_sharing::state::take_earlier_records(topic_state& topic,
                                                const wire::topic_position& sender_next,
                                                const snapshot_content& content)
{
    const bool looks_for_them =
        this->now() - this->started_at < earlier_records_window || topic.seeks_earlier_records ||
        this->now() < topic.answers_taken_until || content.before > topic.before;
    // A sender that is behind may tell an operators' record that was removed since. Registrations
    // tell themselves which one is newer.
    const bool may_be_removed =
        topic.kind == wire::shared_topic::operators && sender_next.offset < topic.history_begin;
    if (sender_next != topic.next && (!looks_for_them || may_be_removed)) {
        return false;
    }
    for (const auto& each : content.earlier_records) {
        if (!is_written_since(topic, each.record.key, sender_next.offset)) {
            this->take_earlier_record(topic, each);
        }
    }
    topic.before = std::max(topic.before, content.before);
    return true;
}

// Whether a record of a key was written, or removed, at an offset or later.
bool store_sharing::state::is_written_since(const topic_state& topic, const std::string& key,
                                            std::uint64_t offset)
{
    const auto known = topic.newest_records.find(key);
    return (known != topic.newest_records.end() && known->second.record.offset >= offset) ||
           std::any_of(topic.removed_keys.lower_bound(offset), topic.removed_keys.end(),
                       [&](const auto& removed) { return removed.second.key == key; });
}

// The sender does not know yet that the store was restored. Its registrations can't be
// distinguished from those of backend servers that have registered again since.
void store_sharing::state::take_records_of_earlier_epoch(topic_state& topic,
                                                         const wire::topic_snapshot& snapshot)
{
    const bool looks_for_them = this->now() - this->started_at < earlier_records_window ||
                                topic.seeks_earlier_records ||
                                this->now() < topic.answers_taken_until;
    if (!looks_for_them || topic.kind != wire::shared_topic::operators) {
        return;
    }
    for (const auto& each : snapshot.records) {
        this->take_earlier_record(topic, {each, rewrite_grace});
    }
}

void store_sharing::state::take_earlier_record(topic_state& topic,
                                               const wire::earlier_record& record)
{
    auto taken = record;
    taken.valid_for = std::clamp(record.valid_for, duration{}, max_age);
    if (this->hooks.take_earlier_record(topic.kind, taken)) {
        topic.earlier_records[taken.record.key] = {
            taken.record.value, this->now() + taken.valid_for, taken.record.dropped_value};
    }
}

} // namespace azureshore::sharing
