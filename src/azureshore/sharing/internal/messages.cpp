#include "azureshore/sharing/internal/sharing_constants.hpp"
#include "azureshore/sharing/internal/sharing_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// Broadcasts that a daemon remembers to recognise further copies.
constexpr std::size_t max_seen_broadcasts = 1024;
// How long after a pull this daemon reads records that it knows to be missing from the store.
constexpr duration pull_timeout = std::chrono::milliseconds(200);
// Limit on the total size of the records in one message, so that the message fits into a datagram.
// A single record above this limit is sent in a message of its own.
constexpr std::size_t max_news_bytes = 32UL * 1024UL;

std::size_t byte_size(const std::optional<std::string>& text)
{
    return text ? text->size() : 0;
}

std::size_t byte_size(const wire::shared_record& record)
{
    return record.key.size() + byte_size(record.value) + byte_size(record.dropped_value);
}

std::size_t byte_size(const wire::earlier_record& earlier)
{
    return byte_size(earlier.record);
}

// Divides records into one or more groups of a bounded size.
template <class Record>
std::vector<std::vector<Record>> split_by_size(const std::vector<Record>& records)
{
    std::vector<std::vector<Record>> groups(1);
    std::size_t bytes = 0;
    for (const auto& each : records) {
        if (!groups.back().empty() && bytes + byte_size(each) > max_news_bytes) {
            groups.emplace_back();
            bytes = 0;
        }
        groups.back().push_back(each);
        bytes += byte_size(each);
    }
    return groups;
}

// Splits news into messages of a bounded size, each of which starts where the previous one ends.
std::vector<wire::topic_news> split_news(wire::topic_news news)
{
    std::vector<wire::topic_news> parts;
    auto groups = split_by_size(std::exchange(news.records, {}));
    for (auto& each : groups) {
        auto part = news;
        if (!parts.empty()) {
            part.from = each.front().offset;
            parts.back().next.offset = part.from;
        }
        part.records = std::move(each);
        parts.push_back(std::move(part));
    }
    return parts;
}

} // namespace

std::vector<wire::topic_snapshot> store_sharing::state::snapshot_of(const topic_state& topic) const
{
    const auto now = this->now();
    std::vector<wire::shared_record> records;
    for (const auto& [key, newest] : topic.newest_records) {
        records.push_back(newest.record);
    }
    for (const auto& [offset, removed] : topic.removed_keys) {
        if (!topic.newest_records.contains(removed.key)) {
            records.push_back({offset, removed.key, std::nullopt, removed.dropped_value});
        }
    }
    std::vector<wire::earlier_record> earlier_records;
    for (const auto& [key, each] : topic.earlier_records) {
        if (each.valid_until > now) {
            earlier_records.push_back(
                {{0, key, each.value, each.dropped_value}, each.valid_until - now});
        }
    }
    wire::topic_snapshot part;
    part.topic = topic.kind;
    part.next = topic.next;
    part.age = now - topic.current_as_of;
    part.snapshot_id = this->hooks.random();
    part.before = topic.before;
    std::vector<wire::topic_snapshot> snapshot;
    for (auto& each : split_by_size(records)) {
        snapshot.push_back(part);
        snapshot.back().records = std::move(each);
    }
    if (!earlier_records.empty()) {
        for (auto& each : split_by_size(earlier_records)) {
            snapshot.push_back(part);
            snapshot.back().earlier_records = std::move(each);
        }
    }
    for (std::size_t i = 0; i < snapshot.size(); ++i) {
        snapshot[i].part = static_cast<std::uint32_t>(i);
        snapshot[i].parts = static_cast<std::uint32_t>(snapshot.size());
    }
    return snapshot;
}

void store_sharing::state::send_all_records(const wire::member_entry& recipient,
                                            const topic_state& topic)
{
    for (const auto& part : this->snapshot_of(topic)) {
        this->send_to({recipient}, part);
    }
}

// News alone would leave a gap between what the others know and what was listed, and each of them
// would have to close it with calls of its own.
void store_sharing::state::broadcast_unsent_snapshots()
{
    if (!this->is_reader()) {
        return;
    }
    for (auto& topic : this->topics) {
        if (std::exchange(topic.snapshot_unsent, false)) {
            this->broadcast_snapshot(topic);
        }
    }
}

