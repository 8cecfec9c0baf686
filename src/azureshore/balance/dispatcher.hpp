#pragma once

#include "azureshore/balance/dispatch_types.hpp"
#include "azureshore/balance/version_filter.hpp"

#include <memory>
#include <set>

namespace azureshore::balance {

// Counters of the dispatcher for the metrics.
struct dispatcher_counts {
    std::uint64_t requests = 0;
    std::uint64_t probes = 0;
    std::uint64_t attempts = 0;
    std::uint64_t second_sends = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    // Requests refused for lack of capacity: before they waited, while they waited because others
    // were worth more, and after they had waited as long as they could.
    std::uint64_t refused_on_arrival = 0;
    std::uint64_t displaced = 0;
    std::uint64_t waited_in_vain = 0;
};

// Decides which backend server gets each request, when a request is sent again, and how it ends.
//
// Before a request is sent, candidates are probed one after the other until one has a free slot
// and is not slowed down. A probe takes a fraction of the time that a wrong choice costs, and its
// answer is only as old as the network delay on the way back. All calls must come from one thread.
class dispatcher {
public:
    dispatcher(data_centre_id self, shared_bounds bounds, dispatcher_hooks hooks);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    dispatcher(dispatcher&&) = delete;
    dispatcher& operator=(dispatcher&&) = delete;

    // Applies a configuration unless its version is not newer than the current one. Returns whether
    // it was applied.
    bool configure(std::shared_ptr<const traffic_configuration> next);

    [[nodiscard]] std::shared_ptr<const traffic_configuration> configuration() const;

    // To be called when all registered backend servers are known. Earlier requests are held for a
    // short time.
    void backends_listed();

    void backend_changed(const registration& updated);
    void backend_removed(const backend_id& id);

    // Sets the data centres to whose backend servers no requests are sent.
    void set_out_of_service(std::set<data_centre_id> data_centres);

    // Sets which versions of a service's backend servers get requests, or removes the rule.
    void set_version_rule(const service_id& service, const version_rule& rule);
    void remove_version_rule(const service_id& service);

    // Sets the function that is called with the end of each attempt at a service with such a rule.
    void set_observer(std::function<void(const attempt_observation&)> observer);

    // Returns how many backend servers of a service are in service, by version.
    [[nodiscard]] version_counts count_versions(const service_id& service,
                                                const std::string& target) const;

    // Replaces the bounds.
    void set_bounds(const shared_bounds& bounds);

    // States that an earlier process of this daemon may have made second sends until now, which
    // count in the bounds for as long as their window lasts.
    void set_restarted();

    // Sets the number of daemons that share the bounds, and the function that returns this daemon's
    // share, from 0 to 1, of the request rate of a cold backend server.
    void set_fleet(std::size_t daemons, std::function<double(const backend_id&)> cold_rate_share);

    // Sets the function that returns the requests per second of all daemons together, or zero if
    // unknown.
    void set_total_rate_source(std::function<double()> total);

    // Sets the functions that ask for one request of an account's quota and that give it back; see
    // dispatcher_hooks.
    void set_quota_source(
        std::function<void(const account_id&, std::function<void(const quota_answer&)>)> take,
        std::function<void(const account_id&, time_point granted_at)> give_back);

    // Sets the function that returns whether the configuration is known to be the latest. If it may
    // not be, a request without a route is told to come back instead of that there is none. Without
    // the function, the configuration counts as the latest.
    void set_configuration_check(std::function<bool()> is_latest);

    // Returns the requests per second that this daemon received lately.
    [[nodiscard]] double request_rate() const;

    // Records that another daemon saw a backend server's process end while it ran a request with
    // this fingerprint.
    void suspect(std::uint64_t fingerprint);

    void begin(const incoming_request& request);
    void caller_gone(request_number request);
    // Takes the result of a probe, or nothing if no answer came.
    void probe_ended(probe_number probe, const std::optional<probe_result>& result);
    void attempt_ended(attempt_number attempt, const attempt_result& result);

    // Begins a planned stop. A request that may still run when it ends is refused from now on
    // instead of being sent, so that its caller can turn to another daemon.
    void begin_stop(const planned_stop& plan);
    // Gives every request its final answer, since the daemon ends now.
    void end_stop();

    // Returns the number of requests without a final answer.
    [[nodiscard]] std::size_t in_flight() const;
    [[nodiscard]] dispatcher_counts counts() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::balance
