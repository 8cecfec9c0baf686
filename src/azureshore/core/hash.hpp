#pragma once

#include <cstdint>
#include <string_view>

namespace azureshore {

// A hash that is the same on every VM and in every release.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace azureshore
