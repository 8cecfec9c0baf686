#pragma once

#include "azureshore/core/time.hpp"

#include <cstddef>
#include <deque>

namespace azureshore::balance {

// Counts the events of the most recent window of time.
class sliding_window_counter {
public:
    explicit sliding_window_counter(duration length) : window(length) {}

    // Events that a shorter window has dropped are not counted again.
    void set_window(duration length) { this->window = length; }

    void add(time_point now) { this->events.push_back(now); }

    std::size_t count(time_point now)
    {
        while (!this->events.empty() && now - this->events.front() >= this->window) {
            this->events.pop_front();
        }
        return this->events.size();
    }

private:
    duration window;
    std::deque<time_point> events;
};

} // namespace azureshore::balance
