#include "azureshore/routing/internal/pool_leader.hpp"

#include "azureshore/routing/internal/timing.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace azureshore::routing::detail {

namespace {

// Tickets that are looked at for one that may use a free permit.
constexpr std::size_t tickets_examined = 16;

// The most tickets that wait.
constexpr std::size_t queue_limit = 10000;

// A ticket waits at most this part of the time that its request has.
constexpr int waiting_divisor = 2;

// How often all waiting tickets are checked against their deadlines.
constexpr duration sweep_interval = std::chrono::milliseconds(20);

constexpr duration least_retry_after = std::chrono::milliseconds(100);
constexpr duration no_backend_retry_after = std::chrono::seconds(1);

constexpr duration microsecond = std::chrono::microseconds(1);

std::string_view name_of(wire::refusal_reason reason)
{
    switch (reason) {
    case wire::refusal_reason::overloaded:
        return "overloaded";
    case wire::refusal_reason::deadline_too_close:
        return "deadline_too_close";
    case wire::refusal_reason::no_backend:
        return "no_backend";
    case wire::refusal_reason::unknown_service:
        return "unknown_service";
    case wire::refusal_reason::shutting_down:
        return "shutting_down";
    case wire::refusal_reason::not_leader:
        break;
    }
    return "not_leader";
}

// Whether the backend server may be working still on a request that the VM has given up.
bool may_still_run(wire::usage result)
{
    return result == wire::usage::failed || result == wire::usage::cancelled;
}

} // namespace

pool_leader::pool_leader(time_point now, pool_id led, vm_id me, std::uint64_t first,
                         leader_hooks where)
    : pool(std::move(led)), self(std::move(me)), hooks(std::move(where)), first_permit(first),
      next_permit(first), created(now), last_request(now)
{
    this->note("lead", {});
}

void pool_leader::note(std::string_view event, std::vector<observe::decision_field> fields)
{
    if (!this->hooks.log) {
        return;
    }
    fields.insert(fields.begin(),
                  {"pool", this->pool.service.value + '@' + this->pool.region.value});
    this->hooks.log({event, std::move(fields)});
}

void pool_leader::update(time_point now, const pool_setup& setup)
{
    this->voters = setup.voters;
    this->longest_run = setup.longest_run;
    this->first_in_order = setup.first_in_order;
    this->bucket.set_rate(setup.probes_per_second);
    this->table.update(now, setup.backends, setup.outlier_share);
    this->tick(now);
}

void pool_leader::request(time_point now, const vm_id& from, const wire::permit_request& asked)
{
    this->last_request = now;
    for (const auto& returned : asked.returns) {
        this->give_back(now, from, returned);
    }
    if (this->stopped) {
        this->refuse(from, asked.ticket, wire::refusal_reason::not_leader, {});
        return;
    }
    if (this->queue.find(from, asked.ticket) != this->queue.end()) {
        this->hooks.send(from, wire::permit_queued{this->pool, asked.ticket});
        return;
    }
    if (const auto* granted = this->table.find_granted(from, asked.ticket)) {
        this->send_grant(*granted, true);
        return;
    }
    if (!this->table.any_usable()) {
        this->refuse(from, asked.ticket, wire::refusal_reason::no_backend, no_backend_retry_after);
        return;
    }
    this->queue.push({from, asked.ticket, now, now + asked.time_left, asked.caller, asked.avoid},
                     this->wait_behind(1));
    this->serve(now);
    this->refuse_hopeless(now);
}

void pool_leader::cancel(time_point now, const vm_id& from, const wire::permit_cancel& cancelled)
{
    const auto place = this->queue.find(from, cancelled.ticket);
    if (place != this->queue.end()) {
        this->queue.remove(place);
    }
    this->serve(now);
}

void pool_leader::give_back(time_point now, const vm_id& from, const wire::permit_return& returned)
{
    const permit_key key{returned.leader, returned.permit};
    auto* record = this->table.find(key);
    if (record == nullptr || record->lapsed || record->holder != from) {
        return;
    }
    this->learn(now, *record, returned);
    if (may_still_run(returned.result)) {
        this->table.lapse(now, *record);
    }
    else {
        this->table.remove(key);
    }
    this->serve(now);
}

void pool_leader::stop(time_point)
{
    this->stopped = true;
    while (!this->queue.empty()) {
        const auto waiting = this->queue.remove(this->queue.begin());
        this->refuse(waiting.from, waiting.ticket, wire::refusal_reason::not_leader, {});
    }
}

void pool_leader::tick(time_point now)
{
    this->table.expire(now);
    this->prove_by_time(now);
    this->claim_if_needed(now);
    this->probe_if_needed(now);
    if (now >= this->next_sweep) {
        this->next_sweep = now + sweep_interval;
        this->refuse_expired(now);
    }
    this->serve(now);
}

bool pool_leader::idle(time_point now) const
{
    return now - this->last_request > lead_idle_time && this->queue.empty() &&
           this->table.permits() == 0;
}

