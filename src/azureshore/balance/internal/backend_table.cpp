#include "azureshore/balance/internal/backend_table.hpp"

#include "azureshore/core/hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace azureshore::balance::detail {

namespace {

using seconds_f = std::chrono::duration<double>;

// The weight of a failure is halved after this time.
constexpr duration failure_half_life = std::chrono::seconds(3);
// A load report loses its weight linearly over this time.
constexpr duration load_decay_time = std::chrono::milliseconds(150);
// Exponential backoff of probes to a backend server that does not answer them.
constexpr duration initial_probe_backoff = std::chrono::milliseconds(200);
constexpr duration max_probe_backoff = std::chrono::seconds(2);
// Backoff after a health probe that is answered as unhealthy.
constexpr duration unhealthy_backoff = std::chrono::milliseconds(500);
// Random cost that spreads the daemons' choices among equal backend servers. All costs are in units
// of the cost of an idle backend server.
constexpr double tie_break_cost = 0.5;
// Cost of the network delay to another data centre.
constexpr double remote_data_centre_cost = 0.9;
// Cost of a recent failure.
constexpr double failure_cost = 1.0;
// Concurrent requests slow each other down a little. A request that takes one of the last slots
// adds more, since some backend servers are slow when they are nearly full.
constexpr double concurrency_cost = 0.2;
constexpr double nearly_full_share = 0.8;
constexpr double nearly_full_cost = 0.4;
// Additional cost of a cold backend server, which takes about twice as long to answer.
constexpr double cold_cost = 1.0;
// Share of a cold backend server's rate that is used. Requests sent at even intervals may arrive
// closer together.
constexpr double cold_rate_utilisation = 0.9;
// A single slow VM must not decide a roll-out.
constexpr std::size_t min_exposed_backends = 3;

} // namespace

double load_cost(const load_report& load)
{
    const auto slots = static_cast<double>(std::max<std::size_t>(load.slots, 1));
    const auto running = static_cast<double>(load.running);
    double cost = 1 + concurrency_cost * std::min(running / slots, 1.0);
    if (running + 1 > nearly_full_share * slots) {
        cost += nearly_full_cost;
    }
    if (load.running + load.waiting >= load.slots) {
        cost += (running + static_cast<double>(load.waiting) + 1 - slots) / slots;
    }
    return cost * std::max(load.slowness, 0.1);
}

backend_table::backend_table(data_centre_id daemon_data_centre, random_source random_numbers)
    : self(std::move(daemon_data_centre)), random(std::move(random_numbers))
{
}

void backend_table::update(time_point now, const registration& updated)
{
    auto& backend = this->backends[updated.id];
    if (backend.registered.started_at != updated.started_at ||
        backend.registered.endpoint != updated.endpoint) {
        const auto in_flight = backend.in_flight;
        backend = backend_state{};
        backend.in_flight = in_flight;
    }
    backend.registered = updated;
    backend.cold_until = std::max(backend.cold_until, now + updated.cold_remaining);
}

void backend_table::remove(const backend_id& id)
{
    this->backends.erase(id);
}

void backend_table::set_out_of_service(std::set<data_centre_id> data_centres)
{
    this->out_of_service = std::move(data_centres);
}

void backend_table::set_cold_rate_share(std::function<double(const backend_id&)> share)
{
    this->cold_rate_share = std::move(share);
}

backend_state* backend_table::find(const backend_id& id)
{
    const auto found = this->backends.find(id);
    return found == this->backends.end() ? nullptr : &found->second;
}

bool backend_table::reachable(const backend_state& backend) const
{
    return !backend.registered.draining &&
           !this->out_of_service.contains(backend.registered.data_centre);
}

double backend_table::estimated_cost(time_point now, const backend_state& backend)
{
    const auto slots = static_cast<double>(std::max<std::size_t>(backend.registered.slots, 1));
    double cost = 1 + tie_break_cost * uniform(this->random);
    cost += static_cast<double>(backend.in_flight) / slots;
    if (backend.load && now - backend.load_at < load_decay_time) {
        const double freshness = 1 - seconds_f(now - backend.load_at) / seconds_f(load_decay_time);
        cost += freshness * (load_cost(*backend.load) - 1);
    }
    cost += failure_cost * backend.failures *
            std::exp2(-(seconds_f(now - backend.failures_at) / seconds_f(failure_half_life)));
    if (backend.registered.data_centre != this->self) {
        cost += remote_data_centre_cost;
    }
    if (now < backend.cold_until) {
        cost += cold_cost;
    }
    return cost;
}

