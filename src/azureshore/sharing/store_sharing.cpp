#include "azureshore/sharing/store_sharing.hpp"

#include "azureshore/sharing/internal/sharing_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// Parts of the bound: the pause between two reads of the reader, the silence after which the next
// in order reads, and how much later each one after it does.
constexpr double read_part = 0.4;
constexpr double takeover_part = 0.55;
constexpr double step_part = 0.06;
constexpr std::size_t most_steps = 5;
// The reader's read of the operators' topic waits this part of the bound for a record: a
// connection that went silent is noticed by then.
constexpr double operators_wait_part = 1.25;
// Pause after a read that failed.
constexpr duration retry_pause = std::chrono::milliseconds(250);
// A daemon that did not answer the reader's news for this long is taken as gone.
constexpr duration member_silence = std::chrono::milliseconds(3500);
// News hold the records of so many earlier reads, against lost messages.
constexpr std::size_t rounds_told = 3;
// A datagram's bound; larger news only say that there is something to read.
constexpr std::size_t most_news_bytes = 48UL * 1024UL;

duration part_of(duration bound, double part)
{
    return std::chrono::duration_cast<duration>(bound * part);
}

std::size_t size_of(const std::vector<wire::shared_record>& records)
{
    std::size_t bytes = 0;
    for (const auto& each : records) {
        bytes += each.key.size() + (each.value ? each.value->size() : 0);
    }
    return bytes;
}

} // namespace

store_sharing::state::state(sharing_settings chosen, shared_topics followed, sharing_hooks told)
    : known(chosen.self), settings(std::move(chosen)), hooks(std::move(told)),
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
    for (auto& each : this->topics) {
        this->list(each);
    }
    this->announce();
}

bool store_sharing::state::listed() const
{
    return this->topics[0].listed && this->topics[1].listed;
}

// Others learn of this daemon by the store; it learns of them once it can be found itself, so of
// two that start together at least one knows the other.
void store_sharing::state::announce()
{
    this->hooks.announce([weak = this->weak_from_this()](bool done) {
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
            const auto where = parse_address(each.value.value_or(""));
            if (where.ok()) {
                self->known.heard(self->now(), vm_id{each.key}, *where, false);
            }
        }
        for (const auto& each : self->known.others()) {
            self->say_hello(each.where);
        }
        self->members_listed = true;
        self->hooks.members_changed();
        self->check();
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
            self->later(retry_pause, [kind](state& again) { again.list(again.topic(kind)); });
            return;
        }
        listed.listed = true;
        listed.next = result.next_offset;
        listed.rounds.clear();
        self->hooks.listed(kind, result.records);
        self->read_succeeded(listed, began);
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
    const bool news = from.kind == wire::shared_topic::registrations ||
                      !from.rounds.back().records.empty();
    if (news && this->reads_for_all()) {
        this->tell_news(from);
    }
    if (std::exchange(from.again, false)) {
        this->read(from, std::chrono::milliseconds(0));
        return;
    }
    auto& operators = this->topic(wire::shared_topic::operators);
    if (began - operators.fresh_at > this->due_after() && !operators.busy) {
        this->read(operators, std::chrono::milliseconds(0));
        return;
    }
    this->read_operators_on();
}

void store_sharing::state::take(followed_topic& from, const platform::keyed_read& result)
{
    round found{from.next, std::max(from.next, result.next_offset), {}};
    for (const auto& each : result.records) {
        // News may have come first.
        if (each.offset >= from.next && this->hooks.changed(from.kind, each)) {
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
    const auto steps = static_cast<double>(std::min(place - 1, most_steps));
    return part_of(bound, takeover_part + step_part * steps);
}

bool store_sharing::state::reads_for_all() const
{
    if (this->leaving) {
        return false;
    }
    const bool better_heard = this->reader &&
                              this->known.rank_of(*this->reader) < this->known.rank() &&
                              this->now() - this->reader_heard <
                                  part_of(this->settings.apply_within, takeover_part);
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
    if (now >= due && !registrations.busy) {
        this->read(registrations, std::chrono::milliseconds(0));
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

void store_sharing::state::tell_all(const wire::message& body)
{
    for (const auto& each : this->known.others()) {
        this->hooks.send(each.where, body);
    }
}

void store_sharing::state::tell_news(followed_topic& of)
{
    if (this->leaving || of.rounds.empty()) {
        return;
    }
    wire::topic_news news;
    news.topic = of.kind;
    news.from = of.rounds.front().from;
    news.next = of.next;
    news.operators_next = this->topic(wire::shared_topic::operators).next;
    news.members_digest = this->known.digest();
    for (const auto& each : of.rounds) {
        news.records.insert(news.records.end(), each.records.begin(), each.records.end());
    }
    if (size_of(news.records) > most_news_bytes) {
        news.from = news.next;
        news.records.clear();
    }
    this->tell_all(news);
}

void store_sharing::state::receive(const wire::envelope& received)
{
    if (const auto* news = std::get_if<wire::topic_news>(&received.body)) {
        this->heard_news(received.from, *news);
    }
    else if (const auto* hello = std::get_if<wire::member_hello>(&received.body)) {
        this->heard_hello(received.from, *hello);
    }
    else if (const auto* list = std::get_if<wire::member_list>(&received.body)) {
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

void store_sharing::state::heard_news(const vm_id& from, const wire::topic_news& news)
{
    const auto now = this->now();
    const bool better = !this->reader || now - this->reader_heard >
                            part_of(this->settings.apply_within, takeover_part) ||
                        this->known.rank_of(from) <= this->known.rank_of(*this->reader);
    if (better) {
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
            this->hooks.changed(of.kind, {each.offset, each.key, each.value});
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
    if (better && news.topic == wire::shared_topic::registrations) {
        for (const auto& each : this->known.others()) {
            if (each.name == from) {
                this->say_hello(each.where);
            }
        }
    }
}

void store_sharing::state::heard_hello(const vm_id& from, const wire::member_hello& hello)
{
    const bool stranger = !this->known.knows(from);
    if (this->known.heard(this->now(), from, hello.where, hello.leaving)) {
        this->hooks.members_changed();
    }
    if (stranger && !hello.leaving) {
        this->say_hello(hello.where);
    }
    else if (this->reads_for_all() && hello.members_digest != 0 &&
             hello.members_digest != this->known.digest()) {
        auto view = this->known.others();
        view.push_back({this->settings.self, this->settings.where, false});
        this->hooks.send(hello.where, wire::member_list{std::move(view)});
    }
}

void store_sharing::state::say_hello(const address& to)
{
    this->hooks.send(
        to, wire::member_hello{this->settings.where, this->known.digest(), this->leaving});
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
    this->tell_all(wire::crash_suspicion{fingerprint});
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

const members& store_sharing::known() const
{
    return this->inner->known;
}

} // namespace azureshore::sharing
