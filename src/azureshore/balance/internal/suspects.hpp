#pragma once

#include "azureshore/core/time.hpp"

#include <cstdint>
#include <unordered_map>

namespace azureshore::balance::detail {

// Requests under which backend servers' processes ended. The second such end condemns the request
// for a while: sent again, it would go on from server to server.
class suspects {
public:
    void lost(time_point now, std::uint64_t fingerprint)
    {
        if (this->seen.size() >= most) {
            std::erase_if(this->seen,
                          [&](const auto& each) { return now - each.second.last > memory; });
        }
        auto& of = this->seen[fingerprint];
        of.count = now - of.last > memory ? 1 : of.count + 1;
        of.last = now;
    }

    // An answer shows that the request is harmless.
    void cleared(std::uint64_t fingerprint) { this->seen.erase(fingerprint); }

    [[nodiscard]] bool condemned(time_point now, std::uint64_t fingerprint) const
    {
        const auto found = this->seen.find(fingerprint);
        return found != this->seen.end() && found->second.count >= limit &&
               now - found->second.last <= memory;
    }

private:
    static constexpr std::uint32_t limit = 2;
    static constexpr duration memory = std::chrono::seconds(60);
    // Bounds the table under a storm of lost connections.
    static constexpr std::size_t most = 4096;

    struct entry {
        std::uint32_t count = 0;
        time_point last{};
    };
    std::unordered_map<std::uint64_t, entry> seen;
};

} // namespace azureshore::balance::detail
