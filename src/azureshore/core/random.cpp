#include "azureshore/core/random.hpp"

#include <memory>
#include <random>

namespace azureshore {

double uniform(const random_source& random)
{
    constexpr int mantissa_bits = 53;
    constexpr double scale = 1.0 / static_cast<double>(1ULL << mantissa_bits);
    return static_cast<double>(random() >> (64 - mantissa_bits)) * scale;
}

std::size_t uniform_index(const random_source& random, std::size_t count)
{
    return static_cast<std::size_t>(random() % count);
}

random_source system_random()
{
    std::random_device device;
    const auto high = static_cast<std::uint64_t>(device()) << 32U;
    return seeded_random(high | device());
}

random_source seeded_random(std::uint64_t seed)
{
    auto engine = std::make_shared<std::mt19937_64>(seed);
    return [engine] {
        return (*engine)();
    };
}

} // namespace azureshore
