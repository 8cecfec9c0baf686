#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"

#include <cstdint>
#include <vector>

namespace azureshore::wire {

// What is said of a VM. There is no word for dead: each VM waits out a suspicion of its own.
enum class vm_condition : std::uint8_t { live, leaving, suspected };

// What the sender believes of one VM. A VM refutes a suspicion by a higher incarnation, which it
// alone may choose.
struct rumour {
    vm_id subject;
    std::uint64_t incarnation = 0;
    vm_condition condition = vm_condition::live;
    // Empty in a suspicion.
    data_centre_id data_centre;
    address where;

    bool operator==(const rumour&) const = default;
};

enum class heartbeat_purpose : std::uint8_t {
    // Asks the receiver to answer.
    probe,
    // Asks the receiver to probe `subject` for the sender.
    relay,
    // Says that `subject` answered the probe of `origin`.
    answer,
};

// Tells a neighbour that the sender lives, and what it has heard of others.
struct heartbeat {
    // The sender's own, as are leaving, data_centre and where.
    std::uint64_t incarnation = 0;
    bool leaving = false;
    // The revision of the configuration in force on the sender.
    std::uint64_t revision = 0;
    heartbeat_purpose purpose = heartbeat_purpose::probe;
    // Numbers the probes of `origin`.
    std::uint64_t sequence = 0;
    vm_id origin{};
    vm_id subject{};
    data_centre_id data_centre{};
    address where{};
    std::vector<rumour> rumours{};

    bool operator==(const heartbeat&) const = default;
};

} // namespace azureshore::wire
