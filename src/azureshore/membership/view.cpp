#include "azureshore/membership/view.hpp"

#include "azureshore/core/hash.hpp"

#include <algorithm>
#include <tuple>

namespace azureshore::membership {

namespace {

struct candidate {
    bool remote = false;
    std::uint64_t weight = 0;
    const vm_id* name = nullptr;
};

bool ranks_before(const candidate& left, const candidate& right)
{
    return std::tie(left.remote, right.weight, *left.name) <
           std::tie(right.remote, left.weight, *right.name);
}

} // namespace

std::vector<vm_id> leader_candidates(const cell_id& cell, const member_view& view,
                                     std::size_t count)
{
    const auto cell_hash = stable_hash(cell.service.value, stable_hash(cell.data_centre.value));
    std::vector<candidate> candidates;
    for (const auto& each : view.members) {
        if (each.state != member_state::live) {
            continue;
        }
        const bool remote = each.data_centre != cell.data_centre;
        candidates.push_back({remote, stable_hash(each.name.value, cell_hash), &each.name});
    }
    std::sort(candidates.begin(), candidates.end(), ranks_before);
    candidates.resize(std::min(count, candidates.size()));
    std::vector<vm_id> names;
    names.reserve(candidates.size());
    for (const auto& each : candidates) {
        names.push_back(*each.name);
    }
    return names;
}

} // namespace azureshore::membership
