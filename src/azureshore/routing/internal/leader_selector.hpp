#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <map>
#include <vector>

namespace azureshore::routing::detail {

// Selects the VM to ask as a pool's leader: the first candidate in the shared order that is not
// suspected of being unavailable.
class leader_selector {
public:
    void set_order(std::vector<vm_id> candidates);

    // Records that a message arrived from a VM.
    void record_contact(time_point now, const vm_id& vm);
    [[nodiscard]] time_point last_contact(const vm_id& vm) const;

    // Skips a VM for `suspicion_duration` because it does not answer or reports that it does not
    // lead.
    void suspect(time_point now, const vm_id& leader);

    // Returns the VM to ask, or an empty name if there is no candidate. If all candidates are
    // suspected, returns the first.
    [[nodiscard]] vm_id current(time_point now) const;

    [[nodiscard]] const std::vector<vm_id>& order() const { return this->candidates; }

private:
    std::vector<vm_id> candidates;
    std::map<vm_id, time_point> contacted_at;
    std::map<vm_id, time_point> suspected_until;
};

} // namespace azureshore::routing::detail
