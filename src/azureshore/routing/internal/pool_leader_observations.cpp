// The part of pool_leader that processes returned permits, reports, claims and probe results.

#include "azureshore/routing/internal/pool_leader.hpp"
#include "azureshore/routing/internal/timing.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::routing::detail {

namespace {

// How long untracked requests in a backend server's load report are counted.
constexpr duration untracked_load_lifetime = std::chrono::milliseconds(50);

// Load reports are checked for untracked requests for this long after another VM claims to lead the
// pool, or a report lists a permit that this leader did not grant.
constexpr duration rival_observation_time = std::chrono::seconds(1);

// Minimum time between two probes of one backend server.
constexpr duration min_probe_interval = std::chrono::milliseconds(50);

// A probe without an answer is abandoned after this time.
constexpr duration probe_timeout = std::chrono::milliseconds(500);

} // namespace

void pool_leader::record_outcome(time_point now, const permit_record& record,
                                 const wire::permit_return& returned)
{
    auto& backend = *record.backend;
    const request_outcome outcome{returned.result, record.granted_at, returned.latency,
                                  returned.instance, returned.load};
    const char* reason = backend.limiter.record(now, outcome, this->selector.median_latency());
    if (reason != nullptr) {
        this->log_decision("cold", {{"backend", backend.server.name.value}, {"why", reason}});
        this->claim(now);
    }
    const bool granted_here = record.key.leader == this->self;
    switch (returned.result) {
    case wire::usage::succeeded:
        backend.set_aside = backend.set_aside && now < backend.held_until;
        if (granted_here) {
            this->selector.record_success(now - record.granted_at, returned.latency);
        }
        break;
    case wire::usage::refused:
        ++backend.refused;
        [[fallthrough]];
    case wire::usage::failed:
        if (!backend.limiter.warm()) {
            this->table.hold_back(now, backend);
        }
        break;
    default:
        break;
    }
    this->record_untracked_load(now, backend, returned.load);
}

void pool_leader::record_untracked_load(time_point now, backend_entry& backend,
                                        const std::optional<wire::load_report>& load)
{
    if (!load || now >= this->rival_until) {
        return;
    }
    backend.untracked = load->running > backend.active ? load->running - backend.active : 0;
    backend.untracked_until = now + untracked_load_lifetime;
}

void pool_leader::report(time_point now, const vm_id& from, const wire::permit_report& report)
{
    this->reporting_vms.insert(from);
    for (const auto& held : report.held) {
        const permit_key key{held.leader, held.permit};
        if (auto* record = this->table.find(key)) {
            this->table.renew(*record, now + permit_lease + lease_margin);
            continue;
        }
        auto* backend = this->table.find(held.backend);
        if (backend == nullptr || this->granted_by_this_instance(key)) {
            continue;
        }
        this->rival_until = now + rival_observation_time;
        permit_record record;
        record.key = key;
        record.holder = from;
        record.backend = backend;
        record.granted_at = now;
        record.lease_until = now + permit_lease + lease_margin;
        record.deadline = now + held.time_left;
        this->table.add(record);
    }
    for (const auto& state : report.known) {
        this->adopt_reported_state(state);
    }
    if (report.supported) {
        this->lease.record_support(now, report.round, from, report.epoch);
    }
    this->grant_waiting(now);
}

bool pool_leader::granted_by_this_instance(const permit_key& key) const
{
    return key.leader == this->self && key.number.value >= this->first_permit &&
           key.number.value < this->next_permit;
}

void pool_leader::adopt_reported_state(const wire::known_backend& reported)
{
    auto* backend = this->table.find(reported.backend);
    if (backend == nullptr || backend->limiter.has_observations() ||
        reported.age > max_observation_age) {
        return;
    }
    if (reported.bears == 0) {
        this->failing_backends.insert(reported.backend);
        backend->limiter.discard_reported_limit();
    }
    else if (!this->failing_backends.contains(reported.backend)) {
        backend->limiter.adopt_reported_limit(reported.bears, reported.instance);
    }
}

void pool_leader::rival_claimed(time_point now)
{
    this->rival_until = now + rival_observation_time;
}

