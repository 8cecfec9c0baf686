#pragma once

#include "azureshore/balance/sliding_window_counter.hpp"

#include <algorithm>

namespace azureshore::balance {

// Limits this daemon's sends beyond the first of each request. For one service and any window of
// time, all daemons together may make a number of such sends that is a ratio of the requests plus a
// fixed number. Each daemon may use the ratio of its own requests plus an even part of the fixed
// number. The split needs no messages between the daemons, and a daemon cut off from the others
// cannot exceed its part. One that restarts has forgotten what it sent before: it uses no fixed
// part until that lies further back than the window.
class retry_budget {
public:
    retry_budget(double retry_ratio, double fixed_retries, duration window)
        : ratio(retry_ratio), slack(fixed_retries), requests(window), retries(window)
    {
    }

    // The fixed part is not used before this time.
    void set_slack_from(time_point begin) { this->slack_from = begin; }

    void set_bounds(double retry_ratio, double fixed_retries, duration window)
    {
        this->ratio = retry_ratio;
        this->slack = fixed_retries;
        this->requests.set_window(window);
        this->retries.set_window(window);
    }

    void add_request(time_point now) { this->requests.add(now); }

    [[nodiscard]] bool allows(time_point now, std::size_t daemons)
    {
        const double own_slack =
            now < this->slack_from
                ? 0
                : this->slack / static_cast<double>(std::max<std::size_t>(daemons, 1));
        const double max_retries =
            safety_factor *
            (own_slack + this->ratio * static_cast<double>(this->requests.count(now)));
        return static_cast<double>(this->retries.count(now) + 1) <= max_retries;
    }

    void add_retry(time_point now) { this->retries.add(now); }

private:
    // The windows of the daemons and of an observer do not start at the same moment, so a daemon
    // uses only this share of its part.
    static constexpr double safety_factor = 0.85;

    double ratio;
    double slack;
    time_point slack_from = time_point::min();
    sliding_window_counter requests;
    sliding_window_counter retries;
};

} // namespace azureshore::balance
