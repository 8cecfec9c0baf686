#include "azureshore/sharing/internal/sharing_constants.hpp"
#include "azureshore/sharing/internal/sharing_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// Number of daemons that send what they read. This many daemons at the head of the overall rank
// order send it to all data centres. In each data centre, this many at the head of the local rank
// order send it to the daemons there. More senders would only add messages.
constexpr std::size_t broadcasting_daemon_count = 4;
// The reader removes a member that has not answered its news for this long.
constexpr duration member_timeout = std::chrono::milliseconds(3500);
// Limit on the total size of the records in one message, so that the message fits into a datagram.
// A single record above this limit is sent in a message of its own.
constexpr std::size_t max_news_bytes = 32UL * 1024UL;

std::size_t byte_size(const wire::shared_record& record)
{
    return record.key.size() + (record.value ? record.value->size() : 0);
}

// Splits news into messages of a bounded size, each of which starts where the previous one ends.
std::vector<wire::topic_news> split_news(wire::topic_news news)
{
    std::vector<wire::topic_news> parts;
    const auto records = std::move(news.records);
    news.records.clear();
    auto part = news;
    std::size_t bytes = 0;
    for (const auto& each : records) {
        if (!part.records.empty() && bytes + byte_size(each) > max_news_bytes) {
            part.next = each.offset;
            parts.push_back(part);
            part.from = each.offset;
            part.records.clear();
            bytes = 0;
        }
        part.records.push_back(each);
        bytes += byte_size(each);
    }
    part.next = news.next;
    parts.push_back(std::move(part));
    return parts;
}

} // namespace

void store_sharing::state::send_snapshots(const std::vector<wire::member_entry>& recipients)
{
    for (const auto& each : this->topics) {
        wire::topic_news snapshot;
        snapshot.next = each.next_offset;
        for (const auto& [key, record] : each.newest_records) {
            snapshot.records.push_back(record);
        }
        auto parts = split_news(std::move(snapshot));
        std::uint32_t part_number = 0;
        for (auto& part : parts) {
            this->send_to(recipients,
                          wire::topic_snapshot{each.kind, each.next_offset,
                                               this->now() - each.current_as_of, part_number++,
                                               static_cast<std::uint32_t>(parts.size()),
                                               std::move(part.records)});
        }
    }
}

void store_sharing::state::handle_snapshot(const wire::topic_snapshot& snapshot)
{
    auto& topic = this->topic_for(snapshot.topic);
    if (snapshot.parts == 0 || (topic.listed && snapshot.next <= topic.next_offset)) {
        return;
    }
    if (topic.snapshot_next_offset != snapshot.next) {
        topic.snapshot_parts.clear();
        topic.snapshot_next_offset = snapshot.next;
    }
    topic.snapshot_parts[snapshot.part] = snapshot.records;
    if (topic.snapshot_parts.size() < snapshot.parts) {
        return;
    }
    std::vector<platform::keyed_record> records;
    for (const auto& [part_number, part] : topic.snapshot_parts) {
        for (const auto& each : part) {
            records.push_back({each.offset, each.key, each.value});
        }
    }
    topic.snapshot_parts.clear();
    this->apply_list(topic, snapshot.next, records);
    topic.current_as_of = this->now() - std::max(snapshot.age, duration{});
    this->check_staleness();
}

void store_sharing::state::send_to(const std::vector<wire::member_entry>& recipients,
                                   const wire::message& body)
{
    for (const auto& each : recipients) {
        this->hooks.send(each.where, body);
    }
}

void store_sharing::state::send_news(topic_state& topic)
{
    const bool sends_everywhere = this->known_members.rank() < broadcasting_daemon_count;
    if (this->leaving || topic.recent_reads.empty() ||
        (!sends_everywhere && this->known_members.local_rank() >= broadcasting_daemon_count)) {
        return;
    }
    wire::topic_news news;
    news.reader = this->settings.self;
    news.topic = topic.kind;
    news.from = topic.recent_reads.front().first_offset;
    news.next = topic.next_offset;
    news.operators_next = this->topic_for(wire::shared_topic::operators).next_offset;
    news.members_digest = this->known_members.digest();
    news.request_rate = this->sum_request_rates();
    this->total_request_rate = news.request_rate;
    for (const auto& each : topic.recent_reads) {
        news.records.insert(news.records.end(), each.records.begin(), each.records.end());
    }
    for (const auto& part : split_news(std::move(news))) {
        this->send_to(this->known_members.local_members(), part);
        if (sends_everywhere) {
            this->send_to(this->known_members.remote_relays(), part);
        }
    }
    if (sends_everywhere && std::exchange(this->member_views_differ, false)) {
        wire::member_list list{this->settings.self, this->known_members.others()};
        list.members.push_back(
            {this->settings.self, this->settings.own_address, this->settings.data_centre, false});
        this->send_to(this->known_members.local_members(), list);
        this->send_to(this->known_members.remote_relays(), list);
    }
}

double store_sharing::state::sum_request_rates()
{
    std::erase_if(this->request_rates,
                  [this](const auto& each) { return !this->known_members.contains(each.first); });
    double sum = this->hooks.request_rate();
    for (const auto& [name, rate] : this->request_rates) {
        sum += rate;
    }
    return sum;
}