std::vector<backend_state*> backend_table::candidates(time_point now, const service_traits& traits,
                                                      const std::set<backend_id>& excluded,
                                                      bool exposed)
{
    std::vector<std::pair<double, backend_state*>> ranked;
    const auto* const rule = this->versions.find(traits.name);
    const auto in_service =
        rule == nullptr ? version_counts{} : this->count_versions(traits.name, rule->target);
    const auto sharers = rule == nullptr || !exposed || in_service.other == 0
                             ? std::set<backend_id>{}
                             : this->exposed_backends(traits.name, *rule, in_service);
    for (auto& [id, each] : this->backends) {
        if (each.registered.service == traits.name && !excluded.contains(id) &&
            now >= each.backoff_until && this->can_accept(now, each, traits) &&
            (rule == nullptr || this->permits(*rule, in_service, each, exposed)) &&
            (sharers.empty() || sharers.contains(id))) {
            ranked.emplace_back(this->estimated_cost(now, each), &each);
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<backend_state*> ordered;
    ordered.reserve(ranked.size());
    for (const auto& [cost, each] : ranked) {
        ordered.push_back(each);
    }
    return ordered;
}

version_counts backend_table::count_versions(const service_id& service,
                                             const std::string& target) const
{
    version_counts counted;
    for (const auto& [id, each] : this->backends) {
        if (each.registered.service == service && this->reachable(each)) {
            ++(each.registered.version == target ? counted.target : counted.other);
        }
    }
    return counted;
}

bool backend_table::permits(const version_rule& rule, const version_counts& in_service,
                            const backend_state& backend, bool exposed) const
{
    const bool is_target = backend.registered.version == rule.target;
    switch (rule.use) {
    case version_use::other_only:
        return !is_target || in_service.other == 0;
    case version_use::share:
        return is_target == exposed || in_service.other == 0;
    case version_use::target_only:
        return is_target || in_service.target == 0;
    }
    return true;
}

bool backend_table::permits_version(const backend_state& backend, bool exposed) const
{
    const auto& service = backend.registered.service;
    const auto* const rule = this->versions.find(service);
    return rule == nullptr ||
           this->permits(*rule, this->count_versions(service, rule->target), backend, exposed);
}

// The same on all daemons, as it depends on the names alone.
std::set<backend_id> backend_table::exposed_backends(const service_id& service,
                                                     const version_rule& rule,
                                                     const version_counts& in_service) const
{
    std::vector<std::pair<std::uint64_t, backend_id>> ordered;
    for (const auto& [id, each] : this->backends) {
        if (each.registered.service == service && each.registered.version == rule.target &&
            this->reachable(each)) {
            ordered.emplace_back(stable_hash(id.value), id);
        }
    }
    std::sort(ordered.begin(), ordered.end());
    const auto even = std::ceil(rule.share * static_cast<double>(in_service.other));
    const auto count = std::max(min_exposed_backends, static_cast<std::size_t>(even));
    std::set<backend_id> sharers;
    for (std::size_t index = 0; index < std::min(count, ordered.size()); ++index) {
        sharers.insert(ordered[index].second);
    }
    return sharers;
}

std::size_t backend_table::count_in_service(const service_id& service) const
{
    return static_cast<std::size_t>(
        std::count_if(this->backends.begin(), this->backends.end(), [&](const auto& each) {
            return each.second.registered.service == service && this->reachable(each.second);
        }));
}

double backend_table::cold_rate(const backend_state& backend, const service_traits& traits) const
{
    const double share = this->cold_rate_share ? this->cold_rate_share(backend.registered.id) : 0;
    return traits.cold_rate * cold_rate_utilisation * share;
}

bool backend_table::can_accept(time_point now, const backend_state& backend,
                               const service_traits& traits) const
{
    if (!this->reachable(backend)) {
        return false;
    }
    return now >= backend.cold_until ||
           backend.cold_limiter.can_acquire(now, this->cold_rate(backend, traits));
}

void backend_table::spread_cold_sends(time_point now, const service_traits& traits)
{
    for (auto& [id, each] : this->backends) {
        if (each.registered.service == traits.name && now < each.cold_until) {
            each.cold_limiter.delay_first(now, this->cold_rate(each, traits),
                                          uniform(this->random));
        }
    }
}

bool backend_table::acquire_cold_send(time_point now, backend_state& backend,
                                      const service_traits& traits) const
{
    return now >= backend.cold_until ||
           backend.cold_limiter.try_acquire(now, this->cold_rate(backend, traits));
}

void backend_table::record_probe(time_point now, const backend_id& id,
                                 const std::optional<probe_result>& result)
{
    auto* backend = this->find(id);
    if (backend == nullptr) {
        return;
    }
    if (!result) {
        const auto doublings = std::min<std::uint32_t>(backend->unanswered_probes, 4);
        ++backend->unanswered_probes;
        backend->backoff_until =
            now + std::min<duration>(initial_probe_backoff * (1 << doublings), max_probe_backoff);
        return;
    }
    backend->unanswered_probes = 0;
    if (!result->healthy) {
        backend->backoff_until = now + unhealthy_backoff;
    }
    if (result->load) {
        this->record_load(now, id, *result->load);
    }
    if (result->cold_remaining) {
        backend->cold_until = now + *result->cold_remaining;
    }
}

void backend_table::record_failure(time_point now, const backend_id& id, double weight)
{
    auto* backend = this->find(id);
    if (backend == nullptr) {
        return;
    }
    backend->failures *=
        std::exp2(-(seconds_f(now - backend->failures_at) / seconds_f(failure_half_life)));
    backend->failures = std::min(backend->failures + weight, 4.0);
    backend->failures_at = now;
}

void backend_table::record_load(time_point now, const backend_id& id, const load_report& load)
{
    if (auto* backend = this->find(id)) {
        backend->load = load;
        backend->load_at = now;
    }
}

} // namespace azureshore::balance::detail
