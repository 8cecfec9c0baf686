#pragma once

#include "support/routing_cluster.hpp"

namespace azureshore::bench {

// Two backend servers at random, the one whose last reported load was lower.
fakes::routing_strategy make_power_of_two(const vm_id& self, const data_centre_id& here,
                                          const service_id& service, const random_source& random,
                                          const routing::router_hooks& hooks);

// Each VM has a few backend servers of its own and takes the one on which it runs least.
fakes::routing_strategy make_fixed_subset(const vm_id& self, const data_centre_id& here,
                                          const service_id& service, const random_source& random,
                                          const routing::router_hooks& hooks);

} // namespace azureshore::bench
