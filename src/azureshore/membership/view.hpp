#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace azureshore::membership {

enum class member_state { live, leaving };

// One entry VM that is believed to run.
struct member {
    vm_id name;
    data_centre_id data_centre;
    address endpoint;
    member_state state = member_state::live;

    bool operator==(const member&) const = default;
};

// One backend server as the list of VMs shows it.
struct backend_server {
    backend_id name;
    service_id service;
    data_centre_id data_centre;
    address endpoint;
    // A leaving backend server gets no new work and finishes what it has.
    bool leaving = false;

    bool operator==(const backend_server&) const = default;
};

// What one VM believes about all others at one moment; never changed once made.
struct member_view {
    // Grows with each change on this VM; two VMs' numbers say nothing of each other.
    std::uint64_t version = 0;
    // Sorted by name, this VM included.
    std::vector<member> members;
    // VMs that the platform lists and that are believed dead, sorted; some may be alive.
    std::vector<vm_id> listed_dead;
    // Sorted by name.
    std::vector<backend_server> backends;
};

using view_pointer = std::shared_ptr<const member_view>;

// The members that may lead `cell`, best first, by rendezvous hash: live ones in the cell's data
// centre first, then the other live ones.
std::vector<vm_id> leader_candidates(const cell_id& cell, const member_view& view,
                                     std::size_t count);

} // namespace azureshore::membership
