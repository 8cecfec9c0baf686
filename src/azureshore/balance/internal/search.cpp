#include "azureshore/balance/internal/dispatcher_state.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace azureshore::balance {

namespace {

// A backend server asked as the n-th is taken at once if it costs no more than this; each further
// question costs a round trip, so the bar falls.
constexpr std::array<double, 6> good_enough{1.30, 1.40, 1.50, 1.70, 2.00, 2.50};
// The next candidate is asked when one has not answered for this long: a few round trips.
constexpr duration silence = std::chrono::milliseconds(12);
// The most a search waits for its last answers.
constexpr duration search_limit = std::chrono::milliseconds(150);
// An older reading does not decide: backend servers fill, slow down and turn cold in less. Most
// searches end sooner, unless a backend server that is asked stays silent.
constexpr duration reading_life = std::chrono::milliseconds(25);
// Time between two looks for room by the requests that wait.
constexpr duration queue_interval = std::chrono::milliseconds(12);
// A request is hopeless when less than this share of its usual time at the server is left.
constexpr double least_share = 0.8;
// The most that a backend server may cost for a second send beside the first.
constexpr double second_send_cost = 1.5;
constexpr double unlimited_cost = 1e9;
// Share of the allowed probes that is used, as the daemons' parts are known with a delay, and the
// least of an even part that a daemon with few requests has.
constexpr double probe_use = 0.85;
constexpr double least_part = 0.2;
// A request that waits looks again and again, so each time it asks few.
constexpr std::size_t asked_after_wait = 3;
// Bounds the requests that wait for one service.
constexpr std::size_t most_waiting = 512;

} // namespace

void dispatcher::state::start_search(live_request& of, bool second, bool waited)
{
    of.search.emplace();
    of.search->generation = ++this->last_generation;
    of.search->second = second;
    of.search->waited = waited;
    this->hooks.after(
        search_limit, [this, request = of.in.number, generation = of.search->generation] {
            auto* live = this->find(request);
            if (live != nullptr && live->search && live->search->generation == generation) {
                this->decide(*live);
            }
        });
    this->ask_next(of);
}

void dispatcher::state::ask_next(live_request& of)
{
    auto& search = *of.search;
    if (search.asked.size() >= (search.waited ? asked_after_wait : good_enough.size())) {
        if (search.pending == 0) {
            this->decide(of);
        }
        return;
    }
    auto besides = search.asked;
    besides.insert(of.tried.begin(), of.tried.end());
    const auto candidates = this->book.candidates(this->now(), this->traits(of), besides);
    if (candidates.empty() ||
        !this->service(of.service).probes.take(this->now(), this->probe_rate(of.service))) {
        if (search.pending == 0) {
            this->choose_unasked(of, candidates);
            this->decide(of);
        }
        return;
    }
    const auto& chosen = *candidates.front();
    const probe_number probe{++this->last_probe};
    search.asked.insert(chosen.registered.id);
    ++search.pending;
    ++this->counted.probes;
    this->probes[probe] = {of.in.number, chosen.registered.id, search.generation};
    const auto request = of.in.number;
    const auto generation = search.generation;
    this->hooks.after(silence, [this, request, generation, asked = search.asked.size()] {
        auto* live = this->find(request);
        if (live != nullptr && live->search && live->search->generation == generation &&
            live->search->asked.size() == asked && live->search->pending > 0) {
            this->ask_next(*live);
        }
    });
    // Last, as the answer may come from within the call.
    this->hooks.probe(
        {probe, chosen.registered.id, chosen.registered.endpoint, this->traits(of).health_path});
}

// Where requests are short and many, more of them come than probes are allowed, and answers tell
// the loads as often. Takes the first candidate that told a moment ago that it has room. Second
// sends are not made so: they must not take the room of first ones.
void dispatcher::state::choose_unasked(live_request& of,
                                       const std::vector<detail::known_backend*>& candidates)
{
    auto& search = *of.search;
    if (search.best || search.second) {
        return;
    }
    for (const auto* each : candidates) {
        if (!each->load || this->now() - each->load_at > reading_life) {
            continue;
        }
        auto load = *each->load;
        load.running = std::max(load.running, each->in_flight);
        if (load.running + load.waiting < load.slots) {
            const auto cost = detail::cost_of(load);
            const auto asked = search.asked.size();
            search.best = found_backend{each->registered.id, {}, cost, asked, false, this->now()};
            return;
        }
    }
}

void dispatcher::state::release(const found_backend& found)
{
    if (found.probe) {
        this->hooks.release(*found.probe);
    }
}

// This daemon's part of the probes of a service, a second. It is its part of the requests: where
// more of them come, more choices are made.
double dispatcher::state::probe_rate(const service_id& name)
{
    const double total = this->total_rate ? this->total_rate() : 0;
    const double own = this->request_rate();
    const double even = 1 / static_cast<double>(std::max<std::size_t>(this->daemons, 1));
    const double part = total > 0 ? std::max(std::min(own / total, 1.0), even * least_part) : even;
    return probe_use * this->bounds.probes_per_second * part *
           static_cast<double>(this->book.in_service(name));
}

void dispatcher::state::probe_ended(probe_number probe, const std::optional<probe_result>& reading)
{
    const auto found = this->probes.find(probe);
    if (found == this->probes.end()) {
        return;
    }
    const auto asked = found->second;
    this->probes.erase(found);
    this->book.probed(this->now(), asked.backend, reading);
    auto* live = this->find(asked.request);
    if (live == nullptr || !live->search || live->search->generation != asked.generation) {
        if (reading) {
            this->hooks.release(probe);
        }
        return;
    }
    --live->search->pending;
    if (!reading) {
        this->ask_next(*live);
        return;
    }
    this->take_reading(*live, asked, probe, *reading);
}

