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

// Where the table's actions go. Hooks must not call back into the table.
struct member_hooks {
    // Sends to a VM, which may be one that is in no view: see member_table::address_of.
    std::function<void(const vm_id& to, const wire::message&)> send;
    // The view changed.
    std::function<void(view_pointer)> view_changed;
    observe::decision_hook log;
};

// Knows which entry VMs live: the platform's list, corrected by heartbeats with a few neighbours.
// Has no threads, sockets or clock of its own.
class member_table {
public:
    member_table(member self, random_source random, member_hooks hooks,
                 const member_options& options = {});
    ~member_table();
    member_table(const member_table&) = delete;
    member_table& operator=(const member_table&) = delete;
    member_table(member_table&&) = delete;
    member_table& operator=(member_table&&) = delete;

    // Takes the platform's list; it lags and is never the only witness.
    void update_list(time_point now, const std::vector<platform::vm_entry>& entries);

    // Takes a membership message.
    void receive(time_point now, const vm_id& from, const wire::message& body);

    // Tells the others that this VM is about to stop.
    void leave(time_point now);

    // The revision of the configuration in force here, told to neighbours.
    void set_revision(std::uint64_t revision);

    void tick(time_point now);
    [[nodiscard]] time_point next_tick() const;

    [[nodiscard]] view_pointer view() const;

    // Where a VM listens, also one that is believed dead: such a VM is still probed now and then,
    // so that both sides of a healed partition find each other.
    [[nodiscard]] std::optional<address> address_of(const vm_id& name) const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::membership
