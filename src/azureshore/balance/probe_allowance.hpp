#pragma once

#include "azureshore/core/time.hpp"

#include <algorithm>

namespace azureshore::balance {

// This daemon's part of the probes that the backend servers of a service get, which is bounded on
// average: what quiet times leave is there for bursts.
class probe_allowance {
public:
    // Takes one probe if it is there, at a rate of so many a second.
    bool take(time_point now, double a_second)
    {
        const auto most = a_second * std::chrono::duration<double>(saved).count();
        if (!this->begun) {
            this->begun = true;
            this->left = most / 2;
        }
        else {
            const std::chrono::duration<double> passed = now - this->filled;
            this->left = std::min(this->left + passed.count() * a_second, most);
        }
        this->filled = now;
        if (this->left < 1) {
            return false;
        }
        this->left -= 1;
        return true;
    }

private:
    // So much of a quiet time is saved for a burst.
    static constexpr duration saved = std::chrono::seconds(12);

    double left = 0;
    time_point filled{};
    bool begun = false;
};

} // namespace azureshore::balance