void store_sharing::state::broadcast_snapshot(const topic_state& topic)
{
    for (auto& part : this->snapshot_of(topic)) {
        part.broadcast_id = this->hooks.random();
        this->first_receipt(part.broadcast_id);
        this->broadcast(part);
    }
}

// Sends what has changed since a position, and how old this daemon's knowledge is.
void store_sharing::state::send_update(const wire::member_entry& recipient, topic_state& topic,
                                       const wire::topic_position& from)
{
    if (from.epoch < topic.next.epoch ||
        (from.epoch == topic.next.epoch && from.offset < topic.history_begin)) {
        this->send_all_records(recipient, topic);
        return;
    }
    if (from.epoch > topic.next.epoch) {
        // The recipient only learns that this daemon knows nothing newer.
        this->send_to({recipient},
                      wire::topic_update{topic.kind, topic.next.offset, topic.next, max_age, {}});
        return;
    }
    wire::topic_news changes;
    changes.from = std::min(from.offset, topic.next.offset);
    changes.next = topic.next;
    for (const auto& [key, newest] : topic.newest_records) {
        if (newest.changed_offset >= from.offset) {
            // Each record is sent at the offset of its last change. If it were sent at that of a
            // later renewal and its part were lost, the receiver would ask for changes from a point
            // after this one, and the record would be left out.
            auto record = newest.record;
            record.offset = newest.changed_offset;
            changes.records.push_back(std::move(record));
        }
    }
    for (auto removed = topic.removed_keys.lower_bound(from.offset);
         removed != topic.removed_keys.end(); ++removed) {
        changes.records.push_back({removed->first, removed->second.key, std::nullopt});
    }
    std::sort(changes.records.begin(), changes.records.end(),
              [](const auto& left, const auto& right) { return left.offset < right.offset; });
    const auto age = this->now() - topic.current_as_of;
    // Only the last part makes the receiver as current as this daemon.
    for (auto& part : split_news(std::move(changes))) {
        const bool last = part.next == topic.next;
        this->send_to({recipient},
                      wire::topic_update{topic.kind, part.from, part.next, last ? age : max_age,
                                         std::move(part.records)});
    }
}

void store_sharing::state::handle_update(const wire::topic_update& update)
{
    const auto now = this->now();
    this->peer_answered_at = now;
    auto& topic = this->topic_for(update.topic);
    if (!topic.listed || update.next.epoch != topic.next.epoch || update.from > topic.next.offset) {
        return;
    }
    for (const auto& each : update.records) {
        if (each.offset >= topic.next.offset) {
            this->apply_record(topic, {each.offset, each.key, each.value});
        }
    }
    if (update.next > topic.next) {
        topic.recent_reads.clear();
        topic.next = update.next;
        topic.missed_records = false;
    }
    topic.current_as_of =
        std::max(topic.current_as_of, now - std::clamp(update.age, duration{}, max_age));
    if (now - topic.current_as_of < fraction_of(this->settings.apply_within, takeover_fraction)) {
        this->set_store_unavailable(false);
    }
}

// Asks other daemons for what this one has missed.
void store_sharing::state::pull_from_others()
{
    this->send_to(this->random_members(pulled_daemons),
                  wire::topics_pull{this->known_members.self(), this->topics[0].next,
                                    this->topics[1].next, false, 0});
}

void store_sharing::state::send_to(const std::vector<wire::member_entry>& recipients,
                                   const wire::message& body)
{
    std::vector<address> addresses;
    addresses.reserve(recipients.size());
    for (const auto& each : recipients) {
        addresses.push_back(each.where);
    }
    if (!addresses.empty()) {
        this->hooks.send(addresses, body);
    }
}

void store_sharing::state::broadcast(const wire::message& body)
{
    auto recipients = this->known_members.children();
    for (const auto& each : this->known_members.roots()) {
        if (std::find(recipients.begin(), recipients.end(), each) == recipients.end()) {
            recipients.push_back(each);
        }
    }
    this->send_to(recipients, body);
}