bool pool_leader::needs_support(time_point now) const
{
    if (this->stopped) {
        return false;
    }
    // Another VM is the first candidate. Claims by this VM, while it gets no requests, could
    // prevent that VM from reaching a quorum.
    if (!this->first_in_order && now - this->last_request > recent_request_time) {
        return false;
    }
    if (this->lease.last_claim() == time_point{} || !this->ready(now)) {
        return true;
    }
    if (now - this->last_request > claim_idle_timeout) {
        return false;
    }
    const auto& all = this->table.all();
    return std::any_of(all.begin(), all.end(),
                       [](const auto& entry) { return entry->usable() && !entry->limiter.warm(); });
}

void pool_leader::claim_if_needed(time_point now)
{
    const bool due = this->lease.last_claim() == time_point{} ||
                     now - this->lease.last_claim() >= claim_interval;
    if (due && this->needs_support(now)) {
        this->claim(now);
    }
}

void pool_leader::claim(time_point now)
{
    const auto round = this->lease.start_round(now, this->voters.size());
    wire::leader_claim claim{this->pool, round, {}};
    for (const auto& entry : this->table.all()) {
        if (entry->usable() && entry->limiter.has_observations() && !entry->limiter.warm()) {
            claim.cold.push_back(entry->server.name);
        }
    }
    for (const auto& voter : this->voters) {
        this->hooks.send(voter, claim);
    }
}

void pool_leader::verify_by_elapsed_time(time_point now)
{
    if (!this->lease.held(now) ||
        now < this->lease.sole_leader_since() + permit_lease + this->max_run_time) {
        return;
    }
    for (const auto& entry : this->table.all()) {
        entry->verified_lease_start = this->lease.sole_leader_since();
    }
}

void pool_leader::probe_if_needed(time_point now)
{
    const bool sole = this->lease.held(now);
    this->bucket.refill(now, sole ? std::optional(this->lease.sole_leader_since()) : std::nullopt);
    if (!sole || now < this->lease.sole_leader_since() + permit_lease + lease_margin) {
        return;
    }
    // The backend server with the oldest probe goes first, so that a failing one cannot use up all
    // tokens.
    while (auto* next = this->next_to_probe(now)) {
        if (!this->bucket.try_take()) {
            return;
        }
        next->pending_probe_sent_at = now;
        next->last_probe = now;
        this->log_decision("probe", {{"backend", next->server.name.value}});
        this->hooks.probe(next->server);
    }
}

backend_entry* pool_leader::next_to_probe(time_point now) const
{
    backend_entry* least_recently_probed = nullptr;
    for (const auto& entry : this->table.all()) {
        if (this->needs_probe(now, *entry) &&
            (least_recently_probed == nullptr ||
             entry->last_probe < least_recently_probed->last_probe)) {
            least_recently_probed = entry.get();
        }
    }
    return least_recently_probed;
}

bool pool_leader::needs_probe(time_point now, const backend_entry& backend) const
{
    if (!backend.usable() || backend.limiter.warm() ||
        now - backend.last_probe < min_probe_interval) {
        return false;
    }
    if (backend.pending_probe_sent_at && now - *backend.pending_probe_sent_at < probe_timeout) {
        return false;
    }
    if (backend.probe_first) {
        return now >= backend.probe_from;
    }
    if (now < backend.held_until) {
        return false;
    }
    const bool unproven = backend.verified_lease_start != this->lease.sole_leader_since();
    return backend.active == 0 && (unproven || backend.lapsed > 0);
}

void pool_leader::handle_probe_result(time_point now, const backend_id& name,
                                      const std::optional<probe_result>& result)
{
    auto* backend = this->table.find(name);
    if (backend == nullptr || !backend->pending_probe_sent_at) {
        return;
    }
    const auto sent = *backend->pending_probe_sent_at;
    backend->pending_probe_sent_at.reset();
    const bool healthy = result && result->healthy;
    backend->limiter.record_probe(now, healthy);
    if (!healthy) {
        this->table.hold_back(now, *backend);
        return;
    }
    if (backend->probe_first) {
        backend->probe_first = false;
        backend->held_until = now;
    }
    const bool nothing_runs = result->load && result->load->running == 0;
    const bool sole =
        this->lease.held(now) && sent >= this->lease.sole_leader_since() + permit_lease;
    if (nothing_runs && sole && backend->active == 0) {
        backend->verified_lease_start = this->lease.sole_leader_since();
        this->table.forget_lapsed(*backend, sent);
    }
    this->grant_waiting(now);
}

} // namespace azureshore::routing::detail
