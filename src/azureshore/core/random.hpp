#pragma once

#include <cstdint>
#include <functional>

namespace azureshore {

// A source of uniformly distributed 64-bit numbers; tests pass one with a fixed seed.
using random_source = std::function<std::uint64_t()>;

// A number in [0, 1).
double uniform(const random_source& random);

// An index below `count`, which must not be zero.
std::size_t uniform_index(const random_source& random, std::size_t count);

// A source seeded by the operating system.
random_source system_random();

// A source that always gives the same numbers for the same seed.
random_source seeded_random(std::uint64_t seed);

} // namespace azureshore
