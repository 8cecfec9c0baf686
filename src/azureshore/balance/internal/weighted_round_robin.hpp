#pragma once

#include "azureshore/balance/traffic_configuration.hpp"
#include "azureshore/core/random.hpp"

#include <map>
#include <vector>

namespace azureshore::balance::detail {

// Chooses the service for each request of a weighted route by smooth weighted round robin: over any
// run of requests each service gets its share, within one request.
class weighted_round_robin {
public:
    const service_id& next(const route& weighted_route, const random_source& random)
    {
        if (weighted_route.services.size() == 1) {
            return weighted_route.services.front().service;
        }
        auto& credits = this->credits_by_route[weighted_route.name];
        if (credits.size() != weighted_route.services.size()) {
            credits = initial_credits(weighted_route, random);
        }
        double total = 0;
        std::size_t best = 0;
        for (std::size_t i = 0; i < credits.size(); ++i) {
            credits[i] += weighted_route.services[i].weight;
            total += weighted_route.services[i].weight;
            if (credits[i] > credits[best]) {
                best = i;
            }
        }
        credits[best] -= total;
        return weighted_route.services[best].service;
    }

    // Discards the credits of all routes, as their weights may have changed.
    void reset() { this->credits_by_route.clear(); }

private:
    // Starts each daemon at a random position, so that the daemons do not all favour the same
    // service at first.
    static std::vector<double> initial_credits(const route& weighted_route,
                                               const random_source& random)
    {
        std::vector<double> credits;
        credits.reserve(weighted_route.services.size());
        for (const auto& each : weighted_route.services) {
            credits.push_back(uniform(random) * each.weight);
        }
        return credits;
    }

    std::map<std::string, std::vector<double>> credits_by_route;
};

} // namespace azureshore::balance::detail
