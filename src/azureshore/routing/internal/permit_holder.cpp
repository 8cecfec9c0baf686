#include "azureshore/routing/internal/permit_holder.hpp"

#include "azureshore/routing/internal/timing.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::routing::detail {

namespace {

constexpr duration no_backend_retry_after = std::chrono::seconds(1);

// A request is repeated after this time even if its leader is alive, as the grant may be lost.
constexpr duration grant_timeout = std::chrono::milliseconds(200);

// Minimum time left on a lease for a request to be started on it.
constexpr duration min_lease_left = std::chrono::milliseconds(5);

} // namespace

permit_holder::permit_holder(service_id service_name, std::uint64_t first_number,
                             holder_hooks actions)
    : service(std::move(service_name)), first_epoch(first_number), hooks(std::move(actions)),
      next_number(first_number)
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
                           const region_id& local_region)
{
    std::vector<region_id> in_service;
    for (const auto& view : views) {
        this->state_of(view.region).leaders.set_order(view.leaders);
        if (view.in_service) {
            in_service.push_back(view.region);
        }
    }
    this->region_choice.update(std::move(in_service), local_region);
    for (auto position = this->pending_tickets.begin(); position != this->pending_tickets.end();) {
        const auto next = std::next(position);
        if (this->state_of(position->second.region).leaders.current(now) !=
            position->second.leader) {
            this->reroute(now, position);
        }
        position = next;
    }
}

void permit_holder::request(time_point now, ticket_request request)
{
    if (!this->busy()) {
        this->last_tick = now;
    }
    pending_ticket pending;
    pending.request = std::move(request);
    this->submit(now, std::move(pending));
}

void permit_holder::submit(time_point now, pending_ticket pending)
{
    const auto* region =
        now < pending.request.deadline ? this->region_choice.choose(now, pending.tried) : nullptr;
    if (region == nullptr) {
        if (now >= pending.request.deadline) {
            pending.last_refusal = wire::refusal_reason::deadline_too_close;
        }
        this->refuse_ticket(pending);
        return;
    }
    pending.region = *region;
    pending.leader = this->state_of(*region).leaders.current(now);
    if (pending.leader.empty()) {
        this->refuse_ticket(pending);
        return;
    }
    pending.first_sent = now;
    const auto number = this->next_number++;
    this->number_by_ticket[pending.request.ticket.value] = number;
    auto& inserted = this->pending_tickets[number] = std::move(pending);
    this->send_request(now, number, inserted);
}

void permit_holder::send_request(time_point now, std::uint64_t number, pending_ticket& pending)
{
    auto& pool = this->state_of(pending.region);
    if (pool.last_leader != pending.leader) {
        pool.last_leader = pending.leader;
        this->send_report(now, pending.leader, pending.region, 0, {});
    }
    pending.sent = now;
    wire::permit_request message;
    message.pool = this->pool_of(pending.region);
    message.ticket = number;
    message.time_left = pending.request.deadline - now;
    message.caller = pending.request.caller;
    message.avoid = pending.request.avoid;
    if (const auto waiting = pool.returns.find(pending.leader); waiting != pool.returns.end()) {
        message.returns = std::move(waiting->second);
        pool.returns.erase(waiting);
    }
    this->hooks.send(pending.leader, std::move(message));
}

void permit_holder::reroute(time_point now, pending_map::iterator position)
{
    auto rerouted = std::move(position->second);
    this->hooks.send(rerouted.leader,
                     wire::permit_cancel{this->pool_of(rerouted.region), position->first});
    this->pending_tickets.erase(position);
    this->submit(now, std::move(rerouted));
}

void permit_holder::refuse_ticket(const pending_ticket& pending)
{
    this->number_by_ticket.erase(pending.request.ticket.value);
    const auto retry_after = pending.retry_after > duration::zero() ||
                                     pending.last_refusal != wire::refusal_reason::no_backend
                                 ? pending.retry_after
                                 : no_backend_retry_after;
    this->hooks.refused(pending.request.ticket, pending.last_refusal, retry_after);
}

