#pragma once

#include "azureshore/configuration/effective.hpp"
#include "azureshore/membership/view.hpp"
#include "azureshore/routing/internal/pool_leader.hpp"

#include <map>
#include <vector>

namespace azureshore::routing::detail {

// One pool of a service as derived from the configuration and the member list.
struct pool_description {
    pool_setup setup;
    // The candidates for leadership in order of preference.
    std::vector<vm_id> leaders;
    // Whether at least one backend server of the pool is in service.
    bool in_service = false;
};

using pool_map = std::map<region_id, pool_description>;

// Returns the region of a data centre, or an empty name if the configuration does not list it.
region_id region_of(const configuration::effective_configuration& configuration,
                    const data_centre_id& data_centre);

// Returns the pools of a service, one for each region.
pool_map make_pools(const service_id& service, const vm_id& self,
                    const configuration::effective_configuration& configuration,
                    const membership::member_view& view);

} // namespace azureshore::routing::detail
