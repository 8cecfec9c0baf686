#include "azureshore/rollout/internal/controller_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::rollout {

namespace {

// How often a call to the store that failed is repeated.
constexpr duration list_interval = std::chrono::seconds(1);
// How often the daemons are told of a roll-out that goes on, and for how long of one that ended.
constexpr duration notice_interval = std::chrono::seconds(1);
constexpr duration final_notice_time = std::chrono::seconds(10);

wire::rollout_phase phase_of(decided_state state)
{
    switch (state) {
    case decided_state::completed:
        return wire::rollout_phase::completed;
    case decided_state::rolled_back:
        return wire::rollout_phase::rolled_back;
    case decided_state::running:
        break;
    }
    return wire::rollout_phase::running;
}

} // namespace

void controller::state::decide(record& of)
{
    auto counts = std::exchange(of.unreported, {});
    if (of.phase == wire::rollout_phase::moving) {
        // The load of the servers changes, and the others' response times are of another load.
        for (auto& each : counts) {
            each.target.times.clear();
        }
    }
    of.evidence.add(this->now, counts);
    if (of.is_final() && of.stored) {
        return;
    }
    const auto servers = this->hooks.count(of.given.service, of.given.new_version);
    if (of.phase == wire::rollout_phase::running || of.phase == wire::rollout_phase::moving) {
        this->follow(of, detail::choose(of, servers, this->now - of.given_at, this->bounds));
    }
    if (!this->states_known) {
        this->list_states();
        return;
    }
    if (of.phase == wire::rollout_phase::unknown) {
        this->write(of, decided_state::running);
    }
    else if (of.phase == wire::rollout_phase::rolled_back) {
        this->write(of, decided_state::rolled_back);
    }
    else if (of.phase == wire::rollout_phase::moving && of.moving_since &&
             this->now - *of.moving_since >= detail::settling_time(this->bounds)) {
        this->write(of, decided_state::completed);
    }
}

void controller::state::follow(record& of, const detail::reasoned_choice& choice)
{
    if (choice.made == detail::choice::move) {
        this->set_phase(of, wire::rollout_phase::moving, false, choice.cause);
    }
    else if (choice.made == detail::choice::roll_back) {
        this->set_phase(of, wire::rollout_phase::rolled_back, false, choice.cause);
    }
}

// One write at a time, as each one needs the offset that the one before leaves.
void controller::state::write(record& of, decided_state decided)
{
    const bool busy = std::any_of(this->records.begin(), this->records.end(),
                                  [](const auto& each) { return each.second.writing; });
    if (busy) {
        return;
    }
    of.writing = true;
    this->hooks.write_state(
        of.given, decided, this->end_offset,
        [weak = this->weak_from_this(), given = of.given, decided](write_outcome outcome) {
            if (const auto self = weak.lock()) {
                self->written(given, decided, outcome);
            }
        });
}

void controller::state::written(const order& given, decided_state decided, write_outcome outcome)
{
    auto* of = this->find(given.service, given.new_version);
    if (of != nullptr) {
        of->writing = false;
    }
    if (this->hooks.log) {
        this->hooks.log({"rollout_state_written",
                         {{"service", given.service.value},
                          {"target", given.new_version},
                          {"state", std::string(to_string(phase_of(decided)))},
                          {"result", outcome == write_outcome::written    ? "written"
                                     : outcome == write_outcome::conflict ? "conflict"
                                                                          : "unknown"}}});
    }
    if (outcome != write_outcome::written) {
        this->states_known = false;
        return;
    }
    ++this->end_offset;
    if (of == nullptr || (of->is_final() && of->stored)) {
        return;
    }
    const auto phase = phase_of(decided);
    // Evidence that came during the write of `completed` comes too late.
    if (phase >= of->phase || phase == wire::rollout_phase::completed) {
        this->set_phase(*of, phase, true, "stored");
    }
}

void controller::state::list_states()
{
    if (this->listing || (this->listed_at && this->now - *this->listed_at < list_interval)) {
        return;
    }
    this->listing = true;
    this->listed_at = this->now;
    this->hooks.list_states([weak = this->weak_from_this()](const status_list& list) {
        if (const auto self = weak.lock()) {
            self->take_states(list);
        }
    });
}

void controller::state::take_states(const status_list& list)
{
    this->listing = false;
    if (!list.ok) {
        return;
    }
    this->states_known = this->decides;
    this->end_offset = list.end_offset;
    for (const auto& each : list.entries) {
        this->take_state(each);
    }
}

// The first final state in the store is never changed, so it replaces what this daemon decided.
void controller::state::take_state(const status_list::entry& entry)
{
    auto* of = this->find(entry.service, entry.new_version);
    if (of == nullptr || (of->is_final() && of->stored)) {
        return;
    }
    const auto phase = phase_of(entry.state);
    if (phase != wire::rollout_phase::running) {
        this->set_phase(*of, phase, true, "store");
    }
    else if (this->decides && of->phase == wire::rollout_phase::unknown) {
        if (of->may_be_old && !of->noticed_at) {
            // Nobody knows when the order was given, as after a restart of all daemons.
            of->given_at = std::min(of->given_at, this->now - of->given.time_limit / 2);
        }
        this->set_phase(*of, phase, true, "store");
    }
}

wire::rollout_status controller::state::status_of(const record& of) const
{
    return {of.given.service, of.given.new_version, of.phase, of.stored, this->now - of.given_at};
}

void controller::state::notify()
{
    std::vector<wire::rollout_status> due;
    for (auto& [service, of] : this->records) {
        const bool ended = of.settled_at && this->now - *of.settled_at > final_notice_time;
        const bool repeat = !of.noticed_at || this->now - *of.noticed_at >= notice_interval;
        if (of.phase != wire::rollout_phase::unknown && (this->notice_due || (repeat && !ended))) {
            of.noticed_at = this->now;
            due.push_back(this->status_of(of));
        }
    }
    this->notice_due = false;
    if (!due.empty()) {
        this->hooks.notify(due);
    }
}

} // namespace azureshore::rollout