bool store_sharing::state::first_receipt(std::uint64_t broadcast_id)
{
    if (!this->seen_broadcasts.insert(broadcast_id).second) {
        return false;
    }
    this->seen_broadcasts_by_age.push_back(broadcast_id);
    if (this->seen_broadcasts_by_age.size() > max_seen_broadcasts) {
        this->seen_broadcasts.erase(this->seen_broadcasts_by_age.front());
        this->seen_broadcasts_by_age.pop_front();
    }
    return true;
}

void store_sharing::state::send_news(topic_state& topic)
{
    if (topic.recent_reads.empty()) {
        return;
    }
    wire::topic_news news;
    news.reader = this->settings.self;
    news.topic = topic.kind;
    news.from = topic.recent_reads.front().first_offset;
    news.next = topic.next;
    const auto& operators = this->topic_for(wire::shared_topic::operators);
    news.operators_next = operators.next;
    if (operators.read_incomplete && !operators.recent_reads.empty()) {
        // The parts read so far have not been passed on.
        news.operators_next.offset = operators.recent_reads.back().first_offset;
    }
    news.operators_before = operators.before;
    news.members_digest = this->known_members.digest();
    for (const auto& each : topic.recent_reads) {
        news.records.insert(news.records.end(), each.records.begin(), each.records.end());
    }
    if (topic.kind == wire::shared_topic::registrations) {
        this->count_missed_reports();
        this->total_request_rate = this->subtree_request_rate();
        this->report_to_parent();
    }
    news.request_rate = this->total_request_rate;
    for (auto& part : split_news(std::move(news))) {
        part.ends_round = part.next == topic.next;
        part.broadcast_id = this->hooks.random();
        this->first_receipt(part.broadcast_id);
        this->broadcast(part);
    }
}

void store_sharing::state::receive(const wire::envelope& received)
{
    this->peer_heard_at = this->now();
    if (const auto* news = std::get_if<wire::topic_news>(&received.body)) {
        if (this->first_receipt(news->broadcast_id)) {
            this->send_to(this->known_members.children(), received.body);
            this->handle_news(*news);
        }
    }
    else if (const auto* suspicion = std::get_if<wire::crash_suspicion>(&received.body)) {
        if (this->first_receipt(suspicion->broadcast_id)) {
            this->send_to(this->known_members.children(), received.body);
            this->hooks.crash_suspected(suspicion->fingerprint);
        }
    }
    else if (const auto* notice = std::get_if<wire::rollout_notice>(&received.body)) {
        if (this->first_receipt(notice->broadcast_id)) {
            this->send_to(this->known_members.children(), received.body);
            if (this->hooks.rollouts_noticed) {
                this->hooks.rollouts_noticed(*notice);
            }
        }
    }
    else if (const auto* report = std::get_if<wire::rollout_report>(&received.body)) {
        if (this->hooks.rollouts_reported) {
            this->hooks.rollouts_reported(*report);
        }
    }
    else if (const auto* snapshot = std::get_if<wire::topic_snapshot>(&received.body)) {
        if (snapshot->broadcast_id == 0) {
            this->handle_snapshot(*snapshot);
        }
        else if (this->first_receipt(snapshot->broadcast_id)) {
            this->send_to(this->known_members.children(), received.body);
            this->handle_snapshot(*snapshot);
        }
    }
    else if (const auto* update = std::get_if<wire::topic_update>(&received.body)) {
        this->handle_update(*update);
    }
    else if (const auto* hello = std::get_if<wire::member_hello>(&received.body)) {
        this->handle_hello(*hello);
    }
    else if (const auto* changes = std::get_if<wire::member_changes>(&received.body)) {
        this->handle_members(changes->members);
    }
    else if (const auto* digests = std::get_if<wire::member_digests>(&received.body)) {
        this->handle_digests(*digests);
    }
    else if (const auto* pull = std::get_if<wire::topics_pull>(&received.body)) {
        this->handle_pull(*pull);
    }
    else if (const auto* redirect = std::get_if<wire::pull_redirect>(&received.body)) {
        this->handle_redirect(*redirect);
    }
}

