#include "azureshore/routing/internal/permit_holder.hpp"

#include "azureshore/routing/internal/timing.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::routing::detail {

namespace {

constexpr duration no_backend_retry_after = std::chrono::seconds(1);

// After this time a ticket is sent again even if its leader is heard of: its grant may be lost.
constexpr duration grant_patience = std::chrono::milliseconds(200);

// Least time left of a lease for a request to be started on it.
constexpr duration least_lease_left = std::chrono::milliseconds(5);

} // namespace

permit_holder::permit_holder(service_id of, std::uint64_t first_number, holder_hooks where)
    : service(std::move(of)), first_epoch(first_number), hooks(std::move(where)),
      next_ask(first_number)
{
}

permit_holder::pool_state& permit_holder::state_of(const region_id& region)
{
    const auto [place, added] = this->pools.try_emplace(region, this->first_epoch);
    if (added) {
        place->second.support.started(this->start);
    }
    return place->second;
}

void permit_holder::update(time_point now, const std::vector<pool_view>& views,
                           const region_id& home)
{
    std::vector<region_id> in_service;
    for (const auto& view : views) {
        this->state_of(view.region).leaders.set_order(view.leaders);
        if (view.in_service) {
            in_service.push_back(view.region);
        }
    }
    this->spill.update(std::move(in_service), home);
    for (auto which = this->asks.begin(); which != this->asks.end();) {
        const auto next = std::next(which);
        if (this->state_of(which->second.region).leaders.current(now) != which->second.leader) {
            this->ask_elsewhere(now, which);
        }
        which = next;
    }
}

void permit_holder::request(time_point now, ticket_request wish)
{
    if (!this->busy()) {
        this->last_tick = now;
    }
    ask wanted;
    wanted.wish = std::move(wish);
    this->place(now, std::move(wanted));
}

void permit_holder::place(time_point now, ask wanted)
{
    const auto* region =
        now < wanted.wish.deadline ? this->spill.choose(now, wanted.tried) : nullptr;
    if (region == nullptr) {
        if (now >= wanted.wish.deadline) {
            wanted.last_refusal = wire::refusal_reason::deadline_too_close;
        }
        this->give_up(wanted);
        return;
    }
    wanted.region = *region;
    wanted.leader = this->state_of(*region).leaders.current(now);
    if (wanted.leader.empty()) {
        this->give_up(wanted);
        return;
    }
    wanted.first_sent = now;
    const auto number = this->next_ask++;
    this->ask_of[wanted.wish.ticket.value] = number;
    auto& placed = this->asks[number] = std::move(wanted);
    this->send_ask(now, number, placed);
}

void permit_holder::send_ask(time_point now, std::uint64_t number, ask& asked)
{
    auto& pool = this->state_of(asked.region);
    if (pool.asked_last != asked.leader) {
        pool.asked_last = asked.leader;
        this->send_report(now, asked.leader, asked.region, 0, {});
    }
    asked.sent = now;
    wire::permit_request request;
    request.pool = this->pool_of(asked.region);
    request.ticket = number;
    request.time_left = asked.wish.deadline - now;
    request.caller = asked.wish.caller;
    request.avoid = asked.wish.avoid;
    if (const auto waiting = pool.returns.find(asked.leader); waiting != pool.returns.end()) {
        request.returns = std::move(waiting->second);
        pool.returns.erase(waiting);
    }
    this->hooks.send(asked.leader, std::move(request));
}

void permit_holder::ask_elsewhere(time_point now, ask_map::iterator which)
{
    auto moved = std::move(which->second);
    this->hooks.send(moved.leader, wire::permit_cancel{this->pool_of(moved.region), which->first});
    this->asks.erase(which);
    this->place(now, std::move(moved));
}

void permit_holder::give_up(const ask& asked)
{
    this->ask_of.erase(asked.wish.ticket.value);
    const auto retry_after = asked.retry_after > duration::zero() ||
                                     asked.last_refusal != wire::refusal_reason::no_backend
                                 ? asked.retry_after
                                 : no_backend_retry_after;
    this->hooks.refused(asked.wish.ticket, asked.last_refusal, retry_after);
}

void permit_holder::cancel(time_point, ticket_number ticket)
{
    const auto number = this->ask_of.find(ticket.value);
    if (number == this->ask_of.end()) {
        return;
    }
    const auto which = this->asks.find(number->second);
    this->ask_of.erase(number);
    this->hooks.send(which->second.leader,
                     wire::permit_cancel{this->pool_of(which->second.region), which->first});
    this->asks.erase(which);
}

