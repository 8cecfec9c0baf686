#include "azureshore/balance/internal/backend_book.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace azureshore::balance::detail {

namespace {

using seconds_f = std::chrono::duration<double>;

// A failure counts half after this time.
constexpr duration failure_half_life = std::chrono::seconds(3);
// A reading of the load says little about the moment after this time.
constexpr duration load_memory = std::chrono::milliseconds(150);
// First and longest time without probes for a backend server that did not answer one.
constexpr duration first_avoidance = std::chrono::milliseconds(200);
constexpr duration longest_avoidance = std::chrono::seconds(2);
// One that says it is ill is asked again after this time.
constexpr duration ill_avoidance = std::chrono::milliseconds(500);
// Spreads the daemons' choices among equals; in units of the cost of an idle backend server.
constexpr double spread = 0.5;
// The way to another data centre, in the same units.
constexpr double other_data_centre = 0.9;
// Weight of a recent failure, in the same units.
constexpr double failure_cost = 1.0;
// Requests that run beside each other slow each other a little, and one that takes the last slots
// of a backend server much: some are slow when they are nearly full.
constexpr double crowding = 0.2;
constexpr double nearly_full = 0.8;
constexpr double nearly_full_cost = 0.4;
// A cold backend server takes about twice as long.
constexpr double cold_cost = 1.0;
// Share of a cold backend server's rate that is used, as arrivals bunch on their way.
constexpr double cold_use = 0.9;

} // namespace

double cost_of(const load_report& load)
{
    const auto slots = static_cast<double>(std::max<std::size_t>(load.slots, 1));
    const auto running = static_cast<double>(load.running);
    double crowd = 1 + crowding * std::min(running / slots, 1.0);
    if (running + 1 > nearly_full * slots) {
        crowd += nearly_full_cost;
    }
    if (load.running + load.waiting >= load.slots) {
        crowd += (running + static_cast<double>(load.waiting) + 1 - slots) / slots;
    }
    return crowd * std::max(load.slowness, 0.1);
}

backend_book::backend_book(data_centre_id here, random_source numbers)
    : self(std::move(here)), random(std::move(numbers))
{
}

void backend_book::changed(time_point now, const registration& now_known)
{
    auto& kept = this->all[now_known.id];
    if (kept.registered.started_at != now_known.started_at ||
        kept.registered.endpoint != now_known.endpoint) {
        const auto in_flight = kept.in_flight;
        kept = known_backend{};
        kept.in_flight = in_flight;
    }
    kept.registered = now_known;
    kept.cold_until = std::max(kept.cold_until, now + now_known.cold_remaining);
}

void backend_book::removed(const backend_id& id)
{
    this->all.erase(id);
}

void backend_book::set_out_of_service(std::set<data_centre_id> data_centres)
{
    this->out_of_service = std::move(data_centres);
}

void backend_book::set_cold_part(std::function<double(const backend_id&)> part)
{
    this->cold_part = std::move(part);
}

known_backend* backend_book::find(const backend_id& id)
{
    const auto found = this->all.find(id);
    return found == this->all.end() ? nullptr : &found->second;
}

bool backend_book::reachable(const known_backend& each) const
{
    return !each.registered.draining && !this->out_of_service.contains(each.registered.data_centre);
}

double backend_book::prior_cost(time_point now, const known_backend& each)
{
    const auto slots = static_cast<double>(std::max<std::size_t>(each.registered.slots, 1));
    double cost = 1 + spread * uniform(this->random);
    cost += static_cast<double>(each.in_flight) / slots;
    if (each.load && now - each.load_at < load_memory) {
        const double fresh = 1 - seconds_f(now - each.load_at) / seconds_f(load_memory);
        cost += fresh * (cost_of(*each.load) - 1);
    }
    cost += failure_cost * each.failures *
            std::exp2(-(seconds_f(now - each.failures_at) / seconds_f(failure_half_life)));
    if (each.registered.data_centre != this->self) {
        cost += other_data_centre;
    }
    if (now < each.cold_until) {
        cost += cold_cost;
    }
    return cost;
}

std::vector<known_backend*> backend_book::candidates(time_point now, const service_traits& traits,
                                                     const std::set<backend_id>& besides)
{
    std::vector<std::pair<double, known_backend*>> ranked;
    for (auto& [id, each] : this->all) {
        if (each.registered.service == traits.name && !besides.contains(id) &&
            now >= each.avoid_until && this->may_send(now, each, traits)) {
            ranked.emplace_back(this->prior_cost(now, each), &each);
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<known_backend*> found;
    found.reserve(ranked.size());
    for (const auto& [cost, each] : ranked) {
        found.push_back(each);
    }
    return found;
}

std::size_t backend_book::in_service(const service_id& service) const
{
    return static_cast<std::size_t>(
        std::count_if(this->all.begin(), this->all.end(), [&](const auto& each) {
            return each.second.registered.service == service && this->reachable(each.second);
        }));
}

double backend_book::cold_rate(const known_backend& to, const service_traits& traits) const
{
    const double part = this->cold_part ? this->cold_part(to.registered.id) : 0;
    return traits.cold_rate * cold_use * part;
}

bool backend_book::may_send(time_point now, const known_backend& to,
                            const service_traits& traits) const
{
    if (!this->reachable(to)) {
        return false;
    }
    return now >= to.cold_until || to.cold.ready(now, this->cold_rate(to, traits));
}

bool backend_book::take_cold(time_point now, known_backend& to, const service_traits& traits) const
{
    return now >= to.cold_until || to.cold.take(now, this->cold_rate(to, traits));
}

void backend_book::probed(time_point now, const backend_id& id,
                          const std::optional<probe_result>& reading)
{
    auto* known = this->find(id);
    if (known == nullptr) {
        return;
    }
    if (!reading) {
        const auto doublings = std::min<std::uint32_t>(known->silent_probes, 4);
        ++known->silent_probes;
        known->avoid_until =
            now + std::min<duration>(first_avoidance * (1 << doublings), longest_avoidance);
        return;
    }
    known->silent_probes = 0;
    if (!reading->healthy) {
        known->avoid_until = now + ill_avoidance;
    }
    if (reading->load) {
        this->told_load(now, id, *reading->load);
    }
    if (reading->cold_remaining) {
        known->cold_until = now + *reading->cold_remaining;
    }
}

void backend_book::failed(time_point now, const backend_id& id, double weight)
{
    auto* known = this->find(id);
    if (known == nullptr) {
        return;
    }
    known->failures *=
        std::exp2(-(seconds_f(now - known->failures_at) / seconds_f(failure_half_life)));
    known->failures = std::min(known->failures + weight, 4.0);
    known->failures_at = now;
}

void backend_book::told_load(time_point now, const backend_id& id, const load_report& load)
{
    if (auto* known = this->find(id)) {
        known->load = load;
        known->load_at = now;
    }
}

} // namespace azureshore::balance::detail
