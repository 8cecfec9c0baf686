#include "azureshore/sharing/internal/sharing_state.hpp"
#include "azureshore/sharing/internal/sharing_terms.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// Daemons before this place tell what they read, the others would only add to it.
constexpr std::size_t telling_ranks = 4;
// A daemon that did not answer the reader's news for this long is taken as gone.
constexpr duration member_silence = std::chrono::milliseconds(3500);
// Records in one message, so that it fits a datagram; a larger record has one of its own.
constexpr std::size_t most_news_bytes = 32UL * 1024UL;

std::size_t size_of(const wire::shared_record& record)
{
    return record.key.size() + (record.value ? record.value->size() : 0);
}

// The same news in messages of a bounded size, each of which goes on where the last one ended.
std::vector<wire::topic_news> in_parts(wire::topic_news whole)
{
    std::vector<wire::topic_news> parts;
    const auto records = std::move(whole.records);
    whole.records.clear();
    auto part = whole;
    std::size_t bytes = 0;
    for (const auto& each : records) {
        if (!part.records.empty() && bytes + size_of(each) > most_news_bytes) {
            part.next = each.offset;
            parts.push_back(part);
            part.from = each.offset;
            part.records.clear();
            bytes = 0;
        }
        part.records.push_back(each);
        bytes += size_of(each);
    }
    part.next = whole.next;
    parts.push_back(std::move(part));
    return parts;
}

} // namespace

void store_sharing::state::tell_snapshots(const std::vector<wire::member_entry>& to)
{
    for (const auto& each : this->topics) {
        wire::topic_news all;
        all.next = each.next;
        for (const auto& [key, record] : each.newest) {
            all.records.push_back(record);
        }
        auto parts = in_parts(std::move(all));
        std::uint32_t number = 0;
        for (auto& part : parts) {
            this->tell(to, wire::topic_snapshot{each.kind, each.next, this->now() - each.fresh_at,
                                                number++, static_cast<std::uint32_t>(parts.size()),
                                                std::move(part.records)});
        }
    }
}

void store_sharing::state::heard_snapshot(const wire::topic_snapshot& snapshot)
{
    auto& of = this->topic(snapshot.topic);
    if (snapshot.parts == 0 || (of.listed && snapshot.next <= of.next)) {
        return;
    }
    if (of.parts_next != snapshot.next) {
        of.parts.clear();
        of.parts_next = snapshot.next;
    }
    of.parts[snapshot.part] = snapshot.records;
    if (of.parts.size() < snapshot.parts) {
        return;
    }
    std::vector<platform::keyed_record> records;
    for (const auto& [number, part] : of.parts) {
        for (const auto& each : part) {
            records.push_back({each.offset, each.key, each.value});
        }
    }
    of.parts.clear();
    this->take_list(of, snapshot.next, records);
    of.fresh_at = this->now() - std::max(snapshot.age, duration{});
    this->check();
}

void store_sharing::state::tell(const std::vector<wire::member_entry>& to,
                                const wire::message& body)
{
    for (const auto& each : to) {
        this->hooks.send(each.where, body);
    }
}

void store_sharing::state::tell_news(followed_topic& of)
{
    const bool tells_all = this->known.rank() < telling_ranks;
    if (this->leaving || of.rounds.empty() ||
        (!tells_all && this->known.local_rank() >= telling_ranks)) {
        return;
    }
    wire::topic_news news;
    news.reader = this->settings.self;
    news.topic = of.kind;
    news.from = of.rounds.front().from;
    news.next = of.next;
    news.operators_next = this->topic(wire::shared_topic::operators).next;
    news.members_digest = this->known.digest();
    news.request_rate = this->sum_of_rates();
    this->total_request_rate = news.request_rate;
    for (const auto& each : of.rounds) {
        news.records.insert(news.records.end(), each.records.begin(), each.records.end());
    }
    for (const auto& part : in_parts(std::move(news))) {
        this->tell(this->known.neighbours(), part);
        if (tells_all) {
            this->tell(this->known.first_elsewhere(), part);
        }
    }
    if (tells_all && std::exchange(this->views_differ, false)) {
        wire::member_list list{this->settings.self, this->known.others()};
        list.members.push_back(
            {this->settings.self, this->settings.where, this->settings.data_centre, false});
        this->tell(this->known.neighbours(), list);
        this->tell(this->known.first_elsewhere(), list);
    }
}

double store_sharing::state::sum_of_rates()
{
    std::erase_if(this->request_rates,
                  [this](const auto& each) { return !this->known.knows(each.first); });
    double sum = this->hooks.request_rate();
    for (const auto& [name, rate] : this->request_rates) {
        sum += rate;
    }
    return sum;
}