void permit_holder::cancel(time_point, ticket_number ticket)
{
    const auto number = this->number_by_ticket.find(ticket.value);
    if (number == this->number_by_ticket.end()) {
        return;
    }
    const auto position = this->pending_tickets.find(number->second);
    this->number_by_ticket.erase(number);
    this->hooks.send(position->second.leader,
                     wire::permit_cancel{this->pool_of(position->second.region), position->first});
    this->pending_tickets.erase(position);
}

void permit_holder::handle_grant(time_point now, const vm_id& from, const wire::permit_grant& grant)
{
    auto& pool = this->state_of(grant.pool.region);
    pool.leaders.record_contact(now, from);
    const permit_key key{from, grant.permit};
    if (this->held.contains(key)) {
        return;
    }
    const auto position = this->pending_tickets.find(grant.ticket);
    if (position == this->pending_tickets.end() || position->second.leader != from) {
        this->return_unused(from, grant);
        return;
    }
    const auto lease_until = position->second.first_sent + grant.waited + grant.lease;
    if (now + min_lease_left >= lease_until) {
        this->return_unused(from, grant);
        this->reroute(now, position);
        return;
    }
    const auto pending = std::move(position->second);
    this->pending_tickets.erase(position);
    this->number_by_ticket.erase(pending.request.ticket.value);
    this->region_choice.record_grant(now, pending.region, now - pending.first_sent, grant.waited);
    pool.known[grant.backend] = {pool.known[grant.backend].instance, grant.bears, now};
    this->held[key] = {pending.region, grant.backend, pending.request.deadline, now,
                       grant.contended};
    this->hooks.granted(pending.request.ticket, {grant.permit,
                                                 {this->service, grant.data_centre},
                                                 from,
                                                 grant.backend,
                                                 grant.where,
                                                 lease_until,
                                                 grant.bears,
                                                 grant.warm});
}

void permit_holder::return_unused(const vm_id& leader, const wire::permit_grant& grant)
{
    wire::permit_return returned;
    returned.pool = grant.pool;
    returned.leader = leader;
    returned.permit = grant.permit;
    returned.backend = grant.backend;
    this->hooks.send(leader, std::move(returned));
}

void permit_holder::handle_refusal(time_point now, const vm_id& from,
                                   const wire::permit_refusal& refusal)
{
    auto& pool = this->state_of(refusal.pool.region);
    pool.leaders.record_contact(now, from);
    const auto position = this->pending_tickets.find(refusal.ticket);
    if (position == this->pending_tickets.end() || position->second.leader != from) {
        return;
    }
    auto refused = std::move(position->second);
    this->pending_tickets.erase(position);
    if (refusal.reason == wire::refusal_reason::not_leader) {
        const auto leader_before = pool.leaders.current(now);
        pool.leaders.suspect(now, from);
        if (pool.leaders.current(now) != leader_before) {
            this->submit(now, std::move(refused));
            return;
        }
    }
    refused.tried.push_back(refused.region);
    refused.last_refusal = refusal.reason;
    refused.retry_after = refusal.retry_after;
    this->region_choice.record_refusal(now, refused.region, refusal.retry_after);
    this->submit(now, std::move(refused));
}

void permit_holder::handle_queued(time_point now, const vm_id& from,
                                  const wire::permit_queued& message)
{
    this->state_of(message.pool.region).leaders.record_contact(now, from);
}

void permit_holder::release(time_point now, const permit& held_permit, const permit_use& use)
{
    const auto found = this->held.find({held_permit.leader, held_permit.number});
    if (found == this->held.end()) {
        return;
    }
    const auto entry = found->second;
    this->held.erase(found);
    auto& pool = this->state_of(entry.region);
    this->record_result(now, pool, entry.backend, use);
    wire::permit_return returned;
    returned.pool = this->pool_of(entry.region);
    returned.leader = held_permit.leader;
    returned.permit = held_permit.number;
    returned.backend = entry.backend;
    returned.result = use.result;
    returned.latency = use.latency;
    returned.instance = use.instance;
    returned.load = use.load;
    const auto leader = pool.leaders.current(now);
    if (!leader.empty() && leader != held_permit.leader) {
        this->queue_return(now, leader, returned, true);
    }
    const bool succeeded = use.result == wire::usage::succeeded;
    this->queue_return(now, held_permit.leader, std::move(returned), entry.contended || !succeeded);
}

