#include "azureshore/routing/internal/pool_leader.hpp"

#include "azureshore/routing/internal/timing.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace azureshore::routing::detail {

namespace {

// Maximum number of tickets examined to find one that may use a free permit.
constexpr std::size_t max_tickets_examined = 16;

// Maximum length of the queue.
constexpr std::size_t max_queued_tickets = 10000;

// A ticket may wait for at most half of the time until its deadline.
constexpr int max_wait_divisor = 2;

// Interval at which expired tickets are removed from the queue.
constexpr duration expiry_check_interval = std::chrono::milliseconds(20);

constexpr duration min_retry_after = std::chrono::milliseconds(100);
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

// Whether the backend server may still be running a request that the VM has abandoned.
bool may_still_run(wire::usage result)
{
    return result == wire::usage::failed || result == wire::usage::cancelled;
}

} // namespace

pool_leader::pool_leader(time_point now, pool_id led_pool, vm_id vm, std::uint64_t first_number,
                         leader_hooks actions)
    : pool(std::move(led_pool)), self(std::move(vm)), hooks(std::move(actions)),
      first_permit(first_number), next_permit(first_number), created(now), last_request(now)
{
    this->log_decision("lead", {});
}

void pool_leader::log_decision(std::string_view event, std::vector<observe::decision_field> fields)
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
    this->max_run_time = setup.max_run_time;
    this->first_in_order = setup.first_in_order;
    this->bucket.set_rate(setup.probes_per_second);
    this->table.update(now, setup.backends, setup.outlier_share);
    this->tick(now);
}

void pool_leader::request(time_point now, const vm_id& from, const wire::permit_request& request)
{
    this->last_request = now;
    for (const auto& returned : request.returns) {
        this->handle_return(now, from, returned);
    }
    if (this->stopped) {
        this->refuse(from, request.ticket, wire::refusal_reason::not_leader, {});
        return;
    }
    if (this->queue.find(from, request.ticket) != this->queue.end()) {
        this->hooks.send(from, wire::permit_queued{this->pool, request.ticket});
        return;
    }
    if (const auto* granted = this->table.find_by_ticket(from, request.ticket)) {
        this->send_grant(*granted, true);
        return;
    }
    if (!this->table.any_usable()) {
        this->refuse(from, request.ticket, wire::refusal_reason::no_backend,
                     no_backend_retry_after);
        return;
    }
    this->queue.push(
        {from, request.ticket, now, now + request.time_left, request.caller, request.avoid},
        this->estimated_wait(1));
    this->grant_waiting(now);
    this->refuse_excess(now);
}

void pool_leader::cancel(time_point now, const vm_id& from, const wire::permit_cancel& cancelled)
{
    const auto place = this->queue.find(from, cancelled.ticket);
    if (place != this->queue.end()) {
        this->queue.remove(place);
    }
    this->grant_waiting(now);
}

void pool_leader::handle_return(time_point now, const vm_id& from,
                                const wire::permit_return& returned)
{
    const permit_key key{returned.leader, returned.permit};
    auto* record = this->table.find(key);
    if (record == nullptr || record->lapsed || record->holder != from) {
        return;
    }
    this->record_outcome(now, *record, returned);
    if (may_still_run(returned.result)) {
        this->table.lapse(now, *record);
    }
    else {
        this->table.remove(key);
    }
    this->grant_waiting(now);
}

void pool_leader::stop(time_point)
{
    this->stopped = true;
    while (!this->queue.empty()) {
        const auto waiting = this->queue.remove(this->queue.begin());
        this->refuse(waiting.vm, waiting.ticket, wire::refusal_reason::not_leader, {});
    }
}

void pool_leader::tick(time_point now)
{
    this->table.expire(now);
    this->verify_by_elapsed_time(now);
    this->claim_if_needed(now);
    this->probe_if_needed(now);
    if (now >= this->next_expiry_check) {
        this->next_expiry_check = now + expiry_check_interval;
        this->refuse_expired(now);
    }
    this->grant_waiting(now);
}

bool pool_leader::idle(time_point now) const
{
    return now - this->last_request > idle_leader_timeout && this->queue.empty() &&
           this->table.permits() == 0;
}

bool pool_leader::ready(time_point now) const
{
    return !this->stopped && (this->reporting_vms.size() >= this->voters.size() ||
                              now - this->created >= report_wait_time);
}

bool pool_leader::may_use_cold(time_point now, const backend_entry& backend) const
{
    return this->lease.held(now) && backend.verified_lease_start == this->lease.sole_leader_since();
}

