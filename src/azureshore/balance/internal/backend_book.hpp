#pragma once

#include "azureshore/balance/backend_server.hpp"
#include "azureshore/balance/cold_allowance.hpp"
#include "azureshore/balance/traffic_configuration.hpp"
#include "azureshore/core/random.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace azureshore::balance::detail {

// What this daemon knows and believes of one backend server.
struct known_backend {
    registration registered;
    // Attempts of this daemon under way.
    std::size_t in_flight = 0;
    std::optional<load_report> load;
    time_point load_at;
    time_point cold_until;
    cold_allowance cold;
    // Recent failures, halved with time.
    double failures = 0;
    time_point failures_at;
    // Nothing is sent before; set when it does not answer.
    time_point avoid_until;
    std::uint32_t silent_probes = 0;
};

// How crowded and slowed a backend server is for one request more: 1 for an idle one.
double cost_of(const load_report& load);

// The backend servers that this daemon knows, and the order in which they are worth asking.
class backend_book {
public:
    backend_book(data_centre_id here, random_source numbers);

    void changed(time_point now, const registration& now_known);
    void removed(const backend_id& id);
    void set_out_of_service(std::set<data_centre_id> data_centres);
    void set_cold_part(std::function<double(const backend_id&)> part);

    known_backend* find(const backend_id& id);

    // Those of a service that may get a request now, the most promising first.
    std::vector<known_backend*> candidates(time_point now, const service_traits& traits,
                                           const std::set<backend_id>& besides);

    // Backend servers of the service that are registered and in service, whatever their state.
    [[nodiscard]] std::size_t in_service(const service_id& service) const;

    // Whether a backend server may get a request now; for a cold one, whether its rate leaves room.
    bool may_send(time_point now, const known_backend& to, const service_traits& traits) const;

    // Counts a request against a cold backend server's rate; false if there is no room.
    bool take_cold(time_point now, known_backend& to, const service_traits& traits) const;

    void probed(time_point now, const backend_id& id, const std::optional<probe_result>& reading);
    void failed(time_point now, const backend_id& id, double weight);
    void told_load(time_point now, const backend_id& id, const load_report& load);

private:
    [[nodiscard]] bool reachable(const known_backend& each) const;
    double prior_cost(time_point now, const known_backend& each);
    [[nodiscard]] double cold_rate(const known_backend& to, const service_traits& traits) const;

    data_centre_id self;
    random_source random;
    std::map<backend_id, known_backend> all;
    std::set<data_centre_id> out_of_service;
    std::function<double(const backend_id&)> cold_part;
};

} // namespace azureshore::balance::detail