void dispatcher::state::take_reading(live_request& of, const sent_probe& asked, probe_number probe,
                                     const probe_result& reading)
{
    auto& search = *of.search;
    const auto* known = this->book.find(asked.backend);
    const bool usable = known != nullptr && reading.healthy &&
                        this->book.may_send(this->now(), *known, this->traits(of));
    if (!usable) {
        this->hooks.release(probe);
        this->ask_next(of);
        return;
    }
    const load_report load =
        reading.load.value_or(load_report{known->in_flight, 0, known->registered.slots, 1});
    found_backend here{asked.backend,
                       probe,
                       detail::cost_of(load),
                       search.asked.size(),
                       load.running + load.waiting >= load.slots,
                       this->now()};
    if (this->now() < known->cold_until) {
        here.cost *= 2;
    }
    if (search.best && search.best->cost <= here.cost) {
        this->hooks.release(probe);
    }
    else {
        if (search.best) {
            this->release(*search.best);
        }
        search.best = here;
    }
    const auto place = std::min(search.asked.size(), good_enough.size()) - 1;
    if (!search.best->full && search.best->cost <= good_enough.at(place)) {
        this->decide(of);
        return;
    }
    this->ask_next(of);
}

// Whether a moment's wait for a better backend server promises an answer within the target, which
// the one found does not.
bool dispatcher::state::worth_waiting(const live_request& of, double cost)
{
    const auto spent = this->now() - of.in.arrived;
    const auto target = of.on->target_latency;
    auto& estimate = this->work(of);
    return spent + estimate.expected(cost) > target &&
           spent + queue_interval + estimate.expected(1.2) < target;
}

void dispatcher::state::decide(live_request& of)
{
    const auto search = std::exchange(of.search, std::nullopt);
    const auto now = this->now();
    auto best = search->best;
    if (best && now - best->read_at > reading_life) {
        this->release(*best);
        best.reset();
    }
    if (best && !search->second) {
        const bool wait = best->full || this->worth_waiting(of, best->cost);
        if (!wait &&
            now + this->work(of).expected(std::min(best->cost, 2.0) * least_share) < of.deadline) {
            if (search->waited) {
                // Where one that waited found room, the next may find it too.
                this->hooks.after(duration::zero(),
                                  [this, name = of.service] { this->serve_queue(name); });
            }
            this->send(of, *best);
            return;
        }
    }
    // While the first attempt runs, a second one must not take the room of other requests.
    const double most_cost = of.running.empty() ? unlimited_cost : second_send_cost;
    if (best && search->second && !best->full && best->cost <= most_cost &&
        this->may_try_again(of)) {
        this->send(of, *best);
        return;
    }
    if (best) {
        this->release(*best);
    }
    if (search->second && !of.running.empty()) {
        return;
    }
    this->wait_for_room(of);
}

void dispatcher::state::drop_search(live_request& of)
{
    if (of.search && of.search->best) {
        this->release(*of.search->best);
    }
    of.search.reset();
}

void dispatcher::state::wait_for_room(live_request& of)
{
    const auto now = this->now();
    auto& waiting = this->service(of.service);
    if (this->book.in_service(of.service) == 0) {
        this->refuse(of, {refusal_cause::no_backend, 503, this->room_expected(of)});
        return;
    }
    if (now + queue_interval + this->work(of).expected(least_share) >= of.deadline ||
        waiting.queue.size() >= most_waiting) {
        this->refuse(of, {refusal_cause::overloaded, 503, this->room_expected(of)});
        return;
    }
    waiting.queue.push_back(of.in.number);
    of.queued = true;
    this->set_queue_timer(of.service);
}

void dispatcher::state::set_queue_timer(const service_id& name)
{
    auto& waiting = this->service(name);
    if (waiting.timer_set) {
        return;
    }
    waiting.timer_set = true;
    this->hooks.after(queue_interval, [this, name] {
        this->service(name).timer_set = false;
        this->serve_queue(name);
    });
}

// Refuses what can't be served in time any more and lets the most urgent look for room.
void dispatcher::state::serve_queue(const service_id& name)
{
    const auto queue = this->service(name).queue;
    for (const auto each : queue) {
        auto& of = *this->find(each);
        if (this->now() + this->work(of).expected(least_share) >= of.deadline) {
            this->leave_queue(of);
            this->refuse(of, {refusal_cause::overloaded, 503, this->room_expected(of)});
        }
    }
    auto& waiting = this->service(name);
    if (waiting.queue.empty()) {
        return;
    }
    std::sort(waiting.queue.begin(), waiting.queue.end(),
              [this](request_number left, request_number right) {
                  return this->goes_before(*this->find(left), *this->find(right));
              });
    auto& first = *this->find(waiting.queue.front());
    this->leave_queue(first);
    if (!waiting.queue.empty()) {
        this->set_queue_timer(name);
    }
    this->start_search(first, !first.running.empty(), true);
}

// Room goes first to requests that can still be answered within their target: under overload, the
// others would only make these late too. Then to the more urgent, then to the older.
bool dispatcher::state::goes_before(const live_request& left, const live_request& right)
{
    const auto late = [this](const live_request& of) {
        return this->now() + this->work(of).expected(1.0) > of.in.arrived + of.on->target_latency;
    };
    return std::make_tuple(late(left), left.on->priority, left.in.arrived) <
           std::make_tuple(late(right), right.on->priority, right.in.arrived);
}

void dispatcher::state::leave_queue(live_request& of)
{
    if (!of.queued) {
        return;
    }
    of.queued = false;
    std::erase(this->service(of.service).queue, of.in.number);
}

} // namespace azureshore::balance
