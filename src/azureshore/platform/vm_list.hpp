#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"

#include <string>
#include <vector>

namespace azureshore::platform {

enum class vm_state { live, leaving };

// One line of the platform's list of VMs. The list lags behind reality, both ways.
struct vm_entry {
    vm_id name;
    data_centre_id data_centre;
    // The service that a backend server's VM runs; empty for an entry VM of this system.
    service_id service;
    // Where an entry VM takes inner messages, or where a backend server takes requests.
    address where;
    vm_state state = vm_state::live;

    bool operator==(const vm_entry&) const = default;
};

} // namespace azureshore::platform
