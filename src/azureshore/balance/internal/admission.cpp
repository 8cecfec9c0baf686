#include "azureshore/balance/internal/dispatch_constants.hpp"
#include "azureshore/balance/internal/dispatcher_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::balance {

namespace {

// How long after the caller's deadline its request is refused. The caller itself gives up at the
// deadline, so the refusal only cleans up the request.
constexpr duration caller_deadline_grace = std::chrono::milliseconds(50);
// How long, and how many, requests are held by a daemon that has just started.
constexpr duration max_hold_time = std::chrono::milliseconds(1000);
constexpr std::size_t max_held_requests = 256;
// The cost of a backend server at which a request may end up while the daemon stops.
constexpr double slow_backend_cost = 2.0;

} // namespace

dispatcher::state::state(data_centre_id self, shared_bounds shared, dispatcher_hooks callbacks)
    : backends(std::move(self), callbacks.random), hooks(std::move(callbacks)), bounds(shared)
{
}

bool dispatcher::state::configure(std::shared_ptr<const traffic_configuration> next)
{
    if (this->configuration && next->version <= this->configuration->version) {
        return false;
    }
    this->configuration = std::move(next);
    this->service_selector.reset();
    this->index_accounts();
    this->start_held_requests();
    return true;
}

void dispatcher::state::set_bounds(const shared_bounds& shared)
{
    this->bounds = shared;
    for (auto& [name, each] : this->services) {
        each.retries.set_bounds(shared.retry_ratio, shared.retry_slack, shared.retry_window);
    }
}

void dispatcher::state::set_restarted()
{
    this->retry_slack_from = this->now() + this->bounds.retry_window;
    for (auto& [name, each] : this->services) {
        each.retries.set_slack_from(this->retry_slack_from);
    }
}

void dispatcher::state::backends_listed()
{
    this->backends_known = true;
    this->start_held_requests();
}

// A daemon that has just started is ready within a moment. A request held until then is served,
// whereas a refused one may be retried at another daemon that has just started too.
void dispatcher::state::hold_until_ready(const incoming_request& incoming)
{
    this->held_requests[incoming.number] = incoming;
    const auto caller_timeout = incoming.caller_timeout.value_or(max_hold_time * 2);
    this->hooks.after(
        std::min<duration>(caller_timeout / 2, max_hold_time), [this, number = incoming.number] {
            if (const auto expired = this->held_requests.extract(number)) {
                this->refuse_unadmitted(expired.mapped(), {refusal_cause::no_configuration,
                                                           status_unavailable, short_retry_delay});
            }
        });
}

void dispatcher::state::start_held_requests()
{
    if (!this->is_ready()) {
        return;
    }
    const auto held = std::exchange(this->held_requests, {});
    for (const auto& [number, incoming] : held) {
        this->admit(incoming);
    }
}

double dispatcher::state::request_rate()
{
    return static_cast<double>(this->arrivals.count(this->now())) /
           std::chrono::duration<double>(rate_window).count();
}

in_flight_request* dispatcher::state::find_request(request_number number)
{
    const auto found = this->requests.find(number);
    return found == this->requests.end() ? nullptr : &found->second;
}

dispatcher::state::service_state& dispatcher::state::service(const service_id& name)
{
    return this->services.try_emplace(name, this->bounds, this->retry_slack_from).first->second;
}

detail::response_time_estimate&
dispatcher::state::response_time_of(const in_flight_request& request)
{
    if (request.response_time != nullptr) {
        return *request.response_time;
    }
    return this->response_times
        .try_emplace(request.matched_route->name + '@' + request.service.value,
                     request.matched_route->target_latency)
        .first->second;
}

const service_traits& dispatcher::state::traits(const in_flight_request& request) const
{
    static const service_traits unknown;
    const auto* found = request.configuration->find_service(request.service);
    return found == nullptr ? unknown : *found;
}

void dispatcher::state::begin(const incoming_request& incoming)
{
    ++this->counts.requests;
    this->arrivals.add(this->now());
    if (this->is_ready()) {
        this->admit(incoming);
    }
    else if (!this->stop && this->held_requests.size() < max_held_requests) {
        this->hold_until_ready(incoming);
    }
    else {
        this->refuse_unadmitted(
            incoming, {refusal_cause::no_configuration, status_unavailable, short_retry_delay});
    }
}

