#pragma once

#include "azureshore/balance/traffic_configuration.hpp"
#include "azureshore/core/random.hpp"

#include <map>
#include <vector>

namespace azureshore::balance::detail {

// Chooses the service of each request of a weighted route by smooth weighted round robin: over any
// run of requests each part gets its share, within one request.
class split_choice {
public:
    const service_id& next(const route& of, const random_source& random)
    {
        if (of.services.size() == 1) {
            return of.services.front().service;
        }
        auto& credits = this->by_route[of.name];
        if (credits.size() != of.services.size()) {
            credits = first_credits(of, random);
        }
        double total = 0;
        std::size_t best = 0;
        for (std::size_t i = 0; i < credits.size(); ++i) {
            credits[i] += of.services[i].weight;
            total += of.services[i].weight;
            if (credits[i] > credits[best]) {
                best = i;
            }
        }
        credits[best] -= total;
        return of.services[best].service;
    }

    // Forgets what routes had; their weights may have changed.
    void reset() { this->by_route.clear(); }

private:
    // Daemons begin at different places, so that they don't all favour one part at first.
    static std::vector<double> first_credits(const route& of, const random_source& random)
    {
        std::vector<double> credits;
        credits.reserve(of.services.size());
        for (const auto& each : of.services) {
            credits.push_back(uniform(random) * each.weight);
        }
        return credits;
    }

    std::map<std::string, std::vector<double>> by_route;
};

} // namespace azureshore::balance::detail
