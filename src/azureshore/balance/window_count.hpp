#pragma once

#include "azureshore/core/time.hpp"

#include <cstddef>
#include <deque>

namespace azureshore::balance {

// Counts events of the last span of time.
class window_count {
public:
    explicit window_count(duration window) : span(window) {}

    void add(time_point now) { this->events.push_back(now); }

    std::size_t count(time_point now)
    {
        while (!this->events.empty() && now - this->events.front() >= this->span) {
            this->events.pop_front();
        }
        return this->events.size();
    }

private:
    duration span;
    std::deque<time_point> events;
};

} // namespace azureshore::balance