void permit_holder::granted(time_point now, const vm_id& from, const wire::permit_grant& grant)
{
    auto& pool = this->state_of(grant.pool.region);
    pool.leaders.heard(now, from);
    const permit_key key{from, grant.permit};
    if (this->held.contains(key)) {
        return;
    }
    const auto which = this->asks.find(grant.ticket);
    if (which == this->asks.end() || which->second.leader != from) {
        this->give_back_unused(from, grant);
        return;
    }
    const auto lease_until = which->second.first_sent + grant.waited + grant.lease;
    if (now + least_lease_left >= lease_until) {
        this->give_back_unused(from, grant);
        this->ask_elsewhere(now, which);
        return;
    }
    const auto asked = std::move(which->second);
    this->asks.erase(which);
    this->ask_of.erase(asked.wish.ticket.value);
    this->spill.answered(now, asked.region, now - asked.first_sent, grant.waited);
    pool.known[grant.backend] = {pool.known[grant.backend].instance, grant.bears, now};
    this->held[key] = {asked.region, grant.backend, asked.wish.deadline, now, grant.contended};
    this->hooks.granted(asked.wish.ticket, {grant.permit,
                                            {this->service, grant.data_centre},
                                            from,
                                            grant.backend,
                                            grant.where,
                                            lease_until,
                                            grant.bears,
                                            grant.warm});
}

void permit_holder::give_back_unused(const vm_id& leader, const wire::permit_grant& grant)
{
    wire::permit_return returned;
    returned.pool = grant.pool;
    returned.leader = leader;
    returned.permit = grant.permit;
    returned.backend = grant.backend;
    this->hooks.send(leader, std::move(returned));
}

void permit_holder::refused(time_point now, const vm_id& from, const wire::permit_refusal& refusal)
{
    auto& pool = this->state_of(refusal.pool.region);
    pool.leaders.heard(now, from);
    const auto which = this->asks.find(refusal.ticket);
    if (which == this->asks.end() || which->second.leader != from) {
        return;
    }
    auto refused = std::move(which->second);
    this->asks.erase(which);
    if (refusal.reason == wire::refusal_reason::not_leader) {
        const auto before = pool.leaders.current(now);
        pool.leaders.pass_over(now, from);
        if (pool.leaders.current(now) != before) {
            this->place(now, std::move(refused));
            return;
        }
    }
    refused.tried.push_back(refused.region);
    refused.last_refusal = refusal.reason;
    refused.retry_after = refusal.retry_after;
    this->spill.refused(now, refused.region, refusal.retry_after);
    this->place(now, std::move(refused));
}

void permit_holder::queued(time_point now, const vm_id& from, const wire::permit_queued& told)
{
    this->state_of(told.pool.region).leaders.heard(now, from);
}

void permit_holder::finish(time_point now, const permit& used, const permit_use& use)
{
    const auto found = this->held.find({used.leader, used.number});
    if (found == this->held.end()) {
        return;
    }
    const auto entry = found->second;
    this->held.erase(found);
    auto& pool = this->state_of(entry.region);
    this->learn(now, pool, entry.backend, use);
    wire::permit_return returned;
    returned.pool = this->pool_of(entry.region);
    returned.leader = used.leader;
    returned.permit = used.number;
    returned.backend = entry.backend;
    returned.result = use.result;
    returned.latency = use.latency;
    returned.instance = use.instance;
    returned.load = use.load;
    const auto leader = pool.leaders.current(now);
    if (!leader.empty() && leader != used.leader) {
        this->queue_return(now, leader, returned, true);
    }
    const bool ended_well = use.result == wire::usage::succeeded;
    this->queue_return(now, used.leader, std::move(returned), entry.contended || !ended_well);
}

void permit_holder::queue_return(time_point now, const vm_id& leader, wire::permit_return returned,
                                 bool at_once)
{
    if (at_once) {
        this->hooks.send(leader, std::move(returned));
        return;
    }
    auto& pool = this->state_of(returned.pool.region);
    pool.returns[leader].push_back(std::move(returned));
    pool.returns_due = std::min(pool.returns_due, now + return_delay);
}

