#include "load_kinds.hpp"

namespace azureshore::bench {

using namespace std::chrono_literals;

double load_deployment::capacity() const
{
    double rate = 0;
    double work = 0;
    for (const auto& each : this->kinds) {
        rate += each.rate;
        work += each.rate * std::chrono::duration<double>(each.work).count();
    }
    return static_cast<double>(this->servers * fast_slots) * rate / work;
}

load_deployment planning()
{
    return {"P",
            108,
            24,
            {{"filing", false, 165, 170ms, 500ms, 3000ms, 1500ms, 4.9, 0.19, 0},
             {"lookup", true, 561, 250ms, 600ms, 5000ms, 2500ms, 0.85, 0.085, 1},
             {"receipt", false, 198, 320ms, 1500ms, 6000ms, 3000ms, 0.85, 0.13, 2}}};
}

load_deployment scooters()
{
    return {"S",
            155,
            40,
            {{"audit", true, 117, 65ms, 200ms, 1200ms, 600ms, 2, 0.2, 1},
             {"unlock", false, 159, 210ms, 600ms, 4000ms, 2000ms, 2, 0.2, 1},
             {"check", true, 345, 160ms, 500ms, 2500ms, 1250ms, 1, 0.1, 2},
             {"archive", true, 117, 400ms, 1200ms, 5000ms, 2500ms, 1, 0.1, 2}}};
}

balance::traffic_configuration configuration_of(const load_deployment& deployment)
{
    balance::traffic_configuration configuration;
    configuration.version = 1;
    for (const auto& each : deployment.kinds) {
        balance::route created;
        created.name = each.name;
        created.host = "plates.example";
        created.path_prefix = '/' + each.name + '/';
        created.idempotent = each.idempotent;
        created.services = {{{"service"}, 1}};
        created.timeout = each.route_timeout;
        created.target_latency = each.target;
        created.priority = each.priority;
        created.max_attempts = 2;
        configuration.routes.push_back(created);
    }
    balance::service_traits traits;
    traits.name = {"service"};
    traits.health_path = "/health";
    traits.cold_rate = 7;
    traits.cold_period = 3s;
    configuration.services.push_back(traits);
    return configuration;
}

} // namespace azureshore::bench
