#pragma once

#include "azureshore/core/time.hpp"

#include <cstdint>
#include <unordered_map>

namespace azureshore::balance::detail {

// Tracks requests during which a backend server's process ended. The second such crash blocks the
// request for a while, since retries would carry it from server to server.
class crash_tracker {
public:
    void record_crash(time_point now, std::uint64_t fingerprint)
    {
        if (this->entries.size() >= max_entries) {
            std::erase_if(this->entries,
                          [&](const auto& each) { return now - each.second.last > retention; });
        }
        auto& crashes = this->entries[fingerprint];
        crashes.count = now - crashes.last > retention ? 1 : crashes.count + 1;
        crashes.last = now;
    }

    // Called when the request got an answer, which shows that it is harmless.
    void clear(std::uint64_t fingerprint) { this->entries.erase(fingerprint); }

    [[nodiscard]] bool is_blocked(time_point now, std::uint64_t fingerprint) const
    {
        const auto found = this->entries.find(fingerprint);
        return found != this->entries.end() && found->second.count >= crash_limit &&
               now - found->second.last <= retention;
    }

private:
    static constexpr std::uint32_t crash_limit = 2;
    static constexpr duration retention = std::chrono::seconds(60);
    // From this size on, entries past their retention are removed, to limit the size of the table
    // when many connections are lost at once.
    static constexpr std::size_t max_entries = 4096;

    struct entry {
        std::uint32_t count = 0;
        time_point last{};
    };
    std::unordered_map<std::uint64_t, entry> entries;
};

} // namespace azureshore::balance::detail
