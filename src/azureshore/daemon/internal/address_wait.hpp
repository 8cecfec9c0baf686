#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/time.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::daemon::detail {

enum class transport_protocol { tcp, udp };

// An address that a daemon listens on, with the settings key that names it.
struct listen_address {
    std::string key;
    address where;
    transport_protocol protocol = transport_protocol::tcp;
};

// Waits until all addresses can be bound, since a process that stops may still hold them: its
// requests in flight end first. Calls `pause` between two tries, which returns false to end the
// wait, and `waiting` once for each address that is taken. Returns whether all can be bound. Throws
// std::runtime_error, which names the key, the address and the cause, when an address is still
// taken after `limit`, or at once when it can't be bound for another cause.
bool wait_for_addresses(const std::vector<listen_address>& all, duration limit,
                        const std::function<bool()>& pause,
                        const std::function<void(const listen_address&)>& waiting);

} // namespace azureshore::daemon::detail
