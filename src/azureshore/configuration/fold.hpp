#pragma once

#include "azureshore/configuration/effective.hpp"
#include "azureshore/configuration/problem.hpp"
#include "azureshore/configuration/tree.hpp"
#include "azureshore/wire/configuration_record.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::configuration {

// What the fold made of one record.
enum class verdict {
    // The change is in the tree.
    accepted,
    // A change of the same id was judged before; nothing happens a second time.
    repeated,
    // The change touches what others changed after its base, or no longer fits the tree.
    conflict,
    // The base is so old that conflicts with it are forgotten.
    base_forgotten,
    // The base is a revision that never was.
    base_unknown,
    // The tree with this change would have problems.
    tree_invalid,
    // A snapshot, or a record that a peer passed on with no bytes because it changes nothing.
    no_effect,
    malformed,
    from_future,
    oversized,
};

std::string_view to_string(verdict made);

// One record's verdict with its reasons.
struct fold_outcome {
    verdict made = verdict::no_effect;
    // Set for changes.
    std::string change_id;
    std::string author;
    // Keys that the change asked for and others changed after its base.
    std::vector<wire::setting_path> conflicts;
    // Accepted changes after the base of a change in conflict.
    std::vector<wire::accepted_change> meanwhile;
    std::vector<problem> problems;
    // Set for a snapshot: the first offset that it does not cover.
    std::optional<std::uint64_t> snapshot_next;
};

// Accepted changes that are kept to find conflicts and repeated ids.
inline constexpr std::size_t max_recent_changes = 512;
inline constexpr std::size_t max_recent_bytes = 128UL * 1024UL;

// The tree after all records below one offset. The same records give the same state on every VM,
// so nothing here may depend on time, chance or the order in which records became known.
class folded_state {
public:
    // The state before the first record.
    folded_state();

    // Takes a snapshot's state; fails with failure::record_malformed when it is not a valid one.
    static absl::StatusOr<folded_state> from_snapshot(const wire::configuration_snapshot& taken);

    // Folds the record at `next_offset()`.
    fold_outcome apply(std::string_view bytes);

    // The offset of the next record to fold.
    [[nodiscard]] std::uint64_t next_offset() const { return this->next; }

    // One more than the offset of the last accepted change; zero before the first.
    [[nodiscard]] std::uint64_t revision() const { return this->last_accepted; }

    [[nodiscard]] const tree& settings() const { return this->keys; }
    [[nodiscard]] const std::vector<wire::accepted_change>& recent() const { return this->changes; }

    // Ids of the last changes that were refused.
    [[nodiscard]] const std::vector<std::string>& refused() const { return this->refused_ids; }

    // The tree as it was at a revision; fails with failure::revision_conflict when forgotten.
    [[nodiscard]] absl::StatusOr<tree> settings_at(std::uint64_t revision) const;

    // Inheritance applied; null before the first accepted change.
    [[nodiscard]] std::shared_ptr<const effective_configuration> effective() const
    {
        return this->inherited;
    }

    [[nodiscard]] wire::configuration_snapshot snapshot() const;

private:
    fold_outcome apply_change(std::uint64_t offset, const wire::configuration_change& change);
    fold_outcome judge(std::uint64_t offset, const wire::configuration_change& change);
    [[nodiscard]] bool was_judged(const std::string& id) const;
    [[nodiscard]] verdict judge_base(const wire::configuration_change& change) const;
    [[nodiscard]] std::vector<wire::accepted_change> accepted_after(std::uint64_t base) const;
    [[nodiscard]] std::vector<wire::setting_path>
    conflicts_of(const wire::configuration_change& change) const;
    void accept(std::uint64_t offset, const wire::configuration_change& change, tree changed);
    void forget_old_changes();

    std::uint64_t next = 0;
    std::uint64_t last_accepted = 0;
    std::uint64_t oldest_base = 0;
    tree keys;
    std::vector<wire::accepted_change> changes;
    std::size_t change_bytes = 0;
    std::vector<std::string> refused_ids;
    std::shared_ptr<const effective_configuration> inherited;
};

// The edits that lead from one tree to another, in path order.
std::vector<wire::setting_edit> difference(const tree& from, const tree& to);

// Makes the edits on a tree.
void apply_edits(tree& settings, const std::vector<wire::setting_edit>& edits);

} // namespace azureshore::configuration