void pool_leader::grant_waiting(time_point now)
{
    if (!this->ready(now)) {
        return;
    }
    while (!this->queue.empty() && this->grant_next(now)) {
    }
}

bool pool_leader::grant_next(time_point now)
{
    const auto cold_check = [this, now](const backend_entry& backend) {
        return this->may_use_cold(now, backend);
    };
    auto place = this->queue.begin();
    for (std::size_t i = 0; i < max_tickets_examined && place != this->queue.end(); ++i) {
        if (now >= place->waiting.deadline) {
            const auto expired = this->queue.remove(place);
            this->refuse(expired.vm, expired.ticket, wire::refusal_reason::deadline_too_close, {});
            return true;
        }
        const auto chosen =
            this->selector.choose(now, this->table, place->waiting.avoid, cold_check);
        if (chosen.backend != nullptr) {
            const auto ticket = this->queue.remove(place);
            this->grant(now, ticket, *chosen.backend, chosen.scarce || !this->queue.empty());
            return true;
        }
        if (place->waiting.avoid.empty()) {
            return false;
        }
        ++place;
    }
    return false;
}

void pool_leader::grant(time_point now, const queued_ticket& ticket, backend_entry& backend,
                        bool contended)
{
    permit_record record;
    record.key = {this->self, {this->next_permit++}};
    record.holder = ticket.vm;
    record.ticket = ticket.ticket;
    record.backend = &backend;
    record.granted_at = now;
    record.lease_until = now + permit_lease + lease_margin;
    record.deadline = ticket.deadline;
    record.waited = now - ticket.arrived;
    backend.last_grant = now;
    if (this->hooks.log) {
        this->log_decision("grant", {{"ticket", std::to_string(record.ticket)},
                                     {"to", record.holder.value},
                                     {"backend", backend.server.name.value},
                                     {"waited_us", std::to_string(record.waited / microsecond)},
                                     {"running", std::to_string(backend.active)},
                                     {"bears", std::to_string(backend.limiter.limit())}});
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
    granted.bears = record.backend->limiter.expected_limit();
    granted.warm =
        record.backend->limiter.warm() || record.backend->limiter.has_unconfirmed_limit();
    granted.contended = contended;
    this->hooks.send(record.holder, granted);
}

void pool_leader::refuse(const vm_id& recipient, std::uint64_t ticket, wire::refusal_reason reason,
                         duration retry_after)
{
    if (this->hooks.log) {
        this->log_decision("refuse", {{"ticket", std::to_string(ticket)},
                                      {"to", recipient.value},
                                      {"reason", std::string(name_of(reason))}});
    }
    this->hooks.send(recipient, wire::permit_refusal{this->pool, ticket, reason, retry_after});
}

duration pool_leader::estimated_wait(std::size_t tickets) const
{
    const auto capacity = std::max(1U, this->table.capacity());
    return this->selector.mean_permit_time() * static_cast<std::int64_t>(tickets) /
           static_cast<std::int64_t>(capacity);
}

void pool_leader::refuse_excess(time_point now)
{
    while (!this->queue.empty()) {
        const auto last = std::prev(this->queue.end());
        const auto& waiting = last->waiting;
        const auto wait = this->estimated_wait(this->queue.size());
        const auto serve_by =
            waiting.arrived + (waiting.deadline - waiting.arrived) / max_wait_divisor;
        if (this->queue.size() <= max_queued_tickets && now + wait <= serve_by) {
            return;
        }
        const auto refused = this->queue.remove(last);
        this->refuse(refused.vm, refused.ticket, wire::refusal_reason::overloaded,
                     std::max(wait, min_retry_after));
    }
}

void pool_leader::refuse_expired(time_point now)
{
    for (auto place = this->queue.begin(); place != this->queue.end();) {
        const auto next = std::next(place);
        if (now >= place->waiting.deadline) {
            const auto expired = this->queue.remove(place);
            this->refuse(expired.vm, expired.ticket, wire::refusal_reason::deadline_too_close, {});
        }
        place = next;
    }
}

bool pool_leader::has_no_scheduled_work(time_point now) const
{
    return this->queue.empty() && this->table.permits() == 0 && !this->needs_support(now);
}

void pool_leader::add_status(std::vector<backend_status>& rows) const
{
    for (const auto& entry : this->table.all()) {
        rows.push_back({entry->server.name, entry->server.data_centre, std::string(entry->state()),
                        static_cast<double>(entry->limiter.limit()), entry->active,
                        entry->refused});
    }
}

} // namespace azureshore::routing::detail