void permit_holder::queue_return(time_point now, const vm_id& leader, wire::permit_return returned,
                                 bool send_now)
{
    if (send_now) {
        this->hooks.send(leader, std::move(returned));
        return;
    }
    auto& pool = this->state_of(returned.pool.region);
    pool.returns[leader].push_back(std::move(returned));
    pool.next_return_due = std::min(pool.next_return_due, now + max_return_delay);
}

void permit_holder::send_returns(pool_state& pool)
{
    for (auto& [leader, waiting] : pool.returns) {
        for (auto& returned : waiting) {
            this->hooks.send(leader, std::move(returned));
        }
    }
    pool.returns.clear();
    pool.next_return_due = time_point::max();
}

time_point permit_holder::next_return_due() const
{
    auto due = time_point::max();
    for (const auto& [region, pool] : this->pools) {
        due = std::min(due, pool.next_return_due);
    }
    return due;
}

void permit_holder::record_result(time_point now, pool_state& pool, const backend_id& backend,
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
        known.observed_at = now;
    }
}

void permit_holder::handle_claim(time_point now, const vm_id& from, const wire::leader_claim& claim)
{
    auto& pool = this->state_of(claim.pool.region);
    const auto current_leader = pool.leaders.current(now);
    const bool other_leader_alive =
        current_leader != from &&
        now - pool.leaders.last_contact(current_leader) < support_duration;
    pool.leaders.record_contact(now, from);
    for (const auto& backend : claim.cold) {
        auto& known = pool.known[backend];
        known.bears = 0;
        known.observed_at = now;
    }
    const auto answer =
        other_leader_alive ? leader_support::answer{} : pool.support.handle_claim(now, from);
    this->send_report(now, from, claim.pool.region, claim.round, answer);
}

void permit_holder::send_report(time_point now, const vm_id& leader, const region_id& region,
                                std::uint64_t round, leader_support::answer answer)
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
    std::erase_if(pool.known, [now](const auto& each) {
        return now - each.second.observed_at > max_observation_age;
    });
    for (const auto& [backend, known] : pool.known) {
        report.known.push_back({backend, known.instance, known.bears, now - known.observed_at});
    }
    this->hooks.send(leader, std::move(report));
}

void permit_holder::tick(time_point now)
{
    for (auto& [region, pool] : this->pools) {
        if (now >= pool.next_return_due) {
            this->send_returns(pool);
        }
    }
    if (now - this->last_tick > pause_threshold) {
        for (const auto& [number, each] : this->pending_tickets) {
            this->state_of(each.region).leaders.record_contact(now, each.leader);
        }
    }
    this->last_tick = now;
    this->check_leaders(now);
    this->renew(now);
}

void permit_holder::check_leaders(time_point now)
{
    std::vector<std::uint64_t> rerouted;
    for (auto position = this->pending_tickets.begin(); position != this->pending_tickets.end();) {
        const auto next = std::next(position);
        auto& pending = position->second;
        auto& leaders = this->state_of(pending.region).leaders;
        const auto heard = leaders.last_contact(pending.leader);
        if (now >= pending.request.deadline) {
            this->reroute(now, position);
        }
        else if (now - std::max(pending.first_sent, heard) >= leader_timeout) {
            leaders.suspect(now, pending.leader);
            rerouted.push_back(position->first);
        }
        else if (now - std::max(pending.sent, heard) >= request_retry_interval ||
                 now - pending.sent >= grant_timeout) {
            this->send_request(now, position->first, pending);
        }
        position = next;
    }
    for (const auto number : rerouted) {
        this->reroute(now, this->pending_tickets.find(number));
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
