#pragma once

#include "azureshore/configuration/fold.hpp"
#include "azureshorectl/commands/environment.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::ctl {

// A tree as an operator keeps it in a file.
struct tree_file {
    configuration::tree settings;
    // The revision named by the file's first line, as `config get` writes it.
    std::optional<std::uint64_t> revision;
};

// The first line of a file that `config get` writes.
std::string revision_line(std::uint64_t revision);

// Reads and checks a file; prints each problem to `world.err`.
absl::StatusOr<tree_file> read_tree_file(environment& world, const std::string& path);

// What a file changes.
struct file_change {
    std::uint64_t base = 0;
    std::vector<wire::setting_edit> edits;
};

// Compares a file with the tree that its author saw: of --base, else of the revision in the file,
// else the one in force. Fails with failure::revision_conflict when that tree is forgotten.
absl::StatusOr<file_change> compare(const options& given, const tree_file& file,
                                    const configuration::folded_state& state);

} // namespace azureshore::ctl
