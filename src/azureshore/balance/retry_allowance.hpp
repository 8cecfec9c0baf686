#pragma once

#include "azureshore/balance/window_count.hpp"

#include <algorithm>

namespace azureshore::balance {

// This daemon's part of the sends beyond the first that all daemons may make to one service in
// any window of time: its own requests earn their share, and the fixed number is divided evenly.
// Dividing needs no message, and a daemon that is cut off can't exceed its part.
class retry_allowance {
public:
    retry_allowance(double share, double fixed, duration window)
        : ratio(share), slack(fixed), requests(window), sends(window)
    {
    }

    void set_bounds(double share, double fixed)
    {
        this->ratio = share;
        this->slack = fixed;
    }

    void request(time_point now) { this->requests.add(now); }

    [[nodiscard]] bool allows(time_point now, std::size_t daemons)
    {
        const double part = this->slack / static_cast<double>(std::max<std::size_t>(daemons, 1));
        const double most =
            safety * (part + this->ratio * static_cast<double>(this->requests.count(now)));
        return static_cast<double>(this->sends.count(now) + 1) <= most;
    }

    void sent(time_point now) { this->sends.add(now); }

private:
    // Windows of the daemons and of an observer do not begin at the same moment.
    static constexpr double safety = 0.85;

    double ratio;
    double slack;
    window_count requests;
    window_count sends;
};

} // namespace azureshore::balance
