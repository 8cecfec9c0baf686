#pragma once

#include "azureshore/balance/backend_server.hpp"
#include "azureshore/balance/cold_rate_limiter.hpp"
#include "azureshore/balance/traffic_configuration.hpp"
#include "azureshore/balance/version_filter.hpp"
#include "azureshore/core/random.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace azureshore::balance::detail {

// The state of one backend server as this daemon knows or estimates it.
struct backend_state {
    registration registered;
    // Attempts of this daemon that are running.
    std::size_t in_flight = 0;
    std::optional<load_report> load;
    time_point load_at;
    time_point cold_until;
    cold_rate_limiter cold_limiter;
    // Weighted count of recent failures, which decays exponentially.
    double failures = 0;
    time_point failures_at;
    // No probes or requests are sent before this time. Set after unanswered or unhealthy probes.
    time_point backoff_until;
    std::uint32_t unanswered_probes = 0;
};

// Returns the relative response time of one more request, from the load and slowness of the backend
// server: 1 for an idle one.
double load_cost(const load_report& load);

// The backend servers that this daemon knows, ranked by their estimated cost.
class backend_table {
public:
    backend_table(data_centre_id daemon_data_centre, random_source random_numbers);

    void update(time_point now, const registration& updated);
    void remove(const backend_id& id);
    void set_out_of_service(std::set<data_centre_id> data_centres);
    void set_cold_rate_share(std::function<double(const backend_id&)> share);

    backend_state* find(const backend_id& id);

    // Returns the backend servers of a service that may get a request now, the cheapest first.
    // `exposed` says that the request is to go to the target version of a roll-out.
    std::vector<backend_state*> candidates(time_point now, const service_traits& traits,
                                           const std::set<backend_id>& excluded,
                                           bool exposed = false);

    // Counts the backend servers of a service that are in service.
    [[nodiscard]] version_counts count_versions(const service_id& service,
                                                const std::string& target) const;

    // Whether the rules on versions let a backend server get a request. A rule does not apply while
    // no backend server that it prefers is in service.
    [[nodiscard]] bool permits_version(const backend_state& backend, bool exposed) const;

    // Counts the backend servers of the service that neither drain nor are in a data centre out of
    // service, whatever their load or health.
    [[nodiscard]] std::size_t count_in_service(const service_id& service) const;

    // Whether a backend server may get a request now. A cold one may within its request rate.
    bool can_accept(time_point now, const backend_state& backend,
                    const service_traits& traits) const;

    // Delays the next request to each cold backend server that got none yet by a random part of the
    // interval of its rate. Under a shortage, all daemons find the same cold server at once.
    void spread_cold_sends(time_point now, const service_traits& traits);

    // Counts a request against the rate of a cold backend server. Returns false if the rate is used
    // up.
    bool acquire_cold_send(time_point now, backend_state& backend,
                           const service_traits& traits) const;

    void record_probe(time_point now, const backend_id& id,
                      const std::optional<probe_result>& result);
    void record_failure(time_point now, const backend_id& id, double weight);
    void record_load(time_point now, const backend_id& id, const load_report& load);

    version_filter versions;

private:
    [[nodiscard]] bool permits(const version_rule& rule, const version_counts& in_service,
                               const backend_state& backend, bool exposed) const;
    // Returns the backend servers of the target version that share the exposure, so few that each
    // gets about as many requests as one of another version.
    [[nodiscard]] std::set<backend_id> exposed_backends(const service_id& service,
                                                        const version_rule& rule,
                                                        const version_counts& in_service) const;
    [[nodiscard]] bool reachable(const backend_state& backend) const;
    double estimated_cost(time_point now, const backend_state& backend);
    [[nodiscard]] double cold_rate(const backend_state& backend,
                                   const service_traits& traits) const;

    data_centre_id self;
    random_source random;
    std::map<backend_id, backend_state> backends;
    std::set<data_centre_id> out_of_service;
    std::function<double(const backend_id&)> cold_rate_share;
};

} // namespace azureshore::balance::detail
