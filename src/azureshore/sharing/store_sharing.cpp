#include "azureshore/sharing/store_sharing.hpp"

#include "azureshore/sharing/internal/sharing_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// Parts of the bound: the pause between two reads of the reader, the silence after which the next
// in order reads, and how much later each one after it does; those after them come at random.
constexpr double read_part = 0.4;
constexpr double takeover_part = 0.5;
constexpr double step_part = 0.05;
constexpr double random_part = 0.15;
constexpr std::size_t most_steps = 5;
// Daemons before this place tell what they read, the others would only add to it.
constexpr std::size_t telling_ranks = 4;
// The reader's read of the operators' topic waits this part of the bound for a record. The store
// does not always wake a waiting read, and a connection may have gone silent.
constexpr double operators_wait_part = 0.5;
// Daemons before this place list the topics at their start; the others wait this long for an
// answer of theirs, and at the most that long in all, as members may not be known.
constexpr std::size_t listing_ranks = 2;
constexpr duration answer_limit = std::chrono::milliseconds(400);
constexpr duration start_limit = std::chrono::milliseconds(1500);
// Pause after a read that failed.
constexpr duration retry_pause = std::chrono::milliseconds(250);
// A daemon that did not answer the reader's news for this long is taken as gone.
constexpr duration member_silence = std::chrono::milliseconds(3500);
// News hold the records of so many earlier reads, against lost messages.
constexpr std::size_t rounds_told = 2;
// Records in one message, so that it fits a datagram; a larger record has one of its own.
constexpr std::size_t most_news_bytes = 32UL * 1024UL;

duration part_of(duration bound, double part)
{
    return std::chrono::duration_cast<duration>(bound * part);
}

// A daemon's announcement: its data centre and its address, with a space between.
std::optional<wire::member_entry> read_announcement(const platform::keyed_record& record)
{
    const auto text = record.value.value_or("");
    const auto space = text.find(' ');
    if (space == std::string::npos) {
        return std::nullopt;
    }
    const auto where = parse_address(text.substr(space + 1));
    if (!where.ok()) {
        return std::nullopt;
    }
    return wire::member_entry{vm_id{record.key}, *where, data_centre_id{text.substr(0, space)},
                              false};
}

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

store_sharing::state::state(sharing_settings chosen, shared_topics followed, sharing_hooks told)
    : known(chosen.self, chosen.data_centre), settings(std::move(chosen)), hooks(std::move(told)),
      members_topic(std::move(followed.members)),
      topics{followed_topic{wire::shared_topic::operators, std::move(followed.operators)},
             followed_topic{wire::shared_topic::registrations, std::move(followed.registrations)}}
{
}

store_sharing::state::followed_topic& store_sharing::state::topic(wire::shared_topic kind)
{
    return this->topics.at(static_cast<std::size_t>(kind));
}

void store_sharing::state::later(duration wait, std::function<void(state&)> work)
{
    this->hooks.after(wait, [weak = this->weak_from_this(), work = std::move(work)] {
        if (const auto self = weak.lock()) {
            work(*self);
        }
    });
}

void store_sharing::state::start()
{
    this->started = this->now();
    for (const auto& each : this->settings.seeds) {
        if (each != this->settings.where) {
            this->say_hello(each, true);
        }
    }
    this->announce();
    this->later(start_limit, [](state& self) { self.list_unless_learned(); });
}

// The first in the order read the store; the others ask them, and read it when no answer comes.
void store_sharing::state::learn()
{
    if (this->listed()) {
        return;
    }
    if (this->known.rank() < listing_ranks) {
        this->list_unless_learned();
        return;
    }
    for (const auto& each : this->known.others()) {
        if (this->known.rank_of(each.name) < listing_ranks) {
            this->say_hello(each.where, true);
        }
    }
    this->later(answer_limit, [](state& self) { self.list_unless_learned(); });
}

