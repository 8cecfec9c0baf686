#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <array>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace azureshore::daemon::detail {

// A caller's request that waits for its final word.
struct pending_call {
    service_id service;
    time_point began;
};

// The requests that wait, in shards by number, each under a lock of its own.
class pending_calls {
public:
    void add(request_number number, pending_call call)
    {
        auto& holder = this->part_of(number);
        const std::lock_guard hold(holder.lock);
        holder.calls.emplace(number, std::move(call));
    }

    // Takes a request out; each is given once.
    std::optional<pending_call> take(request_number number)
    {
        auto& holder = this->part_of(number);
        const std::lock_guard hold(holder.lock);
        auto found = holder.calls.extract(number);
        if (found.empty()) {
            return std::nullopt;
        }
        return std::move(found.mapped());
    }

private:
    static constexpr std::size_t part_count = 16;

    struct part {
        std::mutex lock;
        std::unordered_map<request_number, pending_call> calls;
    };

    part& part_of(request_number number) { return this->parts[number.value % part_count]; }

    std::array<part, part_count> parts;
};

} // namespace azureshore::daemon::detail
