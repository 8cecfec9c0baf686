#pragma once

#include "azureshore/balance/backend_server.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::balance {

// A sum whose terms lose half of their weight in a given time.
class decaying_sum {
public:
    explicit decaying_sum(duration half) : half_life(half) {}

    void add(time_point now, double amount);
    [[nodiscard]] double value(time_point now) const;

private:
    duration half_life;
    double sum = 0;
    time_point at;
};

// The properties of a request by which it is compared with others that wait for the same service.
struct waiting_request {
    request_number number;
    // Returned by overload_policy::arrived.
    std::size_t kind = 0;
    // Zero is the most urgent.
    std::uint32_t priority = 0;
    // The expected response time at an idle backend server.
    duration work{};
    time_point arrived;
    // When an answer is due to be worth all that it can be.
    time_point target_at;
    // When the request ends without an answer.
    time_point deadline;
};

// Decides which requests for one service are delayed or refused when it has too little capacity.
// It only compares and counts; the dispatcher acts on what it returns. Requests of the same route
// and priority are of one kind.
class overload_policy {
public:
    // No kind is taken less often than this share of how often all requests together are served,
    // and one that is served less often goes first. With the repeated attempts of callers, each
    // kind is served at least a quarter as often as all requests together.
    static constexpr double min_served_share = 0.15;
    // An answer after the target latency is worth this share of one in time.
    static constexpr double late_worth_share = 0.1;

    // Counts an arrived request with its expected response time at an idle backend server, and
    // returns its kind.
    std::size_t arrived(time_point now, std::string_view route, std::uint32_t priority,
                        duration work);

    // Returns when the caller of an arrived request probably made its first attempt, from the time
    // that it still waits: after a refusal it waits less than other callers of this kind. Callers
    // that wait less than half as long as others are not taken for returning ones.
    time_point first_attempt_at(time_point now, std::size_t kind, duration caller_timeout);

    // Whether an arrived request is taken. While requests wait for long, those that are worth less
    // for their work are taken only in part, so that all daemons together take what the backend
    // servers can serve.
    bool admits(time_point now, const waiting_request& request);

    // Whether a waiting request may take a backend server that then slows down. This is for the
    // most urgent requests, while they are a minor part of the work.
    [[nodiscard]] bool may_crowd(time_point now, const waiting_request& request) const;

    // Counts the first send of a request.
    void started(time_point now, std::size_t kind, bool from_queue);

    // Records how long a request was in the queue that was sent, or that was refused after it had
    // waited. Zero for one that did not wait.
    void add_wait(time_point now, const waiting_request& request, duration wait);

    // The share of the arriving requests of a kind that are taken; at least 1 without a shortage.
    [[nodiscard]] double taken_share(time_point now, std::size_t kind) const;

    // To be called when requests begin to wait, and when none waits any longer.
    void set_waiting(time_point now, bool any_waiting);

    // Whether requests waited in the last seconds.
    [[nodiscard]] bool waited_lately(time_point now) const;

    // Determines the kinds that go first because they were served too seldom. Holds until the next
    // call.
    void update_order(time_point now);

    // Whether a request is started before another one. The order is only consistent between calls
    // with the same time.
    [[nodiscard]] bool goes_before(time_point now, const waiting_request& left,
                                   const waiting_request& right) const;

    // The worth of an answer to a request that is started now, relative to one of priority zero in
    // time, for each second of work.
    [[nodiscard]] static double worth_rate(time_point now, const waiting_request& request);

    // Whether a request is expected to end before its deadline if it is started now at a backend
    // server with this cost, which is 1 for an idle one.
    [[nodiscard]] static bool can_end(time_point now, const waiting_request& request, double cost);

    // Returns the time until a request is started that has this number of others ahead of it, or
    // nothing before the queue was observed for long enough.
    [[nodiscard]] std::optional<duration> expected_wait(time_point now, std::size_t ahead) const;

    // Whether a request that has this number of others ahead of it will not be started before its
    // deadline, or under a shortage before its target latency.
    [[nodiscard]] bool is_hopeless(time_point now, const waiting_request& request,
                                   std::size_t ahead) const;

    // Returns when a refused request should come back: when capacity is expected for those that
    // wait, with random jitter.
    [[nodiscard]] duration retry_after(time_point now, duration work, std::size_t waiting,
                                       const random_source& random) const;

    // Records the response time of an answered request, relative to that of an idle backend server,
    // and whether the backend server was crowded when the request was sent.
    void add_response(double relative_time, bool crowded);

    // Whether one more request would take a backend server beyond the share of its slots at which
    // it slows down. Never true for fewer than five slots.
    [[nodiscard]] static bool is_crowded(const load_report& load);

    // Whether such backend servers were measured to serve less in all than uncrowded ones.
    [[nodiscard]] bool crowding_costs_capacity(std::size_t slots) const;

private:
    // Above 1, so that a few waiting requests don't cause refusals.
    static constexpr double max_level = 1.5;

    struct kind_counts {
        std::string route;
        std::uint32_t priority = 0;
        decaying_sum arrived;
        decaying_sum started;
        duration work{};
        // The longest time that callers waited, in the current and in the last period.
        duration longest_timeout{};
        duration last_longest_timeout{};
        time_point timeout_period_at{};
        // Part of a request that is still to be taken.
        double credit = 0;
        // The share that is taken, at the time of its last change.
        double level = max_level;
        time_point level_at{};
        bool goes_first = false;
    };

    [[nodiscard]] bool has_lesser_taken(time_point now, std::size_t kind) const;
    [[nodiscard]] double served_share(time_point now, const kind_counts& kind) const;
    [[nodiscard]] double busy_seconds(time_point now) const;
    // Whether requests wait, or waited until a moment ago.
    [[nodiscard]] bool is_short(time_point now) const;

    std::vector<kind_counts> kinds;
    decaying_sum all_arrived{std::chrono::seconds(5)};
    decaying_sum all_started{std::chrono::seconds(5)};
    // Sends from the queue, and the seconds during which requests waited.
    decaying_sum queue_starts{std::chrono::seconds(2)};
    decaying_sum queue_seconds{std::chrono::seconds(2)};
    std::optional<time_point> waiting_since;
    // When a request that had waited was last sent or refused.
    std::optional<time_point> waited_at;
    double crowded_time = 1.7;
};

} // namespace azureshore::balance