void store_sharing::state::list_unless_learned()
{
    for (auto& each : this->topics) {
        if (!each.listed && !each.busy) {
            this->list(each);
        }
    }
}

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
    if (of.listed || snapshot.parts == 0) {
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

void store_sharing::state::take_list(followed_topic& from, std::uint64_t next,
                                     const std::vector<platform::keyed_record>& records)
{
    from.listed = true;
    from.next = next;
    from.rounds.clear();
    from.newest.clear();
    for (const auto& each : records) {
        from.newest[each.key] = {each.offset, each.key, each.value};
    }
    this->hooks.listed(from.kind, records);
}

bool store_sharing::state::take_record(followed_topic& from, const platform::keyed_record& record)
{
    if (record.value) {
        from.newest[record.key] = {record.offset, record.key, record.value};
    }
    else {
        from.newest.erase(record.key);
    }
    return this->hooks.changed(from.kind, record);
}

bool store_sharing::state::listed() const
{
    return this->topics[0].listed && this->topics[1].listed;
}

// Others learn of this daemon by the store; it learns of them once it can be found itself, so of
// two that start together at least one knows the other.
void store_sharing::state::announce()
{
    const auto what = this->settings.data_centre.value + ' ' + to_string(this->settings.where);
    this->hooks.announce(what, [weak = this->weak_from_this()](bool done) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!done) {
            self->later(retry_pause * 2, [](state& again) { again.announce(); });
            return;
        }
        self->list_members();
    });
}

void store_sharing::state::list_members()
{
    this->members_topic.list([weak = this->weak_from_this()](const platform::keyed_list& result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!result.ok) {
            self->later(retry_pause * 2, [](state& again) { again.list_members(); });
            return;
        }
        for (const auto& each : result.records) {
            if (const auto member = read_announcement(each)) {
                self->known.heard(self->now(), *member);
            }
        }
        for (const auto& each : self->known.others()) {
            self->say_hello(each.where);
        }
        self->members_listed = true;
        self->hooks.members_changed();
        self->learn();
    });
}

void store_sharing::state::list(followed_topic& from)
{
    from.busy = true;
    from.calls.list([weak = this->weak_from_this(), kind = from.kind,
                     began = this->now()](const platform::keyed_list& result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        auto& listed = self->topic(kind);
        listed.busy = false;
        if (!result.ok) {
            self->read_failed(listed);
            self->later(retry_pause, [kind](state& again) {
                if (!again.topic(kind).listed && !again.topic(kind).busy) {
                    again.list(again.topic(kind));
                }
            });
            return;
        }
        const bool first = !self->listed();
        self->take_list(listed, result.next_offset, result.records);
        self->read_succeeded(listed, began);
        if (first && self->listed() && self->known.rank() < listing_ranks) {
            self->tell_snapshots(self->known.others());
        }
        self->check();
    });
}

void store_sharing::state::read(followed_topic& from, std::chrono::milliseconds wait)
{
    if (!from.listed) {
        return;
    }
    if (from.busy) {
        from.again = true;
        return;
    }
    from.busy = true;
    from.calls.read(from.next, wait,
                    [weak = this->weak_from_this(), kind = from.kind,
                     began = this->now()](const platform::keyed_read& result) {
                        if (const auto self = weak.lock()) {
                            self->read_ended(self->topic(kind), began, result);
                        }
                    });
}

void store_sharing::state::read_ended(followed_topic& from, time_point began,
                                      const platform::keyed_read& result)
{
    from.busy = false;
    if (result.outcome == platform::read_outcome::unavailable) {
        this->read_failed(from);
        return;
    }
    if (result.outcome == platform::read_outcome::expired) {
        this->list(from);
        return;
    }
    this->take(from, result);
    this->read_succeeded(from, began);
    const bool news =
        from.kind == wire::shared_topic::registrations || !from.rounds.back().records.empty();
    if (news && this->reads_for_all()) {
        this->tell_news(from);
    }
    if (std::exchange(from.again, false)) {
        this->read(from, std::chrono::milliseconds(0));
        return;
    }
    auto& registrations = this->topic(wire::shared_topic::registrations);
    if (from.kind == wire::shared_topic::operators && !registrations.busy &&
        began - registrations.fresh_at >= this->due_after()) {
        this->read(registrations, std::chrono::milliseconds(0));
        return;
    }
    this->read_operators_on();
}

void store_sharing::state::take(followed_topic& from, const platform::keyed_read& result)
{
    round found{from.next, std::max(from.next, result.next_offset), {}};
    for (const auto& each : result.records) {
        // News may have come first.
        if (each.offset >= from.next && this->take_record(from, each)) {
            found.records.push_back({each.offset, each.key, each.value});
        }
    }
    from.next = found.next;
    from.rounds.push_back(std::move(found));
    if (from.rounds.size() > rounds_told) {
        from.rounds.pop_front();
    }
}

