#include "azureshore/membership/internal/peer_table.hpp"

#include "azureshore/core/hash.hpp"

namespace azureshore::membership::detail {

namespace {

std::pair<std::uint64_t, vm_id> ring_position_of(const vm_id& name)
{
    return {stable_hash(name.value), name};
}

} // namespace

peer_table::peer_table(const vm_id& this_vm) : own_position(ring_position_of(this_vm)) {}

bool peer_table::update_list(time_point now, duration dead_retention,
                             const std::vector<platform::vm_entry>& entries)
{
    bool changed = false;
    std::set<vm_id> listed_names;
    for (const auto& entry : entries) {
        if (entry.service.empty() && entry.name != this->own_position.second) {
            listed_names.insert(entry.name);
            changed = this->mark_listed(entry) || changed;
        }
    }
    for (auto& [name, peer] : this->records) {
        if (peer.listed && listed_names.count(name) == 0) {
            changed = this->mark_unlisted(now, dead_retention, peer) || changed;
        }
    }
    return changed;
}

bool peer_table::mark_listed(const platform::vm_entry& entry)
{
    const bool leaving = entry.state == platform::vm_state::leaving;
    const auto found = this->records.find(entry.name);
    if (found == this->records.end()) {
        peer_record new_peer;
        new_peer.details = {entry.name, entry.data_centre, entry.where, member_state::live};
        new_peer.listed = true;
        new_peer.listed_leaving = leaving;
        this->insert(std::move(new_peer));
        return true;
    }
    auto& peer = found->second;
    const auto before = std::pair(peer.details, peer.listed_leaving);
    // The endpoint that a VM announced is newer than the listed one, unless the VM is dead.
    if (peer.incarnation == 0 || peer.liveness == peer_liveness::dead) {
        peer.details.data_centre = entry.data_centre;
        peer.details.endpoint = entry.where;
    }
    const bool was_listed = peer.listed;
    peer.listed = true;
    peer.listed_leaving = leaving;
    if (peer.liveness == peer_liveness::dead) {
        this->set_liveness(peer, peer_liveness::dead, time_point::max());
        return !was_listed;
    }
    return before != std::pair(peer.details, peer.listed_leaving);
}

bool peer_table::mark_unlisted(time_point now, duration dead_retention, peer_record& peer)
{
    // listed_leaving is not reset: the platform removes a VM from its list only once the VM is
    // leaving, so a VM that was listed as leaving still is.
    peer.listed = false;
    if (peer.liveness != peer_liveness::dead) {
        return false;
    }
    this->set_liveness(peer, peer_liveness::dead, now + dead_retention);
    return true;
}

void peer_table::insert(peer_record peer)
{
    const auto name = peer.details.name;
    auto& stored = this->records.emplace(name, std::move(peer)).first->second;
    this->set_liveness(stored, peer_liveness::live, time_point::max());
}

void peer_table::set_liveness(peer_record& peer, peer_liveness next, time_point deadline)
{
    const auto& name = peer.details.name;
    peer.liveness = next;
    this->set_deadline(peer, deadline);
    if (next == peer_liveness::dead) {
        this->not_dead_names.remove(name);
        this->ring.erase(ring_position_of(name));
    }
    else {
        this->not_dead_names.add(name);
        this->ring.insert(ring_position_of(name));
    }
    if (next == peer_liveness::dead && peer.listed) {
        this->listed_dead_names.add(name);
    }
    else {
        this->listed_dead_names.remove(name);
    }
}

void peer_table::set_deadline(peer_record& peer, time_point deadline)
{
    this->deadlines.erase({peer.deadline, peer.details.name});
    peer.deadline = deadline;
    if (deadline != time_point::max()) {
        this->deadlines.emplace(deadline, peer.details.name);
    }
}

update_effect peer_table::apply(const wire::rumour& rumour, time_point suspicion_deadline)
{
    const auto found = this->records.find(rumour.subject);
    const bool suspicion = rumour.condition == wire::vm_condition::suspected;
    if (found != this->records.end()) {
        return suspicion ? this->apply_suspicion(found->second, rumour, suspicion_deadline)
                         : this->apply_live(found->second, rumour);
    }
    if (suspicion) {
        return update_effect::none;
    }
    peer_record new_peer;
    new_peer.details = {rumour.subject, rumour.data_centre, rumour.where, member_state::live};
    new_peer.incarnation = rumour.incarnation;
    new_peer.announced_leaving = rumour.condition == wire::vm_condition::leaving;
    this->insert(std::move(new_peer));
    return update_effect::updated;
}

update_effect peer_table::apply_live(peer_record& peer, const wire::rumour& rumour)
{
    if (rumour.incarnation <= peer.incarnation) {
        return rumour.incarnation < peer.incarnation ? update_effect::outdated
                                                     : update_effect::none;
    }
    const bool leaving = rumour.condition == wire::vm_condition::leaving;
    const bool same = peer.liveness != peer_liveness::dead && peer.announced_leaving == leaving &&
                      peer.details.data_centre == rumour.data_centre &&
                      peer.details.endpoint == rumour.where;
    // If this is the first incarnation known of a listed VM, and the rest matches its list entry,
    // it is not gossiped: it tells other VMs nothing new.
    const bool first_incarnation = peer.incarnation == 0 && peer.liveness == peer_liveness::live;
    peer.incarnation = rumour.incarnation;
    peer.announced_leaving = leaving;
    peer.details.data_centre = rumour.data_centre;
    peer.details.endpoint = rumour.where;
    peer.sent_outdated_incarnation = false;
    this->set_liveness(peer, peer_liveness::live, time_point::max());
    if (same) {
        return first_incarnation ? update_effect::none : update_effect::incarnation_raised;
    }
    return update_effect::updated;
}

update_effect peer_table::apply_suspicion(peer_record& peer, const wire::rumour& rumour,
                                          time_point suspicion_deadline)
{
    if (rumour.incarnation < peer.incarnation) {
        return update_effect::outdated;
    }
    const bool newer = rumour.incarnation > peer.incarnation;
    peer.incarnation = rumour.incarnation;
    if (peer.liveness == peer_liveness::dead ||
        (peer.liveness == peer_liveness::suspected && !newer)) {
        return update_effect::none;
    }
    // A suspicion with a higher incarnation restarts the timeout, so that the VM has time to refute
    // this one too.
    this->set_liveness(peer, peer_liveness::suspected, suspicion_deadline);
    return update_effect::suspected;
}

bool peer_table::suspect(const vm_id& name, time_point suspicion_deadline)
{
    const auto found = this->records.find(name);
    if (found == this->records.end() || found->second.liveness != peer_liveness::live) {
        return false;
    }
    this->set_liveness(found->second, peer_liveness::suspected, suspicion_deadline);
    return true;
}

std::vector<vm_id> peer_table::expire_suspicions(time_point now, duration dead_retention)
{
    std::vector<vm_id> expired;
    for (const auto& [deadline, name] : this->deadlines) {
        if (deadline > now) {
            break;
        }
        if (this->records.at(name).liveness == peer_liveness::suspected) {
            expired.push_back(name);
        }
    }
    for (const auto& name : expired) {
        auto& peer = this->records.at(name);
        this->set_liveness(peer, peer_liveness::dead,
                           peer.listed ? time_point::max() : now + dead_retention);
    }
    return expired;
}

void peer_table::remove_expired(time_point now)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto name = this->deadlines.begin()->second;
        this->deadlines.erase(this->deadlines.begin());
        this->records.erase(name);
    }
}

