#include "azureshore/routing/internal/pool_setup.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::routing::detail {

namespace {

using configuration::effective_configuration;

bool in_service(const effective_configuration& configuration, const data_centre_id& name)
{
    const auto found = configuration.data_centres.find(name);
    return found == configuration.data_centres.end() || found->second.in_service;
}

// Orders the candidates: VMs of the pool's region first, VMs out of service last.
std::vector<vm_id> leaders_of_pool(const pool_id& pool,
                                   const effective_configuration& configuration,
                                   const membership::member_view& view)
{
    const cell_id cell{pool.service, {pool.region.value}};
    auto names = membership::leaders_of(cell, view, view.members.size());
    std::map<vm_id, int> ranks;
    for (const auto& member : view.members) {
        const bool out_of_service = configuration.vms_out.contains(member.name) ||
                                    !in_service(configuration, member.data_centre);
        const bool other_region = region_of(configuration, member.data_centre) != pool.region;
        ranks[member.name] = (out_of_service ? 2 : 0) + (other_region ? 1 : 0);
    }
    std::stable_sort(names.begin(), names.end(), [&ranks](const auto& left, const auto& right) {
        return ranks[left] < ranks[right];
    });
    return names;
}

// Returns all VMs that may be alive. VMs that are suspected dead but still listed count as well:
// otherwise a VM that is partitioned from all others would reach a quorum on its own.
std::vector<vm_id> voters_of(const vm_id& self, const membership::member_view& view)
{
    std::vector<vm_id> voters{self};
    for (const auto& member : view.members) {
        if (member.name != self) {
            voters.push_back(member.name);
        }
    }
    voters.insert(voters.end(), view.listed_dead.begin(), view.listed_dead.end());
    return voters;
}

void add_limits(pool_setup& setup, const configuration::service_limits& limits, bool is_first)
{
    setup.probes_per_second = is_first
                                  ? limits.probes_per_second
                                  : std::min(setup.probes_per_second, limits.probes_per_second);
    setup.outlier_share = std::max(setup.outlier_share, limits.outlier_share);
    setup.max_run_time = std::max(setup.max_run_time, limits.deadline);
}

} // namespace

region_id region_of(const effective_configuration& configuration, const data_centre_id& data_centre)
{
    const auto found = configuration.data_centres.find(data_centre);
    return found == configuration.data_centres.end() ? region_id{} : found->second.region;
}

pool_map make_pools(const service_id& service, const vm_id& self,
                    const effective_configuration& configuration,
                    const membership::member_view& view)
{
    pool_map pools;
    const auto found = configuration.services.find(service);
    if (found == configuration.services.end()) {
        return pools;
    }
    const auto& cells = found->second->cells;
    for (const auto& [data_centre, limits] : cells) {
        const auto region = region_of(configuration, data_centre);
        const auto [place, added] = pools.try_emplace(region);
        add_limits(place->second.setup, limits, added);
    }
    for (const auto& server : view.backends) {
        const auto limits = cells.find(server.data_centre);
        if (server.service != service || limits == cells.end()) {
            continue;
        }
        auto& pool = pools[region_of(configuration, server.data_centre)];
        const bool out_of_service = !in_service(configuration, server.data_centre) ||
                                    configuration.vms_out.contains(vm_id{server.name.value});
        pool.in_service = pool.in_service || (!out_of_service && !server.leaving);
        pool.setup.backends.push_back(
            {server, {limits->second.slots, limits->second.cold_window}, out_of_service});
    }
    for (auto& [region, pool] : pools) {
        pool.leaders = leaders_of_pool({service, region}, configuration, view);
        pool.setup.voters = voters_of(self, view);
        pool.setup.first_in_order = !pool.leaders.empty() && pool.leaders.front() == self;
        // The pools share the service's probe rate equally.
        pool.setup.probes_per_second /= static_cast<double>(pools.size());
    }
    return pools;
}

} // namespace azureshore::routing::detail
