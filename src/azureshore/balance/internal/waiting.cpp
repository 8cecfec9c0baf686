#include "azureshore/balance/internal/dispatch_constants.hpp"
#include "azureshore/balance/internal/dispatcher_state.hpp"

#include <algorithm>

namespace azureshore::balance {

namespace {

// Maximum number of queued requests of one service.
constexpr std::size_t max_queue_length = 512;

} // namespace

waiting_request dispatcher::state::waiting_view(const in_flight_request& request)
{
    return {
        request.incoming.number,  request.kind,
        request.priority,         this->response_time_of(request).expected(1),
        request.incoming.arrived, request.first_attempt_at + request.matched_route->target_latency,
        request.deadline};
}

// Counts the queued requests that are started before this one.
std::size_t dispatcher::state::count_ahead(const in_flight_request& request)
{
    auto& target = this->service(request.service);
    const auto now = this->now();
    target.overload.update_order(now);
    const auto own = this->waiting_view(request);
    return static_cast<std::size_t>(
        std::count_if(target.queue.begin(), target.queue.end(), [&](request_number each) {
            return target.overload.goes_before(now, this->waiting_view(*this->find_request(each)),
                                               own);
        }));
}

void dispatcher::state::refuse_overloaded(in_flight_request& request, std::uint64_t& counter,
                                          std::size_t ahead)
{
    ++counter;
    auto& target = this->service(request.service);
    const auto now = this->now();
    const auto view = this->waiting_view(request);
    if (&counter != &this->counts.refused_on_arrival) {
        target.overload.add_wait(now, view, now - request.queued_at.value_or(now));
    }
    const auto wait = target.overload.expected_wait(now, ahead);
    const std::string_view stage = &counter == &this->counts.refused_on_arrival ? "arrival"
                                   : &counter == &this->counts.displaced        ? "displaced"
                                                                                : "waited";
    this->refuse(request,
                 {refusal_cause::overloaded, status_unavailable,
                  target.overload.retry_after(now, view.work, ahead, this->hooks.random)},
                 {{"stage", std::string(stage)},
                  {"worth_rate", format_decimal(overload_policy::worth_rate(now, view))},
                  {"ahead", std::to_string(ahead)},
                  {"taken_share", format_decimal(target.overload.taken_share(now, request.kind))},
                  {"wait_ms", wait ? format_decimal(to_milliseconds(*wait)) : "unknown"}});
}

void dispatcher::state::enqueue_or_refuse(in_flight_request& request)
{
    this->end_exposure(request);
    const auto now = this->now();
    auto& target = this->service(request.service);
    if (this->backends.count_in_service(request.service) == 0) {
        this->refuse(request,
                     {refusal_cause::no_backend, status_unavailable, this->retry_delay(request)});
        return;
    }
    const auto ahead = this->count_ahead(request);
    const auto view = this->waiting_view(request);
    const bool can_wait = overload_policy::can_end(now + queue_check_interval, view, 1) &&
                          (target.queue.size() < max_queue_length || ahead < target.queue.size());
    if (!can_wait || (ahead > 0 && target.overload.is_hopeless(now, view, ahead))) {
        this->refuse_overloaded(request,
                                request.queued_at ? this->counts.waited_in_vain
                                                  : this->counts.refused_on_arrival,
                                ahead);
        return;
    }
    target.queue.push_back(request.incoming.number);
    request.queued = true;
    request.queued_at = request.queued_at.value_or(now);
    target.overload.set_waiting(now, true);
    this->start_queue_timer(request.service);
    if (ahead + 1 < target.queue.size()) {
        this->refuse_hopeless(request.service);
    }
}

void dispatcher::state::start_queue_timer(const service_id& name)
{
    auto& service_entry = this->service(name);
    if (service_entry.queue_timer_set) {
        return;
    }
    service_entry.queue_timer_set = true;
    this->hooks.after(queue_check_interval, [this, name] {
        this->service(name).queue_timer_set = false;
        this->process_queue(name);
    });
}

// Sorts the queue and refuses the requests that will not be started in time.
void dispatcher::state::refuse_hopeless(const service_id& name)
{
    const auto now = this->now();
    auto& target = this->service(name);
    target.overload.update_order(now);
    std::vector<waiting_request> sorted;
    sorted.reserve(target.queue.size());
    for (const auto each : target.queue) {
        sorted.push_back(this->waiting_view(*this->find_request(each)));
    }
    std::sort(sorted.begin(), sorted.end(), [&](const auto& left, const auto& right) {
        return target.overload.goes_before(now, left, right);
    });
    target.queue.clear();
    std::vector<std::pair<request_number, std::size_t>> hopeless;
    for (const auto& each : sorted) {
        const auto ahead = target.queue.size();
        if (ahead >= max_queue_length || target.overload.is_hopeless(now, each, ahead)) {
            hopeless.emplace_back(each.number, ahead);
            this->find_request(each.number)->queued = false;
        }
        else {
            target.queue.push_back(each.number);
        }
    }
    for (const auto& [number, ahead] : hopeless) {
        if (auto* request = this->find_request(number)) {
            const bool expired = !overload_policy::can_end(now, this->waiting_view(*request), 1);
            this->refuse_overloaded(
                *request, expired ? this->counts.waited_in_vain : this->counts.displaced, ahead);
        }
    }
}

// Refuses the requests that can no longer be served in time and starts a search for the first of
// the others.
void dispatcher::state::process_queue(const service_id& name)
{
    this->refuse_hopeless(name);
    auto& target = this->service(name);
    if (target.queue.empty()) {
        return;
    }
    auto& first = *this->find_request(target.queue.front());
    this->remove_from_queue(first);
    if (!target.queue.empty()) {
        this->start_queue_timer(name);
    }
    this->start_search(first, !first.running_attempts.empty(), true);
}

void dispatcher::state::remove_from_queue(in_flight_request& request)
{
    if (!request.queued) {
        return;
    }
    request.queued = false;
    std::erase(this->service(request.service).queue, request.incoming.number);
}

} // namespace azureshore::balance
