#include "azureshore/balance/internal/dispatch_constants.hpp"
#include "azureshore/balance/internal/dispatcher_state.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace azureshore::balance {

namespace {

// The n-th backend server to be probed is chosen at once if its cost is at most the n-th value.
// Each further probe costs a round trip, so the threshold rises.
constexpr std::array<double, 6> acceptable_costs{1.30, 1.40, 1.50, 1.70, 2.00, 2.50};
// If a candidate has not answered its probe after this time, a few round trips, the next candidate
// is probed as well.
constexpr duration next_probe_delay = std::chrono::milliseconds(12);
// A search ends after this time even if probes are unanswered.
constexpr duration max_search_time = std::chrono::milliseconds(150);
// Older load reports are not used, since backend servers may fill up, slow down or turn cold in
// that time. Most searches end sooner, unless a probed backend server does not answer.
constexpr duration max_load_age = std::chrono::milliseconds(25);
// Maximum cost of a backend server for a second send while the first attempt runs.
constexpr double max_second_send_cost = 1.5;
constexpr double unlimited_cost = 1e9;
// Share of the allowed probe rate that is used, since the daemons' shares are known with a delay.
constexpr double probe_rate_utilisation = 0.85;
// Minimum probe rate of a daemon with few requests, as a fraction of an even share.
constexpr double min_fraction_of_even_share = 0.2;
// A queued request searches repeatedly, so each search makes only a few probes.
constexpr std::size_t max_probes_from_queue = 3;
// Under a shortage, requests of which only a part is taken leave probes to the others.
constexpr std::size_t max_probes_if_giving_way = 2;
constexpr std::size_t max_probes_from_queue_if_giving_way = 1;

// Returns the choice of a backend server by the load that it reported last.
backend_choice reported_choice(const detail::backend_state& backend)
{
    auto load = *backend.load;
    load.running = std::max(load.running, backend.in_flight);
    backend_choice choice;
    choice.backend = backend.registered.id;
    choice.cost = detail::load_cost(load);
    choice.full = load.running + load.waiting >= load.slots;
    choice.crowded = overload_policy::is_crowded(load);
    return choice;
}

} // namespace

void dispatcher::state::start_search(in_flight_request& request, bool for_second_send,
                                     bool from_queue)
{
    if (!request.exposed && !request.exposure_failed) {
        request.exposed = this->backends.versions.try_take(request.service);
    }
    request.search.emplace();
    request.search->generation = ++this->last_generation;
    request.search->for_second_send = for_second_send;
    request.search->from_queue = from_queue;
    this->hooks.after(max_search_time, [this, number = request.incoming.number,
                                        generation = request.search->generation] {
        auto* searching_request = this->find_request(number);
        if (searching_request != nullptr && searching_request->search &&
            searching_request->search->generation == generation) {
            this->finish_search(*searching_request);
        }
    });
    this->probe_next(request);
}

// Whether a backend server has a free slot that does not slow down the others by more than it adds.
bool dispatcher::state::has_room(const in_flight_request& request, const backend_choice& choice)
{
    if (choice.full || !choice.crowded) {
        return !choice.full;
    }
    const auto* backend = this->backends.find(choice.backend);
    const auto& policy = this->service(request.service).overload;
    return backend == nullptr || !policy.crowding_costs_capacity(backend->registered.slots) ||
           policy.may_crowd(this->now(), this->waiting_view(request));
}

