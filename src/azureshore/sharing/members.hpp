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

// The daemons of the deployment as one of them knows them, and the order in which they take over
// tasks that one does for all.
class members {
public:
    members(vm_id own, data_centre_id here);

    // A daemon was heard of, or from; returns whether anything changed.
    bool heard(time_point now, const wire::member_entry& of);

    // Another daemon's view: what it lacks has not been heard of there.
    bool adopt(time_point now, const std::vector<wire::member_entry>& view);

    // Drops daemons that have been silent since then; returns whether there were any.
    bool drop_silent(time_point since);

    // This daemon's place among those that may read for all, counted from zero.
    [[nodiscard]] std::size_t rank() const;
    [[nodiscard]] std::size_t rank_of(const vm_id& name) const;

    // The same among the daemons of its own data centre.
    [[nodiscard]] std::size_t local_rank() const;

    // The daemons to tell something: those of the own data centre, and of each other one the first,
    // which passes it on.
    [[nodiscard]] std::vector<wire::member_entry> neighbours() const;
    [[nodiscard]] std::vector<wire::member_entry> first_elsewhere() const;

    // Whether a daemon is in the own data centre.
    [[nodiscard]] bool local(const vm_id& name) const;

    // Daemons that serve, this one included.
    [[nodiscard]] std::size_t serving_count() const;

    // This daemon's part of a task shared by the first `count` daemons in the task's own order.
    [[nodiscard]] double share_of(const std::string& task, std::size_t count) const;

    [[nodiscard]] std::vector<wire::member_entry> others() const;
    [[nodiscard]] std::optional<address> find(const vm_id& name) const;
    [[nodiscard]] bool knows(const vm_id& name) const { return this->all.contains(name); }

    // The same for equal views, whoever holds them.
    [[nodiscard]] std::uint64_t digest() const;

private:
    struct entry {
        address where;
        data_centre_id data_centre;
        bool leaving = false;
        time_point heard_at;
    };

    vm_id self;
    data_centre_id data_centre;
    std::map<vm_id, entry> all;
};

} // namespace azureshore::sharing