void store_sharing::state::read_succeeded(followed_topic& from, time_point began)
{
    from.failed = false;
    from.fresh_at = std::max(from.fresh_at, began);
    if (!this->topics[0].failed && !this->topics[1].failed) {
        this->set_away(false);
    }
}

void store_sharing::state::read_failed(followed_topic& from)
{
    from.failed = true;
    from.again = false;
    from.rounds.clear();
    if (this->now() - from.fresh_at > this->due_after()) {
        this->set_away(true);
    }
}

void store_sharing::state::set_away(bool now_away)
{
    if (this->away == now_away) {
        return;
    }
    this->away = now_away;
    if (now_away) {
        this->hooks.lost();
    }
    else {
        this->hooks.back();
    }
}

// How old this daemon lets its knowledge become before it reads for itself.
duration store_sharing::state::due_after() const
{
    const auto bound = this->settings.apply_within;
    if (this->leaving) {
        return part_of(bound, takeover_part + step_part * most_steps);
    }
    const auto place = this->known.rank();
    if (place == 0) {
        return part_of(bound, read_part);
    }
    const auto steps = std::min(place - 1, 2 + this->known.local_rank());
    if (steps <= most_steps) {
        return part_of(bound, takeover_part + step_part * static_cast<double>(steps));
    }
    return part_of(bound, takeover_part + step_part * most_steps +
                              random_part * uniform(this->hooks.random));
}

bool store_sharing::state::reads_for_all() const
{
    if (this->leaving) {
        return false;
    }
    const bool better_heard =
        this->reader && this->known.rank_of(*this->reader) < this->known.rank() &&
        this->now() - this->reader_heard < part_of(this->settings.apply_within, takeover_part);
    return !better_heard && !this->topics[0].failed && !this->topics[1].failed &&
           this->now() - this->topics[1].fresh_at <
               part_of(this->settings.apply_within, takeover_part);
}

// Reads when what this daemon knows has become too old, and comes again when it will be.
void store_sharing::state::check()
{
    if (!this->listed()) {
        return;
    }
    const auto now = this->now();
    auto& registrations = this->topic(wire::shared_topic::registrations);
    const auto due = registrations.fresh_at + this->due_after();
    auto& operators = this->topic(wire::shared_topic::operators);
    if (now >= due && !registrations.busy) {
        // First the operators' topic, so that news of the registrations say how far it goes.
        this->read(operators.busy ? registrations : operators, std::chrono::milliseconds(0));
        if (this->known.rank() > 0) {
            this->say_hello_to_first();
        }
    }
    this->drop_silent_members();
    const auto pause = this->away ? this->due_after() : retry_pause;
    const auto next = now >= due ? pause : due - now;
    if (!std::exchange(this->check_set, true)) {
        this->later(next, [](state& self) {
            self.check_set = false;
            self.check();
        });
    }
}

// The reader always has a read of the operators' topic under way, so that a change reaches all
// daemons at once.
void store_sharing::state::read_operators_on()
{
    if (!this->reads_for_all() || this->topic(wire::shared_topic::operators).busy) {
        return;
    }
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        part_of(this->settings.apply_within, operators_wait_part));
    this->read(this->topic(wire::shared_topic::operators), wait);
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
        this->hooks.suspected(suspicion->fingerprint);
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
    if (hello.wants_all && this->listed()) {
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

void store_sharing::state::leave()
{
    this->leaving = true;
    for (const auto& each : this->known.others()) {
        this->say_hello(each.where);
    }
}

void store_sharing::state::tell_suspicion(std::uint64_t fingerprint)
{
    this->tell(this->known.others(), wire::crash_suspicion{fingerprint});
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

void store_sharing::tell_suspicion(std::uint64_t fingerprint)
{
    this->inner->tell_suspicion(fingerprint);
}

bool store_sharing::listed() const
{
    return this->inner->listed();
}

bool store_sharing::members_listed() const
{
    return this->inner->members_listed;
}

double store_sharing::total_request_rate() const
{
    return this->inner->total_request_rate;
}

const members& store_sharing::known() const
{
    return this->inner->known;
}

} // namespace azureshore::sharing
