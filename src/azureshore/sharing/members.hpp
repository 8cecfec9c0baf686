#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/wire/sharing_messages.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace azureshore::sharing {

// The daemons of the deployment that one of them knows, the rank order in which they take over
// tasks that one daemon does on behalf of all, and the trees along which they forward messages.
//
// Each data centre has two trees with different orders, so that a daemon whose parent in one of
// them has died still gets a message through the other one.
class members {
public:
    explicit members(wire::member_entry own_entry);

    // Takes over an entry if it is newer than what is known of that daemon. Returns whether it was.
    // An entry that declares this daemon itself gone is contradicted by a higher incarnation.
    bool merge(time_point now, const wire::member_entry& entry);

    // Declares a daemon gone. Returns its new entry, or nothing if it was not known or gone
    // already.
    std::optional<wire::member_entry> declare_gone(time_point now, const vm_id& name);

    // Declares that this daemon is leaving.
    void leave();

    // States that no other daemon runs, as the store has shown. Holds until another one is known.
    void confirm_alone();
    [[nodiscard]] bool confirmed_alone() const { return this->alone; }

    // Forgets the daemons that have been gone since before a time.
    void forget_gone(time_point gone_before);

    [[nodiscard]] const wire::member_entry& self() const { return this->own_entry; }

    // Returns this daemon's rank, counted from zero, among those that may read the store for all.
    // Daemons that are leaving rank after all others: while one of the others runs, they do nothing
    // on behalf of all, but they still serve, so that somebody has to read when all are leaving.
    [[nodiscard]] std::size_t rank() const;
    [[nodiscard]] std::size_t rank_of(const vm_id& name) const;

    // Returns the number of daemons that are not leaving, including this one.
    [[nodiscard]] std::size_t serving_count() const { return this->orders().serving_count; }

    // Returns the number of daemons that are not gone, including this one. Those that are leaving
    // count, as they still send requests.
    [[nodiscard]] std::size_t running_count() const { return this->orders().by_rank.size(); }

    // Returns this daemon's share, between 0 and 1, of a limit that the first `count` running
    // daemons in the task's own rank order share equally. A daemon that is leaving keeps its share
    // until it is gone, as it still sends requests.
    [[nodiscard]] double share_of(const std::string& task, std::size_t count) const;

    // Returns the first `count` serving daemons in the task's own rank order, or the first running
    // ones if none is serving.
    [[nodiscard]] std::vector<vm_id> first_of(const std::string& task, std::size_t count) const;

    // Returns the other daemons that are not gone.
    [[nodiscard]] std::vector<wire::member_entry> others() const;
    // Returns the names of the daemons that were declared gone and are not forgotten yet.
    [[nodiscard]] std::vector<vm_id> gone() const;
    [[nodiscard]] std::optional<wire::member_entry> find(const vm_id& name) const;
    // Returns the last entry of a daemon, also if it is gone.
    [[nodiscard]] std::optional<wire::member_entry> last_entry(const vm_id& name) const;
    // Returns whether a daemon is known and not gone.
    [[nodiscard]] bool contains(const vm_id& name) const;

    // Returns the daemons to which this one forwards messages, over both trees.
    [[nodiscard]] std::vector<wire::member_entry> children() const;
    // Returns the children in the first tree alone, over which daemons report to their parents.
    [[nodiscard]] std::vector<wire::member_entry> reporting_children() const;
    // Returns this daemon's parent in the first tree, or nothing if it is a root.
    [[nodiscard]] std::optional<wire::member_entry> parent() const;
    // Returns the roots of both trees of every data centre, except this daemon.
    [[nodiscard]] std::vector<wire::member_entry> roots() const;
    // Returns the roots of the first trees alone, except this daemon.
    [[nodiscard]] std::vector<wire::member_entry> reporting_roots() const;

    // Returns a hash of all daemons that are not gone. Daemons with equal views get the same hash.
    [[nodiscard]] std::uint64_t digest() const;
    // Returns such a hash for each bucket of daemons, and the entries of one bucket, including
    // those of daemons that are gone.
    [[nodiscard]] std::vector<std::uint64_t> bucket_digests() const;
    [[nodiscard]] std::vector<wire::member_entry> bucket(std::size_t index) const;

private:
    static constexpr std::size_t tree_count = 2;

    struct known_member {
        wire::member_entry entry;
        time_point changed_at{};
    };
    // The names of a data centre's daemons in the order of one tree, the root first.
    using tree_order = std::vector<vm_id>;

    // What follows from the entries. Computed when it is needed after a change.
    struct ranked_daemon {
        bool leaving = false;
        std::uint64_t weight = 0;
        vm_id name;

        auto operator<=>(const ranked_daemon&) const = default;
    };
    struct derived_orders {
        // The running daemons, the first-ranked one first.
        std::vector<ranked_daemon> by_rank;
        std::size_t serving_count = 0;
        std::array<std::map<data_centre_id, tree_order>, tree_count> trees;
        // This daemon's place in the trees of its data centre.
        std::array<std::size_t, tree_count> own_place{};
        std::vector<std::uint64_t> bucket_digests;
        std::map<std::pair<std::string, std::size_t>, double> shares;
    };

    [[nodiscard]] derived_orders& orders() const;
    [[nodiscard]] derived_orders compute_orders() const;
    [[nodiscard]] std::vector<wire::member_entry> children_in(std::size_t tree) const;
    [[nodiscard]] std::vector<wire::member_entry> roots_of(std::size_t tree) const;
    void add_entry(std::vector<wire::member_entry>& entries, const vm_id& name) const;

    wire::member_entry own_entry;
    // All daemons but this one, including those that are gone.
    std::map<vm_id, known_member> known;
    bool alone = false;
    mutable std::optional<derived_orders> cached_orders;
};

} // namespace azureshore::sharing