void permit_holder::send_returns(pool_state& pool)
{
    for (auto& [leader, waiting] : pool.returns) {
        for (auto& returned : waiting) {
            this->hooks.send(leader, std::move(returned));
        }
    }
    pool.returns.clear();
    pool.returns_due = time_point::max();
}

time_point permit_holder::returns_due() const
{
    auto due = time_point::max();
    for (const auto& [region, pool] : this->pools) {
        due = std::min(due, pool.returns_due);
    }
    return due;
}

void permit_holder::learn(time_point now, pool_state& pool, const backend_id& backend,
                          const permit_use& use)
{
    auto& known = pool.known[backend];
    const bool restarted =
        !use.instance.empty() && !known.instance.empty() && use.instance != known.instance;
    if (!use.instance.empty()) {
        known.instance = use.instance;
    }
    const bool bad = use.result == wire::usage::refused || use.result == wire::usage::failed;
    if (bad || restarted) {
        known.bears = 0;
        known.learnt_at = now;
    }
}

void permit_holder::claimed(time_point now, const vm_id& from, const wire::leader_claim& claim)
{
    auto& pool = this->state_of(claim.pool.region);
    const auto current = pool.leaders.current(now);
    const bool other_lives =
        current != from && now - pool.leaders.last_heard(current) < support_time;
    pool.leaders.heard(now, from);
    for (const auto& backend : claim.cold) {
        auto& known = pool.known[backend];
        known.bears = 0;
        known.learnt_at = now;
    }
    const auto answer = other_lives ? lead_support::answer{} : pool.support.claimed(now, from);
    this->send_report(now, from, claim.pool.region, claim.round, answer);
}

void permit_holder::send_report(time_point now, const vm_id& to, const region_id& region,
                                std::uint64_t round, lead_support::answer answer)
{
    auto& pool = this->state_of(region);
    wire::permit_report report;
    report.pool = this->pool_of(region);
    report.round = round;
    report.supported = answer.supported;
    report.epoch = answer.epoch;
    for (auto& [key, entry] : this->held) {
        if (entry.region == region) {
            entry.renewed = now;
            report.held.push_back({key.leader, key.number, entry.backend, entry.deadline - now});
        }
    }
    std::erase_if(pool.known,
                  [now](const auto& each) { return now - each.second.learnt_at > knowledge_age; });
    for (const auto& [backend, known] : pool.known) {
        report.known.push_back({backend, known.instance, known.bears, now - known.learnt_at});
    }
    this->hooks.send(to, std::move(report));
}

void permit_holder::tick(time_point now)
{
    for (auto& [region, pool] : this->pools) {
        if (now >= pool.returns_due) {
            this->send_returns(pool);
        }
    }
    if (now - this->last_tick > pause_gap) {
        for (const auto& [number, each] : this->asks) {
            this->state_of(each.region).leaders.heard(now, each.leader);
        }
    }
    this->last_tick = now;
    this->check_leaders(now);
    this->renew(now);
}

void permit_holder::check_leaders(time_point now)
{
    std::vector<std::uint64_t> moved;
    for (auto which = this->asks.begin(); which != this->asks.end();) {
        const auto next = std::next(which);
        auto& asked = which->second;
        auto& leaders = this->state_of(asked.region).leaders;
        const auto heard = leaders.last_heard(asked.leader);
        if (now >= asked.wish.deadline) {
            this->ask_elsewhere(now, which);
        }
        else if (now - std::max(asked.first_sent, heard) >= leader_silence) {
            leaders.pass_over(now, asked.leader);
            moved.push_back(which->first);
        }
        else if (now - std::max(asked.sent, heard) >= ask_again_after ||
                 now - asked.sent >= grant_patience) {
            this->send_ask(now, which->first, asked);
        }
        which = next;
    }
    for (const auto number : moved) {
        this->ask_elsewhere(now, this->asks.find(number));
    }
}

void permit_holder::renew(time_point now)
{
    std::map<std::pair<vm_id, region_id>, bool> due;
    for (const auto& [key, entry] : this->held) {
        if (now - entry.renewed < renewal_interval) {
            continue;
        }
        due[{key.leader, entry.region}] = true;
        const auto leader = this->state_of(entry.region).leaders.current(now);
        if (!leader.empty()) {
            due[{leader, entry.region}] = true;
        }
    }
    for (const auto& [target, unused] : due) {
        this->send_report(now, target.first, target.second, 0, {});
    }
}

} // namespace azureshore::routing::detail
