#pragma once

#include "azureshore/core/time.hpp"

#include <functional>
#include <optional>
#include <utility>

namespace azureshore::node::detail {

// Decides when a shard's next timer is needed. A timer that was set for an earlier time is left
// to fire; it then finds nothing due and a later one is set.
class tick_timer {
public:
    // The delay of a timer to set now, when the one already set comes too late for `due`.
    std::optional<duration> plan(time_point now, time_point due)
    {
        if (due == time_point::max() || (this->armed && *this->armed <= due)) {
            return std::nullopt;
        }
        this->armed = due;
        return due > now ? due - now : duration::zero();
    }

    // A timer fired; only the earliest one set counts.
    void fired(time_point now)
    {
        if (this->armed && *this->armed <= now) {
            this->armed.reset();
        }
    }

private:
    std::optional<time_point> armed;
};

} // namespace azureshore::node::detail
