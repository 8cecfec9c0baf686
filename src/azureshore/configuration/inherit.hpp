#pragma once

#include "azureshore/configuration/effective.hpp"
#include "azureshore/configuration/tree.hpp"
#include "azureshore/core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace azureshore::configuration {

// The sum of all names and values in bytes.
std::size_t size_of(const tree& settings);

// The branches that one service in one data centre inherits from, furthest first. A key takes its
// value from the last branch that has it:
//   defaults, regions.R, data_centres.D, services.S, services.S.regions.R,
//   services.S.data_centres.D
std::vector<wire::setting_path> inheritance(const cell_id& cell, const region_id& region);

// Applies inheritance to a tree that `check` finds no fault with.
std::shared_ptr<const effective_configuration> make_effective(const tree& settings,
                                                              std::uint64_t revision);

// Applies inheritance again after the keys of `changed` took new values; services without a
// change keep their part of `previous`.
std::shared_ptr<const effective_configuration>
remake_effective(const effective_configuration& previous, const tree& settings,
                 std::uint64_t revision, const std::vector<wire::setting_path>& changed);

// Where one value comes from.
struct explained_value {
    std::string key;
    wire::setting_value value;
    // The branch that sets it; empty for the built-in default.
    wire::setting_path branch;

    bool operator==(const explained_value&) const = default;
};

// Every value of one service in one data centre with the branch that it comes from, "runs" first.
std::vector<explained_value> explain(const tree& settings, const cell_id& cell);

} // namespace azureshore::configuration
