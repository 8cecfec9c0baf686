#include "azureshore/membership/internal/roster.hpp"

#include "azureshore/core/hash.hpp"

namespace azureshore::membership::detail {

namespace {

std::pair<std::uint64_t, vm_id> place_of(const vm_id& name)
{
    return {stable_hash(name.value), name};
}

} // namespace

roster::roster(const vm_id& this_vm) : own_place(place_of(this_vm)) {}

bool roster::update_list(time_point now, duration forget_after,
                         const std::vector<platform::vm_entry>& entries)
{
    bool changed = false;
    std::set<vm_id> seen;
    for (const auto& entry : entries) {
        if (entry.service.empty() && entry.name != this->own_place.second) {
            seen.insert(entry.name);
            changed = this->list_one(entry) || changed;
        }
    }
    for (auto& [name, known] : this->records) {
        if (known.listed && seen.count(name) == 0) {
            changed = this->unlist(now, forget_after, known) || changed;
        }
    }
    return changed;
}

bool roster::list_one(const platform::vm_entry& entry)
{
    const bool leaving = entry.state == platform::vm_state::leaving;
    const auto found = this->records.find(entry.name);
    if (found == this->records.end()) {
        record fresh;
        fresh.about = {entry.name, entry.data_centre, entry.where, member_state::live};
        fresh.listed = true;
        fresh.listed_leaving = leaving;
        this->insert(std::move(fresh));
        return true;
    }
    auto& known = found->second;
    const auto before = std::pair(known.about, known.listed_leaving);
    // The VM's own word on its address is newer than the list's, unless it is dead.
    if (known.incarnation == 0 || known.now == belief::dead) {
        known.about.data_centre = entry.data_centre;
        known.about.endpoint = entry.where;
    }
    const bool was_listed = known.listed;
    known.listed = true;
    known.listed_leaving = leaving;
    if (known.now == belief::dead) {
        this->set_belief(known, belief::dead, time_point::max());
        return !was_listed;
    }
    return before != std::pair(known.about, known.listed_leaving);
}

bool roster::unlist(time_point now, duration forget_after, record& known)
{
    // Its leaving stays known: the platform drops a VM from the list after that, not before.
    known.listed = false;
    if (known.now != belief::dead) {
        return false;
    }
    this->set_belief(known, belief::dead, now + forget_after);
    return true;
}

void roster::insert(record known)
{
    const auto name = known.about.name;
    auto& stored = this->records.emplace(name, std::move(known)).first->second;
    this->set_belief(stored, belief::live, time_point::max());
}

void roster::set_belief(record& known, belief next, time_point deadline)
{
    const auto& name = known.about.name;
    known.now = next;
    this->set_deadline(known, deadline);
    if (next == belief::dead) {
        this->not_dead.remove(name);
        this->ring.erase(place_of(name));
    }
    else {
        this->not_dead.add(name);
        this->ring.insert(place_of(name));
    }
    if (next == belief::dead && known.listed) {
        this->listed_dead.add(name);
    }
    else {
        this->listed_dead.remove(name);
    }
}

void roster::set_deadline(record& known, time_point deadline)
{
    this->deadlines.erase({known.deadline, known.about.name});
    known.deadline = deadline;
    if (deadline != time_point::max()) {
        this->deadlines.emplace(deadline, known.about.name);
    }
}

effect roster::take(const wire::rumour& news, time_point suspicion_ends)
{
    const auto found = this->records.find(news.subject);
    const bool suspicion = news.condition == wire::vm_condition::suspected;
    if (found != this->records.end()) {
        return suspicion ? this->take_suspicion(found->second, news, suspicion_ends)
                         : this->take_live(found->second, news);
    }
    if (suspicion) {
        return effect::none;
    }
    record fresh;
    fresh.about = {news.subject, news.data_centre, news.where, member_state::live};
    fresh.incarnation = news.incarnation;
    fresh.announced_leaving = news.condition == wire::vm_condition::leaving;
    this->insert(std::move(fresh));
    return effect::joined;
}

effect roster::take_live(record& known, const wire::rumour& news)
{
    if (news.incarnation <= known.incarnation) {
        return news.incarnation < known.incarnation ? effect::outdated : effect::none;
    }
    const bool leaving = news.condition == wire::vm_condition::leaving;
    const bool same = known.now != belief::dead && known.announced_leaving == leaving &&
                      known.about.data_centre == news.data_centre &&
                      known.about.endpoint == news.where;
    // The first word of a VM that the list shows as it is tells the others nothing new.
    const bool expected = known.incarnation == 0 && known.now == belief::live;
    known.incarnation = news.incarnation;
    known.announced_leaving = leaving;
    known.about.data_centre = news.data_centre;
    known.about.endpoint = news.where;
    known.outdated = false;
    this->set_belief(known, belief::live, time_point::max());
    if (same) {
        return expected ? effect::none : effect::refreshed;
    }
    return effect::joined;
}

effect roster::take_suspicion(record& known, const wire::rumour& news, time_point suspicion_ends)
{
    if (news.incarnation < known.incarnation) {
        return effect::outdated;
    }
    const bool newer = news.incarnation > known.incarnation;
    known.incarnation = news.incarnation;
    if (known.now == belief::dead || (known.now == belief::suspected && !newer)) {
        return effect::none;
    }
    // A suspicion of a newer run starts anew, so that this run too has the time to refute it.
    this->set_belief(known, belief::suspected, suspicion_ends);
    return effect::suspected;
}

bool roster::suspect(const vm_id& name, time_point suspicion_ends)
{
    const auto found = this->records.find(name);
    if (found == this->records.end() || found->second.now != belief::live) {
        return false;
    }
    this->set_belief(found->second, belief::suspected, suspicion_ends);
    return true;
}

std::vector<vm_id> roster::bury(time_point now, duration forget_after)
{
    std::vector<vm_id> buried;
    for (const auto& [deadline, name] : this->deadlines) {
        if (deadline > now) {
            break;
        }
        if (this->records.at(name).now == belief::suspected) {
            buried.push_back(name);
        }
    }
    for (const auto& name : buried) {
        auto& known = this->records.at(name);
        this->set_belief(known, belief::dead,
                         known.listed ? time_point::max() : now + forget_after);
    }
    return buried;
}

void roster::forget(time_point now)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto name = this->deadlines.begin()->second;
        this->deadlines.erase(this->deadlines.begin());
        this->records.erase(name);
    }
}

