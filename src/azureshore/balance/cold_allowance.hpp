#pragma once

#include "azureshore/core/time.hpp"

#include <algorithm>

namespace azureshore::balance {

// The requests that one daemon may send to one cold backend server: a rate, and one at once.
class cold_allowance {
public:
    // Takes one request's worth if it is there.
    bool take(time_point now, double a_second)
    {
        if (!this->ready(now, a_second)) {
            return false;
        }
        this->last = now;
        this->used = true;
        return true;
    }

    [[nodiscard]] bool ready(time_point now, double a_second) const
    {
        if (a_second <= 0) {
            return false;
        }
        const std::chrono::duration<double> apart(1 / a_second);
        return !this->used || now - this->last >= apart;
    }

private:
    time_point last{};
    bool used = false;
};

} // namespace azureshore::balance
