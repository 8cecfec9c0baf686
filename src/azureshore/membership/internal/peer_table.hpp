#pragma once

#include "azureshore/core/random.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/membership/internal/random_set.hpp"
#include "azureshore/membership/view.hpp"
#include "azureshore/platform/vm_list.hpp"
#include "azureshore/wire/membership_messages.hpp"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace azureshore::membership::detail {

enum class peer_liveness { live, suspected, dead };

// What is known about one other VM.
struct peer_record {
    member details;
    peer_liveness liveness = peer_liveness::live;
    // Zero until a heartbeat or a rumour gives the incarnation.
    std::uint64_t incarnation = 0;
    bool announced_leaving = false;
    bool listed = false;
    bool listed_leaving = false;
    // The VM sent an incarnation lower than the one known here, so the next heartbeat to it must
    // tell it the higher one.
    bool sent_outdated_incarnation = false;
    // When a suspected VM is declared dead, or when the record of a dead and unlisted VM is
    // removed.
    time_point deadline = time_point::max();
};

// How a rumour changed the table.
enum class update_effect {
    none,
    // Only the incarnation of the VM increased.
    incarnation_raised,
    // The VM is new, live again, or has another state or endpoint.
    updated,
    suspected,
    // The rumour has a lower incarnation than the table.
    outdated,
};

// The records of the other VMs, indexed by name, by position on a hash ring, and by deadline.
class peer_table {
public:
    explicit peer_table(const vm_id& this_vm);

    // Applies the platform's list of VMs: adds entry VMs that are new, and never removes one.
    // Returns whether the content of the view changed.
    bool update_list(time_point now, duration dead_retention,
                     const std::vector<platform::vm_entry>& entries);

    // Applies what a VM states about itself, or what another VM states about it.
    update_effect apply(const wire::rumour& rumour, time_point suspicion_deadline);

    // Marks a live VM as suspected. Returns false if it is unknown, suspected or dead.
    bool suspect(const vm_id& name, time_point suspicion_deadline);

    // Marks VMs as dead whose suspicion has expired, and returns them.
    std::vector<vm_id> expire_suspicions(time_point now, duration dead_retention);

    // Removes dead and unlisted VMs whose retention has expired. Requires a prior call of
    // expire_suspicions at the same time.
    void remove_expired(time_point now);

    // Moves all deadlines later by `span`.
    void extend_deadlines(duration span);

    [[nodiscard]] time_point next_deadline() const;

    [[nodiscard]] const peer_record* find(const vm_id& name) const;
    void set_sent_outdated_incarnation(const vm_id& name, bool value);

    // Returns the rumour that describes a VM. A dead VM is described as suspected.
    [[nodiscard]] static wire::rumour to_rumour(const peer_record& peer);

    // Returns a VM that follows this VM on the hash ring: the next one for `index` 0, the one after
    // it for 1, and so on around the ring. Null if the ring has no other VMs.
    [[nodiscard]] const vm_id* successor(std::size_t index) const;

    // Live and suspected VMs.
    [[nodiscard]] const random_set& not_dead() const { return this->not_dead_names; }
    // Dead VMs that the platform still lists.
    [[nodiscard]] const random_set& listed_dead() const { return this->listed_dead_names; }
    [[nodiscard]] const std::map<vm_id, peer_record>& all() const { return this->records; }

private:
    using ring_position = std::pair<std::uint64_t, vm_id>;

    bool mark_listed(const platform::vm_entry& entry);
    // Returns whether the VM is dead, in which case it is also removed from `listed_dead`.
    bool mark_unlisted(time_point now, duration dead_retention, peer_record& peer);
    void insert(peer_record peer);
    void set_liveness(peer_record& peer, peer_liveness next, time_point deadline);
    void set_deadline(peer_record& peer, time_point deadline);
    update_effect apply_live(peer_record& peer, const wire::rumour& rumour);
    update_effect apply_suspicion(peer_record& peer, const wire::rumour& rumour,
                                  time_point suspicion_deadline);

    ring_position own_position;
    std::map<vm_id, peer_record> records;
    std::set<ring_position> ring;
    random_set not_dead_names;
    random_set listed_dead_names;
    std::set<std::pair<time_point, vm_id>> deadlines;
};

} // namespace azureshore::membership::detail