void peer_table::extend_deadlines(duration span)
{
    std::vector<vm_id> names;
    for (const auto& [deadline, name] : this->deadlines) {
        names.push_back(name);
    }
    for (const auto& name : names) {
        auto& peer = this->records.at(name);
        this->set_deadline(peer, peer.deadline + span);
    }
}

time_point peer_table::next_deadline() const
{
    return this->deadlines.empty() ? time_point::max() : this->deadlines.begin()->first;
}

const peer_record* peer_table::find(const vm_id& name) const
{
    const auto found = this->records.find(name);
    return found == this->records.end() ? nullptr : &found->second;
}

void peer_table::set_sent_outdated_incarnation(const vm_id& name, bool value)
{
    const auto found = this->records.find(name);
    if (found != this->records.end()) {
        found->second.sent_outdated_incarnation = value;
    }
}

wire::rumour peer_table::to_rumour(const peer_record& peer)
{
    wire::rumour rumour;
    rumour.subject = peer.details.name;
    rumour.incarnation = peer.incarnation;
    if (peer.liveness != peer_liveness::live) {
        rumour.condition = wire::vm_condition::suspected;
        return rumour;
    }
    rumour.condition =
        peer.announced_leaving ? wire::vm_condition::leaving : wire::vm_condition::live;
    rumour.data_centre = peer.details.data_centre;
    rumour.where = peer.details.endpoint;
    return rumour;
}

const vm_id* peer_table::successor(std::size_t index) const
{
    if (this->ring.empty()) {
        return nullptr;
    }
    auto next = this->ring.upper_bound(this->own_position);
    for (std::size_t i = 0;; ++i) {
        if (next == this->ring.end()) {
            next = this->ring.begin();
        }
        if (i == index % this->ring.size()) {
            return &next->second;
        }
        ++next;
    }
}

} // namespace azureshore::membership::detail
