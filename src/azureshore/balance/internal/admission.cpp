#include "azureshore/balance/internal/dispatch_terms.hpp"
#include "azureshore/balance/internal/dispatcher_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::balance {

namespace {

// The caller itself gives up at its deadline; an answer of our own after that only tidies up.
constexpr duration after_deadline = std::chrono::milliseconds(50);
// The longest that a request waits for a daemon that has just started, and how many may.
constexpr duration longest_hold = std::chrono::milliseconds(1000);
constexpr std::size_t most_held = 256;

} // namespace

dispatcher::state::state(data_centre_id self, shared_bounds shared, dispatcher_hooks actions)
    : book(std::move(self), actions.random), hooks(std::move(actions)), bounds(shared)
{
}

bool dispatcher::state::configure(std::shared_ptr<const traffic_configuration> next)
{
    if (this->current && next->version <= this->current->version) {
        return false;
    }
    this->current = std::move(next);
    this->split.reset();
    this->begin_held();
    return true;
}

void dispatcher::state::set_bounds(const shared_bounds& shared)
{
    this->bounds = shared;
    for (auto& [name, each] : this->services) {
        each.allowance.set_bounds(shared.retry_ratio, shared.retry_slack);
    }
}

void dispatcher::state::backends_listed()
{
    this->listed = true;
    this->begin_held();
}

// A daemon that has just started knows more within a moment: a request that waits for it is served,
// one that is refused comes back to another daemon that may have started just as late.
void dispatcher::state::hold(const incoming_request& request)
{
    this->held[request.number] = request;
    const auto patience = request.caller_timeout.value_or(longest_hold * 2);
    this->hooks.after(
        std::min<duration>(patience / 2, longest_hold), [this, number = request.number] {
            if (const auto late = this->held.extract(number)) {
                this->refuse_new(late.mapped(),
                                 {refusal_cause::no_configuration, status_unavailable, soon});
            }
        });
}

void dispatcher::state::begin_held()
{
    if (!this->knows_enough()) {
        return;
    }
    const auto waiting = std::exchange(this->held, {});
    for (const auto& [number, request] : waiting) {
        this->take_in(request);
    }
}

double dispatcher::state::request_rate()
{
    return static_cast<double>(this->arrivals.count(this->now())) /
           std::chrono::duration<double>(rate_window).count();
}

live_request* dispatcher::state::find(request_number request)
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

dispatcher::state::service_state& dispatcher::state::service(const service_id& name)
{
    return this->services.try_emplace(name, this->bounds).first->second;
}

detail::work_estimate& dispatcher::state::work(const live_request& of)
{
    return this->works.try_emplace(of.on->name + '@' + of.service.value, of.on->target_latency)
        .first->second;
}

const service_traits& dispatcher::state::traits(const live_request& of) const
{
    static const service_traits unknown;
    const auto* found = of.version->find_service(of.service);
    return found == nullptr ? unknown : *found;
}

void dispatcher::state::begin(const incoming_request& request)
{
    ++this->counted.requests;
    this->arrivals.add(this->now());
    if (this->knows_enough()) {
        this->take_in(request);
    }
    else if (this->held.size() < most_held) {
        this->hold(request);
    }
    else {
        this->refuse_new(request, {refusal_cause::no_configuration, status_unavailable, soon});
    }
}

void dispatcher::state::take_in(const incoming_request& request)
{
    const auto* on = this->current->find_route(request.host, request.path);
    if (on == nullptr) {
        this->refuse_new(request, {refusal_cause::no_route, status_not_found, std::nullopt});
        return;
    }
    if (this->suspected.condemned(this->now(), request.fingerprint)) {
        this->refuse_new(request,
                         {refusal_cause::suspect_request, status_unavailable, std::nullopt});
        return;
    }
    auto& of = this->requests[request.number];
    of.in = request;
    of.version = this->current;
    of.on = on;
    of.service = this->split.next(*on, this->hooks.random);
    const auto patience = request.caller_timeout.value_or(unknown_patience);
    of.deadline = request.arrived + std::min(on->timeout, patience);
    this->service(of.service).allowance.request(this->now());
    const auto ends = of.deadline + (patience < on->timeout ? after_deadline : duration{});
    this->hooks.after(ends - this->now(),
                      [this, number = request.number] { this->deadline_passed(number); });
    // Those that wait go first, unless this one is more urgent.
    const auto& queue = this->service(of.service).queue;
    const bool others_first = std::any_of(queue.begin(), queue.end(), [&](request_number each) {
        return this->goes_before(*this->find(each), of);
    });
    if (others_first) {
        this->wait_for_room(of);
        return;
    }
    this->start_search(of, false);
}

} // namespace azureshore::balance