void store_sharing::state::receive(const wire::envelope& received)
{
    if (const auto* news = std::get_if<wire::topic_news>(&received.body)) {
        this->forward_within_data_centre(received, news->reader);
        this->handle_news(*news);
    }
    else if (const auto* snapshot = std::get_if<wire::topic_snapshot>(&received.body)) {
        this->handle_snapshot(*snapshot);
    }
    else if (const auto* hello = std::get_if<wire::member_hello>(&received.body)) {
        this->handle_hello(received.from, *hello);
    }
    else if (const auto* list = std::get_if<wire::member_list>(&received.body)) {
        this->forward_within_data_centre(received, list->reader);
        auto view = list->members;
        std::erase_if(view, [this](const wire::member_entry& each) {
            return each.name == this->settings.self;
        });
        if (this->known_members.replace_with(this->now(), view)) {
            this->hooks.members_changed();
        }
    }
    else if (const auto* suspicion = std::get_if<wire::crash_suspicion>(&received.body)) {
        this->hooks.crash_suspected(suspicion->fingerprint);
    }
}

// A message that comes directly from a reader in another data centre is forwarded to the daemons
// of this one.
void store_sharing::state::forward_within_data_centre(const wire::envelope& received,
                                                      const vm_id& origin)
{
    if (received.from == origin && !this->known_members.is_local(origin)) {
        this->send_to(this->known_members.local_members(), received.body);
    }
}

void store_sharing::state::handle_news(const wire::topic_news& news)
{
    const auto now = this->now();
    const auto& sender = news.reader;
    const bool from_best_reader =
        !this->reader ||
        now - this->reader_heard_at > fraction_of(this->settings.apply_within, takeover_fraction) ||
        this->known_members.rank_of(sender) <= this->known_members.rank_of(*this->reader);
    if (from_best_reader) {
        this->total_request_rate = news.request_rate;
        this->reader = sender;
        this->reader_heard_at = now;
    }
    auto& topic = this->topic_for(news.topic);
    if (!topic.listed) {
        return;
    }
    if (news.from > topic.next_offset) {
        // An earlier news message was lost, so this daemon reads the missing records itself.
        topic.missed_records = true;
        this->read_topic(topic, std::chrono::milliseconds(0));
        return;
    }
    for (const auto& each : news.records) {
        if (each.offset >= topic.next_offset) {
            this->apply_record(topic, {each.offset, each.key, each.value});
        }
    }
    // This daemon's next read starts after the records of this message. Between its earlier reads
    // and the next one there is a gap, so they can no longer be sent together.
    topic.recent_reads.clear();
    topic.next_offset = std::max(topic.next_offset, news.next);
    topic.current_as_of = now;
    topic.last_call_failed = false;
    auto& operators = this->topic_for(wire::shared_topic::operators);
    if (news.operators_next > operators.next_offset) {
        operators.missed_records = true;
        this->read_topic(operators, std::chrono::milliseconds(0));
    }
    else {
        operators.current_as_of = now;
        operators.last_call_failed = false;
    }
    this->set_store_unavailable(false);
    const auto sender_address = this->known_members.find(sender);
    if (from_best_reader && sender_address && news.topic == wire::shared_topic::registrations) {
        this->send_hello(*sender_address);
    }
}

void store_sharing::state::handle_hello(const vm_id& sender, const wire::member_hello& hello)
{
    const bool sender_unknown = !this->known_members.contains(sender);
    this->request_rates[sender] = hello.request_rate;
    if (this->known_members.record_member(
            this->now(), {sender, hello.where, hello.data_centre, hello.leaving})) {
        this->hooks.members_changed();
    }
    if (hello.wants_all && this->topics_listed()) {
        this->send_snapshots({{sender, hello.where, hello.data_centre, false}});
    }
    if (sender_unknown && !hello.leaving) {
        this->send_hello(hello.where);
    }
    else if (this->is_reader() && hello.members_digest != 0 &&
             hello.members_digest != this->known_members.digest()) {
        this->member_views_differ = true;
    }
}

void store_sharing::state::send_hello(const address& recipient, bool wants_all)
{
    this->hooks.send(recipient,
                     wire::member_hello{this->settings.own_address, this->settings.data_centre,
                                        this->known_members.digest(), this->leaving, wants_all,
                                        this->hooks.request_rate()});
}

// Introduces this daemon to the best-ranked daemons, which send the news messages. If it receives
// none, they may not know it.
void store_sharing::state::send_hello_to_best_ranked()
{
    constexpr std::size_t hello_recipient_count = 3;
    for (const auto& each : this->known_members.others()) {
        if (this->known_members.rank_of(each.name) < hello_recipient_count) {
            this->send_hello(each.where);
        }
    }
}

// Only the reader gets hellos from every member, so only the reader can tell which are silent.
void store_sharing::state::remove_silent_members()
{
    const auto now = this->now();
    if (!this->is_reader() || now - this->started_at < member_timeout) {
        this->reader_since = now;
        return;
    }
    if (now - this->reader_since > member_timeout &&
        this->known_members.remove_silent(now - member_timeout)) {
        this->hooks.members_changed();
    }
}

void store_sharing::state::broadcast_crash_suspicion(std::uint64_t fingerprint)
{
    this->send_to(this->known_members.others(), wire::crash_suspicion{fingerprint});
}

} // namespace azureshore::sharing