void dispatcher::state::probe_next(in_flight_request& request)
{
    auto& search = *request.search;
    auto& target = this->service(request.service);
    const bool gives_way = target.overload.taken_share(this->now(), request.kind) < 1;
    const auto max_probes =
        search.from_queue
            ? (gives_way ? max_probes_from_queue_if_giving_way : max_probes_from_queue)
            : (gives_way ? max_probes_if_giving_way : acceptable_costs.size());
    if (search.probed.size() >= max_probes) {
        if (search.pending_probes == 0) {
            this->finish_search(request);
        }
        return;
    }
    if (search.from_queue || target.overload.waited_lately(this->now())) {
        this->backends.spread_cold_sends(this->now(), this->traits(request));
    }
    auto excluded = search.probed;
    excluded.insert(request.tried_backends.begin(), request.tried_backends.end());
    const auto candidates =
        this->backends.candidates(this->now(), this->traits(request), excluded, request.exposed);
    if (candidates.empty() ||
        !target.probe_bucket.try_take(this->now(), this->probe_rate(request.service))) {
        if (search.pending_probes == 0) {
            this->choose_by_reported_load(request, candidates);
            this->finish_search(request);
        }
        return;
    }
    const auto& chosen = search.from_queue ? *this->first_with_reported_room(request, candidates)
                                           : *candidates.front();
    const probe_number probe{++this->last_probe};
    search.probed.insert(chosen.registered.id);
    ++search.pending_probes;
    ++this->counts.probes;
    this->probes[probe] = {request.incoming.number, chosen.registered.id, search.generation};
    const auto number = request.incoming.number;
    const auto generation = search.generation;
    this->hooks.after(next_probe_delay,
                      [this, number, generation, probed_count = search.probed.size()] {
                          auto* searching_request = this->find_request(number);
                          if (searching_request != nullptr && searching_request->search &&
                              searching_request->search->generation == generation &&
                              searching_request->search->probed.size() == probed_count &&
                              searching_request->search->pending_probes > 0) {
                              this->probe_next(*searching_request);
                          }
                      });
    // This is the last step, since the hook may report the answer synchronously.
    this->hooks.probe({probe, chosen.registered.id, chosen.registered.endpoint,
                       this->traits(request).health_path});
}

// Chooses the first candidate whose recent load report shows a free slot, without a probe. When
// requests are short and frequent, the probe rate does not allow a probe for each of them, but
// their answers report the loads as often as probes would. Second sends are excluded, since they
// must not take capacity from first sends.
void dispatcher::state::choose_by_reported_load(
    in_flight_request& request, const std::vector<detail::backend_state*>& candidates)
{
    auto& search = *request.search;
    if (search.best || search.for_second_send) {
        return;
    }
    for (const auto* each : candidates) {
        if (!each->load || this->now() - each->load_at > max_load_age) {
            continue;
        }
        auto candidate = reported_choice(*each);
        candidate.probed_count = search.probed.size();
        candidate.measured_at = this->now();
        if (this->has_room(request, candidate)) {
            search.best = candidate;
            return;
        }
    }
}

// Returns the first candidate whose recent load report shows room, else the first of all.
const detail::backend_state*
dispatcher::state::first_with_reported_room(const in_flight_request& request,
                                            const std::vector<detail::backend_state*>& candidates)
{
    const auto found = std::find_if(candidates.begin(), candidates.end(), [&](const auto* each) {
        return each->load && this->now() - each->load_at <= max_load_age &&
               this->has_room(request, reported_choice(*each));
    });
    return found == candidates.end() ? candidates.front() : *found;
}

void dispatcher::state::release_connection(const backend_choice& choice)
{
    if (choice.probe) {
        this->hooks.release(*choice.probe);
    }
}

// Returns the probes per second that this daemon may make for a service. Its share of the probe
// rate is its share of all requests, since each request needs probes to choose a backend server.
double dispatcher::state::probe_rate(const service_id& name)
{
    const double total = this->total_rate ? this->total_rate() : 0;
    const double own = this->request_rate();
    const double even_share = 1 / static_cast<double>(std::max<std::size_t>(this->daemons, 1));
    const double share =
        total > 0 ? std::max(std::min(own / total, 1.0), even_share * min_fraction_of_even_share)
                  : even_share;
    return probe_rate_utilisation * this->bounds.probes_per_second * share *
           static_cast<double>(this->backends.count_in_service(name));
}

void dispatcher::state::probe_ended(probe_number probe, const std::optional<probe_result>& result)
{
    const auto found = this->probes.find(probe);
    if (found == this->probes.end()) {
        return;
    }
    const auto sent = found->second;
    this->probes.erase(found);
    this->backends.record_probe(this->now(), sent.backend, result);
    auto* searching_request = this->find_request(sent.request);
    if (searching_request == nullptr || !searching_request->search ||
        searching_request->search->generation != sent.generation) {
        if (result) {
            this->hooks.release(probe);
        }
        return;
    }
    --searching_request->search->pending_probes;
    if (!result) {
        this->probe_next(*searching_request);
        return;
    }
    this->evaluate_probe(*searching_request, sent, probe, *result);
}