void store_sharing::state::receive(const wire::envelope& received)
{
    if (const auto* news = std::get_if<wire::topic_news>(&received.body)) {
        this->pass_on(received, news->reader);
        this->heard_news(*news);
    }
    else if (const auto* snapshot = std::get_if<wire::topic_snapshot>(&received.body)) {
        this->heard_snapshot(*snapshot);
    }
    else if (const auto* hello = std::get_if<wire::member_hello>(&received.body)) {
        this->heard_hello(received.from, *hello);
    }
    else if (const auto* list = std::get_if<wire::member_list>(&received.body)) {
        this->pass_on(received, list->reader);
        auto view = list->members;
        std::erase_if(view, [this](const wire::member_entry& each) {
            return each.name == this->settings.self;
        });
        if (this->known.adopt(this->now(), view)) {
            this->hooks.members_changed();
        }
    }
    else if (const auto* suspicion = std::get_if<wire::crash_suspicion>(&received.body)) {
        this->hooks.crash_suspected(suspicion->fingerprint);
    }
}

// What comes straight from another data centre's reader goes on to the daemons here.
void store_sharing::state::pass_on(const wire::envelope& received, const vm_id& origin)
{
    if (received.from == origin && !this->known.local(origin)) {
        this->tell(this->known.neighbours(), received.body);
    }
}

void store_sharing::state::heard_news(const wire::topic_news& news)
{
    const auto now = this->now();
    const auto& from = news.reader;
    const bool better =
        !this->reader ||
        now - this->reader_heard > part_of(this->settings.apply_within, takeover_part) ||
        this->known.rank_of(from) <= this->known.rank_of(*this->reader);
    if (better) {
        this->total_request_rate = news.request_rate;
        this->reader = from;
        this->reader_heard = now;
    }
    auto& of = this->topic(news.topic);
    if (!of.listed) {
        return;
    }
    if (news.from > of.next) {
        // Something was missed.
        of.behind = true;
        this->read(of, std::chrono::milliseconds(0));
        return;
    }
    for (const auto& each : news.records) {
        if (each.offset >= of.next) {
            this->take_record(of, {each.offset, each.key, each.value});
        }
    }
    // What this daemon read itself before does not join up with what it reads next.
    of.rounds.clear();
    of.next = std::max(of.next, news.next);
    of.fresh_at = now;
    of.failed = false;
    auto& operators = this->topic(wire::shared_topic::operators);
    if (news.operators_next > operators.next) {
        operators.behind = true;
        this->read(operators, std::chrono::milliseconds(0));
    }
    else {
        operators.fresh_at = now;
        operators.failed = false;
    }
    this->set_away(false);
    const auto where = this->known.find(from);
    if (better && where && news.topic == wire::shared_topic::registrations) {
        this->say_hello(*where);
    }
}

void store_sharing::state::heard_hello(const vm_id& from, const wire::member_hello& hello)
{
    const bool stranger = !this->known.knows(from);
    this->request_rates[from] = hello.request_rate;
    if (this->known.heard(this->now(), {from, hello.where, hello.data_centre, hello.leaving})) {
        this->hooks.members_changed();
    }
    if (hello.wants_all && this->topics_listed()) {
        this->tell_snapshots({{from, hello.where, hello.data_centre, false}});
    }
    if (stranger && !hello.leaving) {
        this->say_hello(hello.where);
    }
    else if (this->reads_for_all() && hello.members_digest != 0 &&
             hello.members_digest != this->known.digest()) {
        this->views_differ = true;
    }
}

void store_sharing::state::say_hello(const address& to, bool wants_all)
{
    this->hooks.send(to, wire::member_hello{this->settings.where, this->settings.data_centre,
                                            this->known.digest(), this->leaving, wants_all,
                                            this->hooks.request_rate()});
}

// A daemon that hears no news may be unknown to those that tell them.
void store_sharing::state::say_hello_to_first()
{
    constexpr std::size_t first_ranks = 3;
    for (const auto& each : this->known.others()) {
        if (this->known.rank_of(each.name) < first_ranks) {
            this->say_hello(each.where);
        }
    }
}

// Only who reads for all hears from all.
void store_sharing::state::drop_silent_members()
{
    const auto now = this->now();
    if (!this->reads_for_all() || now - this->started < member_silence) {
        this->reading_since = now;
        return;
    }
    if (now - this->reading_since > member_silence &&
        this->known.drop_silent(now - member_silence)) {
        this->hooks.members_changed();
    }
}

void store_sharing::state::broadcast_crash_suspicion(std::uint64_t fingerprint)
{
    this->tell(this->known.others(), wire::crash_suspicion{fingerprint});
}

} // namespace azureshore::sharing