bool pool_leader::ready(time_point now) const
{
    return !this->stopped &&
           (this->reported.size() >= this->voters.size() || now - this->created >= settling_time);
}

bool pool_leader::cold_ready(time_point now, const backend_entry& backend) const
{
    return this->lease.held(now) && backend.proven_for == this->lease.since();
}

void pool_leader::serve(time_point now)
{
    if (!this->ready(now)) {
        return;
    }
    while (!this->queue.empty() && this->serve_one(now)) {
    }
}

bool pool_leader::serve_one(time_point now)
{
    const auto cold_check = [this, now](const backend_entry& backend) {
        return this->cold_ready(now, backend);
    };
    auto place = this->queue.begin();
    for (std::size_t i = 0; i < tickets_examined && place != this->queue.end(); ++i) {
        if (now >= place->waiting.deadline) {
            const auto late = this->queue.remove(place);
            this->refuse(late.from, late.ticket, wire::refusal_reason::deadline_too_close, {});
            return true;
        }
        const auto chosen = this->choice.choose(now, this->table, place->waiting.avoid, cold_check);
        if (chosen.backend != nullptr) {
            const auto served = this->queue.remove(place);
            this->grant(now, served, *chosen.backend, chosen.scarce || !this->queue.empty());
            return true;
        }
        if (place->waiting.avoid.empty()) {
            return false;
        }
        ++place;
    }
    return false;
}

void pool_leader::grant(time_point now, const queued_ticket& served, backend_entry& backend,
                        bool contended)
{
    permit_record record;
    record.key = {this->self, {this->next_permit++}};
    record.holder = served.from;
    record.ticket = served.ticket;
    record.backend = &backend;
    record.granted_at = now;
    record.lease_until = now + permit_lease + lease_margin;
    record.deadline = served.deadline;
    record.waited = now - served.arrived;
    backend.last_grant = now;
    if (this->hooks.log) {
        this->note("grant", {{"ticket", std::to_string(record.ticket)},
                             {"to", record.holder.value},
                             {"backend", backend.server.name.value},
                             {"waited_us", std::to_string(record.waited / microsecond)},
                             {"running", std::to_string(backend.active)},
                             {"bears", std::to_string(backend.window.bears())}});
    }
    this->send_grant(this->table.add(record), contended);
}

void pool_leader::send_grant(const permit_record& record, bool contended)
{
    const auto& server = record.backend->server;
    wire::permit_grant granted;
    granted.pool = this->pool;
    granted.ticket = record.ticket;
    granted.permit = record.key.number;
    granted.backend = server.name;
    granted.data_centre = server.data_centre;
    granted.where = server.endpoint;
    granted.waited = record.waited;
    granted.lease = permit_lease;
    granted.bears = record.backend->window.believed();
    granted.warm = record.backend->window.warm() || record.backend->window.unconfirmed();
    granted.contended = contended;
    this->hooks.send(record.holder, granted);
}

void pool_leader::refuse(const vm_id& to, std::uint64_t ticket, wire::refusal_reason reason,
                         duration retry_after)
{
    if (this->hooks.log) {
        this->note("refuse", {{"ticket", std::to_string(ticket)},
                              {"to", to.value},
                              {"reason", std::string(name_of(reason))}});
    }
    this->hooks.send(to, wire::permit_refusal{this->pool, ticket, reason, retry_after});
}

duration pool_leader::wait_behind(std::size_t tickets) const
{
    const auto capacity = std::max(1U, this->table.capacity());
    return this->choice.mean_hold() * static_cast<std::int64_t>(tickets) /
           static_cast<std::int64_t>(capacity);
}

void pool_leader::refuse_hopeless(time_point now)
{
    while (!this->queue.empty()) {
        const auto last = std::prev(this->queue.end());
        const auto& waiting = last->waiting;
        const auto wait = this->wait_behind(this->queue.size());
        const auto serve_by =
            waiting.arrived + (waiting.deadline - waiting.arrived) / waiting_divisor;
        if (this->queue.size() <= queue_limit && now + wait <= serve_by) {
            return;
        }
        const auto refused = this->queue.remove(last);
        this->refuse(refused.from, refused.ticket, wire::refusal_reason::overloaded,
                     std::max(wait, least_retry_after));
    }
}

void pool_leader::refuse_expired(time_point now)
{
    for (auto place = this->queue.begin(); place != this->queue.end();) {
        const auto next = std::next(place);
        if (now >= place->waiting.deadline) {
            const auto late = this->queue.remove(place);
            this->refuse(late.from, late.ticket, wire::refusal_reason::deadline_too_close, {});
        }
        place = next;
    }
}

bool pool_leader::quiet(time_point now) const
{
    return this->queue.empty() && this->table.permits() == 0 && !this->wants_support(now);
}

void pool_leader::add_status(std::vector<backend_status>& rows) const
{
    for (const auto& entry : this->table.all()) {
        rows.push_back({entry->server.name, entry->server.data_centre, std::string(entry->state()),
                        static_cast<double>(entry->window.bears()), entry->active, entry->refused});
    }
}

} // namespace azureshore::routing::detail