void dispatcher::state::evaluate_probe(in_flight_request& request, const pending_probe& sent,
                                       probe_number probe, const probe_result& result)
{
    auto& search = *request.search;
    const auto* backend = this->backends.find(sent.backend);
    const bool usable = backend != nullptr && result.healthy &&
                        this->backends.can_accept(this->now(), *backend, this->traits(request)) &&
                        this->backends.permits_version(*backend, request.exposed);
    if (!usable) {
        this->hooks.release(probe);
        this->probe_next(request);
        return;
    }
    const load_report load =
        result.load.value_or(load_report{backend->in_flight, 0, backend->registered.slots, 1});
    backend_choice candidate{sent.backend,
                             probe,
                             detail::load_cost(load),
                             search.probed.size(),
                             load.running + load.waiting >= load.slots,
                             overload_policy::is_crowded(load),
                             this->now()};
    if (this->now() < backend->cold_until) {
        candidate.cost *= 2;
    }
    if (search.best && search.best->cost <= candidate.cost) {
        this->hooks.release(probe);
    }
    else {
        if (search.best) {
            this->release_connection(*search.best);
        }
        search.best = candidate;
    }
    const auto threshold_index = std::min(search.probed.size(), acceptable_costs.size()) - 1;
    if (this->has_room(request, *search.best) &&
        search.best->cost <= acceptable_costs.at(threshold_index)) {
        this->finish_search(request);
        return;
    }
    this->probe_next(request);
}

// Whether waiting for a better backend server is expected to meet the target latency, while the
// given cost is not.
bool dispatcher::state::should_wait(const in_flight_request& request, double cost)
{
    const auto elapsed = this->now() - request.incoming.arrived;
    const auto target = request.matched_route->target_latency;
    auto& estimate = this->response_time_of(request);
    return elapsed + estimate.expected(cost) > target &&
           elapsed + queue_check_interval + estimate.expected(1.2) < target;
}

void dispatcher::state::finish_search(in_flight_request& request)
{
    const auto search = std::exchange(request.search, std::nullopt);
    if (request.exposed && this->search_other_versions(request, *search)) {
        return;
    }
    const auto now = this->now();
    auto best = search->best;
    if (best && now - best->measured_at > max_load_age) {
        this->release_connection(*best);
        best.reset();
    }
    if (best && !search->for_second_send) {
        const bool wait = !this->has_room(request, *best) || this->should_wait(request, best->cost);
        const bool short_of_room =
            search->from_queue || !this->service(request.service).queue.empty();
        const double expected_cost = short_of_room ? best->cost : std::min(best->cost, 2.0);
        if (!wait && overload_policy::can_end(now, this->waiting_view(request), expected_cost)) {
            if (search->from_queue) {
                // If a queued request found capacity, the next one may find some too.
                this->hooks.after(duration::zero(),
                                  [this, name = request.service] { this->process_queue(name); });
            }
            this->send(request, *best, search->from_queue);
            return;
        }
    }
    // While the first attempt runs, a second one must not take capacity from other requests.
    const double max_cost =
        request.running_attempts.empty() ? unlimited_cost : max_second_send_cost;
    if (best && search->for_second_send && !best->full && best->cost <= max_cost &&
        this->may_retry(request)) {
        this->send(request, *best);
        return;
    }
    if (best) {
        this->release_connection(*best);
    }
    if (search->for_second_send && !request.running_attempts.empty()) {
        this->end_exposure(request);
        return;
    }
    this->enqueue_or_refuse(request);
}

// Begins another search if that for a server of the target version found none. Returns whether it
// did.
bool dispatcher::state::search_other_versions(in_flight_request& request,
                                              const backend_search& ended)
{
    if (ended.best) {
        if (!ended.best->full && this->now() - ended.best->measured_at <= max_load_age) {
            return false;
        }
        this->release_connection(*ended.best);
    }
    this->end_exposure(request);
    request.exposure_failed = true;
    this->start_search(request, ended.for_second_send, ended.from_queue);
    return true;
}

// Gives the exposure of a request back that is not sent to the target version.
void dispatcher::state::end_exposure(in_flight_request& request)
{
    if (std::exchange(request.exposed, false)) {
        this->backends.versions.give_back(request.service);
    }
}

void dispatcher::state::cancel_search(in_flight_request& request)
{
    this->end_exposure(request);
    if (request.search && request.search->best) {
        this->release_connection(*request.search->best);
    }
    request.search.reset();
}

} // namespace azureshore::balance