void store_sharing::state::handle_news(const wire::topic_news& news)
{
    auto& topic = this->topic_for(news.topic);
    if (news.next.epoch < topic.next.epoch) {
        // The reader does not know yet that the store was restored.
        return;
    }
    const auto now = this->now();
    const bool from_best_reader =
        !this->reader ||
        now - this->reader_heard_at > fraction_of(this->settings.apply_within, takeover_fraction) ||
        this->known_members.rank_of(news.reader) <= this->known_members.rank_of(*this->reader);
    if (from_best_reader) {
        this->total_request_rate = news.request_rate;
        this->reader = news.reader;
        this->reader_heard_at = now;
    }
    if (!topic.listed) {
        return;
    }
    if (from_best_reader && news.ends_round && news.topic == wire::shared_topic::registrations) {
        this->compare_views(news.members_digest);
        this->count_missed_reports();
        this->report_to_parent();
    }
    if (news.ends_round) {
        this->compare_knowledge(news);
    }
    auto& operators = this->topic_for(wire::shared_topic::operators);
    if (&topic != &operators && news.operators_next > operators.next) {
        this->fetch_missed_records(operators);
    }
    if (news.next.epoch > topic.next.epoch || news.from > topic.next.offset) {
        // The store was restored, or an earlier news message was lost.
        this->fetch_missed_records(topic);
        return;
    }
    for (const auto& each : news.records) {
        if (each.offset >= topic.next.offset) {
            this->apply_record(topic, {each.offset, each.key, each.value});
        }
        else if (!has_seen(topic, each)) {
            this->report_dropped_record(topic, news, each);
        }
    }
    topic.snapshot_unsent = false;
    // This daemon's next read starts after the records of this message. Between its earlier reads
    // and the next one there is a gap, so they can no longer be sent together.
    topic.recent_reads.clear();
    topic.next = std::max(topic.next, news.next);
    topic.current_as_of = now;
    topic.last_call_failed = false;
    topic.missed_records = false;
    if (news.operators_next <= operators.next &&
        news.operators_next.epoch == operators.next.epoch) {
        operators.current_as_of = now;
        operators.last_call_failed = false;
    }
    this->set_store_unavailable(false);
}

// Returns whether a record from before the topic's next offset is known or has been replaced since.
bool store_sharing::state::has_seen(const topic_state& topic, const wire::shared_record& record)
{
    const auto known = topic.newest_records.find(record.key);
    if (known != topic.newest_records.end()) {
        return known->second.record.offset > record.offset || known->second.record == record;
    }
    return !record.value ||
           std::any_of(topic.removed_keys.lower_bound(record.offset), topic.removed_keys.end(),
                       [&](const auto& removed) { return removed.second.key == record.key; });
}

void store_sharing::state::report_dropped_record(const topic_state& topic,
                                                 const wire::topic_news& news,
                                                 const wire::shared_record& record)
{
    ++this->dropped_record_count;
    if (this->hooks.decided) {
        this->hooks.decided({"record_dropped",
                             {{"topic", std::string(wire::to_string(topic.kind))},
                              {"reader", news.reader.value},
                              {"key", record.key},
                              {"offset", std::to_string(record.offset)},
                              {"known", std::to_string(topic.next.offset)}}});
    }
}

// Asks other daemons for records that this one has missed, and reads them from the store if they
// have not come soon after.
void store_sharing::state::fetch_missed_records(topic_state& topic)
{
    if (std::exchange(topic.missed_records, true)) {
        return;
    }
    this->pull_from_others();
    this->run_after(pull_timeout, [kind = topic.kind](state& self) {
        if (self.topic_for(kind).missed_records) {
            self.read_topic(self.topic_for(kind), std::chrono::milliseconds(0));
        }
    });
}

void store_sharing::state::broadcast_crash_suspicion(std::uint64_t fingerprint)
{
    const wire::crash_suspicion suspicion{fingerprint, this->hooks.random()};
    this->first_receipt(suspicion.broadcast_id);
    this->broadcast(suspicion);
}

void store_sharing::state::broadcast_rollouts(const std::vector<wire::rollout_status>& rollouts)
{
    const wire::rollout_notice notice{rollouts, this->hooks.random()};
    this->first_receipt(notice.broadcast_id);
    this->broadcast(notice);
}

bool store_sharing::state::report_rollouts(const wire::rollout_report& report)
{
    const auto recipient = this->report_recipient();
    if (recipient) {
        this->send_to({*recipient}, report);
    }
    return recipient.has_value();
}

} // namespace azureshore::sharing
