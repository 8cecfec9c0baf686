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

// Puts VMs of the pool's region first and VMs that operators took out last.
std::vector<vm_id> leaders_of_pool(const pool_id& pool,
                                   const effective_configuration& configuration,
                                   const membership::member_view& view)
{
    const cell_id cell{pool.service, {pool.region.value}};
    auto names = membership::leader_candidates(cell, view, view.members.size());
    std::map<vm_id, int> ranks;
    for (const auto& member : view.members) {
        const bool out = configuration.vms_out.contains(member.name) ||
                         !in_service(configuration, member.data_centre);
        const bool far = region_of(configuration, member.data_centre) != pool.region;
        ranks[member.name] = (out ? 2 : 0) + (far ? 1 : 0);
    }
    std::stable_sort(names.begin(), names.end(), [&ranks](const auto& left, const auto& right) {
        return ranks[left] < ranks[right];
    });
    return names;
}

// All VMs that may be alive: were those believed dead left out, a VM that is cut off from all
// others would take itself for the whole system and need nobody's support.
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

void add_limits(pool_setup& setup, const configuration::service_limits& limits, bool first)
{
    setup.probes_per_second = first ? limits.probes_per_second
                                    : std::min(setup.probes_per_second, limits.probes_per_second);
    setup.outlier_share = std::max(setup.outlier_share, limits.outlier_share);
    setup.longest_run = std::max(setup.longest_run, limits.deadline);
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
        const bool out = !in_service(configuration, server.data_centre) ||
                         configuration.vms_out.contains(vm_id{server.name.value});
        pool.in_service = pool.in_service || (!out && !server.leaving);
        pool.setup.backends.push_back(
            {server, {limits->second.slots, limits->second.cold_window}, out});
    }
    for (auto& [region, pool] : pools) {
        pool.leaders = leaders_of_pool({service, region}, configuration, view);
        pool.setup.voters = voters_of(self, view);
        pool.setup.first_in_order = !pool.leaders.empty() && pool.leaders.front() == self;
        // The pools share the service's bucket.
        pool.setup.probes_per_second /= static_cast<double>(pools.size());
    }
    return pools;
}

} // namespace azureshore::routing::detail
