#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/membership/member_options.hpp"
#include "azureshore/membership/view.hpp"
#include "azureshore/observe/decision.hpp"
#include "azureshore/platform/vm_list.hpp"
#include "azureshore/wire/message.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace azureshore::membership {

// Callbacks of a member_table. They must not call back into the table.
struct member_hooks {
    // Sends a message to a VM. The VM may be absent from the view; member_table::address_of gives
    // its endpoint.
    std::function<void(const vm_id& to, const wire::message&)> send;
    // Called with each new view.
    std::function<void(view_pointer)> view_changed;
    observe::decision_hook log;
};

// Tracks which entry VMs are live. It starts from the platform's list of VMs and corrects it by
// probing other VMs and by gossip. It has no threads, sockets or clock of its own.
class member_table {
public:
    member_table(member self, random_source random, member_hooks hooks,
                 const member_options& options = {});
    ~member_table();
    member_table(const member_table&) = delete;
    member_table& operator=(const member_table&) = delete;
    member_table(member_table&&) = delete;
    member_table& operator=(member_table&&) = delete;

    // Applies the platform's list of VMs. The list lags: a VM that is missing from it stays a
    // member until its probes fail, and a listed VM may be dead.
    void update_list(time_point now, const std::vector<platform::vm_entry>& entries);

    // Handles a heartbeat; other messages are ignored.
    void receive(time_point now, const vm_id& from, const wire::message& body);

    // Announces to other VMs that this VM is about to stop.
    void leave(time_point now);

    // Sets the revision of the configuration in force on this VM, which heartbeats carry.
    void set_revision(std::uint64_t revision);

    void tick(time_point now);
    [[nodiscard]] time_point next_tick() const;

    [[nodiscard]] view_pointer view() const;

    // Returns the endpoint of a VM, or nothing if the VM is unknown. VMs that are believed dead are
    // included: they are still probed now and then, so that both sides of a healed partition find
    // each other.
    [[nodiscard]] std::optional<address> address_of(const vm_id& name) const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::membership
