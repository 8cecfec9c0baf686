#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace azureshore::membership {

enum class member_state { live, leaving };

// An entry VM that is believed to be running.
struct member {
    vm_id name;
    data_centre_id data_centre;
    address endpoint;
    member_state state = member_state::live;

    bool operator==(const member&) const = default;
};

// A backend server as the platform's list of VMs shows it.
struct backend_server {
    backend_id name;
    service_id service;
    data_centre_id data_centre;
    address endpoint;
    // A leaving backend server gets no new requests and finishes those it has.
    bool leaving = false;

    bool operator==(const backend_server&) const = default;
};

// An immutable snapshot of what one VM believes about all VMs.
struct member_view {
    // Increases with each change on this VM. Versions of different VMs are not comparable.
    std::uint64_t version = 0;
    // Sorted by name, this VM included.
    std::vector<member> members;
    // VMs that the platform lists but that are believed dead, sorted by name. Some may be live.
    std::vector<vm_id> listed_dead;
    // Sorted by name.
    std::vector<backend_server> backends;
};

using view_pointer = std::shared_ptr<const member_view>;

// Returns up to `count` members that may lead `cell`, best candidate first. Live members in the
// cell's data centre come before other live members; within each group rendezvous hashing decides.
std::vector<vm_id> leader_candidates(const cell_id& cell, const member_view& view,
                                     std::size_t count);

} // namespace azureshore::membership
