#include "azureshore/sharing/internal/sharing_state.hpp"
#include "azureshore/sharing/internal/sharing_terms.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// The pause between two reads of the reader, as a part of the bound; daemons after the first ones
// come at random.
constexpr double read_part = 0.4;
constexpr double random_part = 0.15;
// The reader's read of the operators' topic waits this part of the bound for a record. The store
// does not always wake a waiting read, and a connection may have gone silent.
constexpr double operators_wait_part = 0.5;
// News hold the records of so many earlier reads, against lost messages.
constexpr std::size_t rounds_told = 2;

} // namespace

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
        const bool first = !self->topics_listed();
        self->take_list(listed, result.next_offset, result.records);
        self->read_succeeded(listed, began);
        if (first && self->topics_listed() && self->known.rank() < listing_ranks) {
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
    auto& operators = this->topic(wire::shared_topic::operators);
    if (!this->reads_for_all()) {
        this->operators_untold = this->operators_untold || (news && &from == &operators);
    }
    else {
        // A daemon that takes over finds out with its second read that it reads for all.
        if (&from != &operators && std::exchange(this->operators_untold, false)) {
            this->tell_news(operators);
        }
        if (news) {
            this->tell_news(from);
        }
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
    from.behind = false;
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
    // The store turns this daemon away, or its link is cut: who knows more may tell all.
    const auto teller = this->reader ? this->known.find(*this->reader) : std::nullopt;
    if (std::exchange(from.behind, false) && teller) {
        this->say_hello(*teller, true);
    }
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
        this->hooks.store_unavailable();
    }
    else {
        this->hooks.store_available();
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
    if (!this->topics_listed()) {
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

} // namespace azureshore::sharing
