#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/net/http_server.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::standin {

// Runs a function after a delay, on any thread.
using delay_function = std::function<void(duration, std::function<void()>)>;

// Holds an answer back for that long.
net::responder held_back(net::responder respond, duration delay, const delay_function& after);

// Calls at a rate, with a second's worth saved.
class call_rate {
public:
    explicit call_rate(double a_second);

    // Takes a call if the rate allows it.
    bool take(time_point now);

private:
    double per_second;
    double tokens;
    std::optional<time_point> filled;
};

// A read that waits for records.
struct waiting_read {
    std::uint64_t id = 0;
    // The stream or topic.
    std::string name;
    std::uint64_t from = 0;
    net::responder respond;
};

// The reads that wait; not safe between threads.
class waiting_reads {
public:
    // Returns the read's id.
    std::uint64_t add(const std::string& name, std::uint64_t from, net::responder respond);

    // Takes out one read, if it still waits.
    std::optional<waiting_read> take(std::uint64_t id);

    // Takes out all reads of that name.
    std::vector<waiting_read> take_all(const std::string& name);

    // Takes out all reads.
    std::vector<waiting_read> take_all();

private:
    std::list<waiting_read> all;
    std::uint64_t last = 0;
};

} // namespace azureshore::standin
