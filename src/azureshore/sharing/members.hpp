#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/wire/sharing_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace azureshore::sharing {

// The daemons of the deployment that one of them knows, and the rank order in which they take over
// tasks that one daemon does on behalf of all.
class members {
public:
    members(vm_id own_name, data_centre_id own_data_centre);

    // Records that a daemon was heard from, directly or through another one. Returns whether it is
    // new or its address or leaving state has changed.
    bool record_member(time_point now, const wire::member_entry& member);

    // Replaces the known daemons by another daemon's view and removes those that the view lacks.
    // Returns whether anything changed.
    bool replace_with(time_point now, const std::vector<wire::member_entry>& view);

    // Removes the daemons that were last heard from before a time. Returns whether there were any.
    bool remove_silent(time_point heard_before);

    // Returns this daemon's rank, counted from zero, among those that may read the store for all.
    [[nodiscard]] std::size_t rank() const;
    [[nodiscard]] std::size_t rank_of(const vm_id& name) const;

    // Returns this daemon's rank among the daemons of its own data centre.
    [[nodiscard]] std::size_t local_rank() const;

    // Returns the other daemons in this daemon's data centre.
    [[nodiscard]] std::vector<wire::member_entry> local_members() const;

    // Returns the best-ranked daemon of every data centre but this daemon's. Each of them forwards
    // messages to the other daemons in its data centre.
    [[nodiscard]] std::vector<wire::member_entry> remote_relays() const;

    // Returns whether a daemon is known and in the same data centre as this one.
    [[nodiscard]] bool is_local(const vm_id& name) const;

    // Returns the number of daemons that are not leaving, including this one.
    [[nodiscard]] std::size_t serving_count() const;

    // Returns this daemon's share, between 0 and 1, of a task that the first `count` daemons in the
    // task's own rank order share equally.
    [[nodiscard]] double share_of(const std::string& task, std::size_t count) const;

    [[nodiscard]] std::vector<wire::member_entry> others() const;
    [[nodiscard]] std::optional<address> find(const vm_id& name) const;
    [[nodiscard]] bool contains(const vm_id& name) const { return this->known.contains(name); }

    // Returns a hash of all daemons, including this one, and of which are leaving. Daemons with
    // equal views get the same hash.
    [[nodiscard]] std::uint64_t digest() const;

private:
    struct entry {
        address where;
        data_centre_id data_centre;
        bool leaving = false;
        time_point heard_at;
    };

    vm_id self_name;
    data_centre_id data_centre;
    // All daemons but this one.
    std::map<vm_id, entry> known;
};

} // namespace azureshore::sharing