void dispatcher::state::admit(const incoming_request& incoming)
{
    const auto* matched = this->configuration->find_route(incoming.host, incoming.path);
    if (matched == nullptr && this->is_latest_configuration && !this->is_latest_configuration()) {
        this->refuse_unadmitted(
            incoming, {refusal_cause::no_current_route, status_unavailable, short_retry_delay});
        return;
    }
    if (matched == nullptr) {
        this->refuse_unadmitted(incoming,
                                {refusal_cause::no_route, status_not_found, std::nullopt});
        return;
    }
    if (this->crashes.is_blocked(this->now(), incoming.fingerprint)) {
        this->refuse_unadmitted(incoming,
                                {refusal_cause::suspect_request, status_unavailable, std::nullopt});
        return;
    }
    auto& request = this->requests[incoming.number];
    request.incoming = incoming;
    request.configuration = this->configuration;
    request.matched_route = matched;
    request.priority = matched->priority;
    const auto not_authorized = this->authorize(request);
    request.service = this->service_selector.next(*matched, this->hooks.random);
    request.response_time = &this->response_time_of(request);
    const auto caller_timeout = incoming.caller_timeout.value_or(default_caller_timeout);
    request.deadline = incoming.arrived + std::min(matched->timeout, caller_timeout);
    if (not_authorized) {
        this->refuse(request, *not_authorized);
        return;
    }
    this->service(request.service).retries.add_request(this->now());
    const auto expires_at =
        request.deadline + (caller_timeout < matched->timeout ? caller_deadline_grace : duration{});
    this->hooks.after(expires_at - this->now(),
                      [this, number = incoming.number] { this->handle_deadline(number); });
    if (!this->ends_before_stop(request)) {
        this->refuse(request, this->refusal_while_stopping());
        return;
    }
    this->request_quota(request);
}

// Requests beyond their account's quota do not get here, so that they do not count as demand.
void dispatcher::state::start(in_flight_request& request)
{
    auto& target = this->service(request.service);
    const auto& incoming = request.incoming;
    request.kind =
        target.overload.arrived(this->now(), request.matched_route->name, request.priority,
                                this->response_time_of(request).expected(1));
    request.first_attempt_at = target.overload.first_attempt_at(
        incoming.arrived, request.kind, incoming.caller_timeout.value_or(default_caller_timeout));
    if (!target.overload.admits(this->now(), this->waiting_view(request))) {
        this->refuse_overloaded(request, this->counts.refused_on_arrival, target.queue.size());
        return;
    }
    // Queued requests go first, unless this one has precedence.
    if (!target.queue.empty() && this->count_ahead(request) > 0) {
        this->enqueue_or_refuse(request);
        return;
    }
    this->start_search(request, false);
}

// While the balancer still sends callers here, a refused one may come back to this daemon, so a
// request is taken if it is likely to end in time. Later, another daemon serves it at once, so its
// end must be certain.
bool dispatcher::state::ends_before_stop(const in_flight_request& request)
{
    if (!this->stop || request.deadline + caller_deadline_grace <= this->stop->ends_at) {
        return true;
    }
    const auto now = this->now();
    return now < this->stop->out_of_rotation_at &&
           now + this->response_time_of(request).expected(slow_backend_cost) < this->stop->ends_at;
}

refusal dispatcher::state::refusal_while_stopping() const
{
    const auto until_other_daemons = this->stop->out_of_rotation_at - this->hooks.clock();
    return {refusal_cause::stopping, status_unavailable,
            std::max(until_other_daemons, duration::zero())};
}

void dispatcher::state::end_stop()
{
    const auto held = std::exchange(this->held_requests, {});
    for (const auto& [number, incoming] : held) {
        this->refuse_unadmitted(incoming,
                                {refusal_cause::stopping, status_unavailable, duration::zero()});
    }
    std::vector<request_number> unanswered;
    unanswered.reserve(this->requests.size());
    for (const auto& [number, request] : this->requests) {
        unanswered.push_back(number);
    }
    for (const auto number : unanswered) {
        if (auto* request = this->find_request(number)) {
            this->refuse(*request, {refusal_cause::stopping, status_unavailable, duration::zero()});
        }
    }
}

} // namespace azureshore::balance
