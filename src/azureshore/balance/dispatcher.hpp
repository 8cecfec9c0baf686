#pragma once

#include "azureshore/balance/dispatch_types.hpp"

#include <memory>
#include <set>

namespace azureshore::balance {

// What an operator sees of the dispatcher.
struct dispatcher_counts {
    std::uint64_t requests = 0;
    std::uint64_t probes = 0;
    std::uint64_t attempts = 0;
    std::uint64_t second_sends = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
};

// Decides which backend server gets each request, when it is sent again, and its final answer.
//
// Before a request is sent, candidates are probed one after the other until one has a free slot
// and is not slowed down: a probe takes a fraction of the time that a wrong choice costs, and its
// answer is as old as its way back. All calls come from one thread.
class dispatcher {
public:
    dispatcher(data_centre_id self, shared_bounds bounds, dispatcher_hooks hooks);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    dispatcher(dispatcher&&) = delete;
    dispatcher& operator=(dispatcher&&) = delete;

    // Takes a configuration; an older one than that in force is left out. Returns whether it was
    // taken.
    bool configure(std::shared_ptr<const traffic_configuration> next);

    [[nodiscard]] std::shared_ptr<const traffic_configuration> configuration() const;

    // All registered backend servers are known; until then, requests wait for a moment.
    void backends_listed();

    void backend_changed(const registration& now_known);
    void backend_removed(const backend_id& id);

    // The data centres to whose backend servers nothing is sent.
    void set_out_of_service(std::set<data_centre_id> data_centres);

    // Takes other bounds from now on.
    void set_bounds(const shared_bounds& bounds);

    // How many daemons share the bounds, and this one's part, from 0 to 1, of the requests that a
    // cold backend server bears.
    void set_fleet(std::size_t daemons, std::function<double(const backend_id&)> cold_part);

    // How to learn the requests a second that all daemons get together; zero if unknown.
    void set_total_rate_source(std::function<double()> total);

    // Requests a second that this daemon got lately.
    [[nodiscard]] double request_rate() const;

    // Another daemon saw a backend server's process end under a request of that fingerprint.
    void suspect(std::uint64_t fingerprint);

    void begin(const incoming_request& request);
    void caller_gone(request_number request);
    // Nothing when no answer came.
    void probe_ended(probe_number probe, const std::optional<probe_result>& reading);
    void attempt_ended(attempt_number attempt, const attempt_result& result);

    // Requests without a final answer.
    [[nodiscard]] std::size_t in_flight() const;
    [[nodiscard]] dispatcher_counts counts() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::balance