void roster::postpone(duration span)
{
    std::vector<vm_id> waiting;
    for (const auto& [deadline, name] : this->deadlines) {
        waiting.push_back(name);
    }
    for (const auto& name : waiting) {
        auto& known = this->records.at(name);
        this->set_deadline(known, known.deadline + span);
    }
}

time_point roster::next_deadline() const
{
    return this->deadlines.empty() ? time_point::max() : this->deadlines.begin()->first;
}

const record* roster::find(const vm_id& name) const
{
    const auto found = this->records.find(name);
    return found == this->records.end() ? nullptr : &found->second;
}

void roster::set_outdated(const vm_id& name, bool value)
{
    const auto found = this->records.find(name);
    if (found != this->records.end()) {
        found->second.outdated = value;
    }
}

wire::rumour roster::tell(const record& known)
{
    wire::rumour news;
    news.subject = known.about.name;
    news.incarnation = known.incarnation;
    if (known.now != belief::live) {
        news.condition = wire::vm_condition::suspected;
        return news;
    }
    news.condition =
        known.announced_leaving ? wire::vm_condition::leaving : wire::vm_condition::live;
    news.data_centre = known.about.data_centre;
    news.where = known.about.endpoint;
    return news;
}

const vm_id* roster::successor(std::size_t step) const
{
    if (this->ring.empty()) {
        return nullptr;
    }
    auto next = this->ring.upper_bound(this->own_place);
    for (std::size_t i = 0;; ++i) {
        if (next == this->ring.end()) {
            next = this->ring.begin();
        }
        if (i == step % this->ring.size()) {
            return &next->second;
        }
        ++next;
    }
}

} // namespace azureshore::membership::detail
