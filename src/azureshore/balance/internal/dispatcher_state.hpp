#pragma once

#include "azureshore/balance/dispatcher.hpp"
#include "azureshore/balance/internal/backend_book.hpp"
#include "azureshore/balance/internal/split_choice.hpp"
#include "azureshore/balance/internal/suspects.hpp"
#include "azureshore/balance/internal/work_estimate.hpp"
#include "azureshore/balance/probe_allowance.hpp"
#include "azureshore/balance/retry_allowance.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace azureshore::balance {

// A backend server that a search has found, with the probe that keeps a connection to it.
struct found_backend {
    backend_id backend;
    // None where the choice was made without asking.
    std::optional<probe_number> probe;
    double cost = 1;
    // Backend servers that were asked until this one was found.
    std::size_t asked = 1;
    // Whether one request more would have to wait there.
    bool full = false;
    // When its probe was answered.
    time_point read_at;
};

// The search of one request for a backend server.
struct backend_search {
    std::set<backend_id> asked;
    std::size_t pending = 0;
    std::optional<found_backend> best;
    // Tells the timers of this search from those of an earlier one.
    std::uint64_t generation = 0;
    // Whether it looks for a second backend server while an attempt runs.
    bool second = false;
    // Made for a request that waited for room.
    bool waited = false;
};

struct running_attempt {
    request_number request;
    backend_id backend;
    time_point sent;
    double cost = 1;
};

// A request between its arrival and its final answer.
struct live_request {
    incoming_request in;
    std::shared_ptr<const traffic_configuration> version;
    const route* on = nullptr;
    service_id service;
    // When the operators or the caller give it up, whichever is first.
    time_point deadline;
    std::uint32_t attempts = 0;
    std::set<attempt_number> running;
    std::set<backend_id> tried;
    bool may_have_run = false;
    std::optional<backend_search> search;
    // In the service's queue, with no search under way.
    bool queued = false;
    // A failure that the backend server itself answered, delivered if nothing better comes.
    std::optional<attempt_number> fallback;
    std::optional<duration> queue_time;
    // How long the backend server took for the answer that came last.
    std::optional<duration> backend_time;
};

class dispatcher::state {
public:
    // Requests are counted over this time.
    static constexpr duration rate_window = std::chrono::seconds(2);

    state(data_centre_id self, shared_bounds shared, dispatcher_hooks actions);

    bool configure(std::shared_ptr<const traffic_configuration> next);
    void backends_listed();
    void set_bounds(const shared_bounds& shared);
    void begin(const incoming_request& request);
    void caller_gone(request_number request);
    void probe_ended(probe_number probe, const std::optional<probe_result>& reading);
    void attempt_ended(attempt_number attempt, const attempt_result& result);

    [[nodiscard]] double request_rate();

    detail::backend_book book;
    std::function<double()> total_rate;
    detail::suspects suspected;
    dispatcher_hooks hooks;
    std::shared_ptr<const traffic_configuration> current;
    std::size_t daemons = 1;
    dispatcher_counts counted;
    std::unordered_map<request_number, live_request> requests;
    // Requests that came before this daemon knew enough to serve.
    std::map<request_number, incoming_request> held;

private:
    struct sent_probe {
        request_number request;
        backend_id backend;
        std::uint64_t generation = 0;
    };
    // The requests of one service that wait for room.
    struct service_state {
        explicit service_state(const shared_bounds& shared)
            : allowance(shared.retry_ratio, shared.retry_slack, shared.retry_window)
        {
        }
        retry_allowance allowance;
        probe_allowance probes;
        std::vector<request_number> queue;
        bool timer_set = false;
    };

    [[nodiscard]] time_point now() const { return this->hooks.clock(); }
    live_request* find(request_number request);
    service_state& service(const service_id& name);
    detail::work_estimate& work(const live_request& of);
    [[nodiscard]] const service_traits& traits(const live_request& of) const;

    // Before this daemon knows enough to serve.
    [[nodiscard]] bool knows_enough() const { return this->current && this->listed; }
    void hold(const incoming_request& request);
    void begin_held();
    void take_in(const incoming_request& request);

    // Search.
    void start_search(live_request& of, bool second, bool waited = false);
    void ask_next(live_request& of);
    double probe_rate(const service_id& name);
    void choose_unasked(live_request& of, const std::vector<detail::known_backend*>& candidates);
    void release(const found_backend& found);
    void take_reading(live_request& of, const sent_probe& asked, probe_number probe,
                      const probe_result& reading);
    void decide(live_request& of);
    void drop_search(live_request& of);
    [[nodiscard]] bool worth_waiting(const live_request& of, double cost);

    // Queue.
    void wait_for_room(live_request& of);
    void set_queue_timer(const service_id& name);
    void serve_queue(const service_id& name);
    [[nodiscard]] bool goes_before(const live_request& left, const live_request& right);
    void leave_queue(live_request& of);

    // Attempts.
    void send(live_request& of, const found_backend& to);
    void set_second_send_timer(const live_request& of, attempt_number attempt, duration wait,
                               bool last);
    void consider_second_send(request_number request, attempt_number attempt, bool last);
    void answered(live_request& of, attempt_number attempt, const running_attempt& ended,
                  const attempt_result& result);
    void try_again(live_request& of);
    bool may_try_again(live_request& of);

    // Ends.
    void deadline_passed(request_number request);
    void deliver(live_request& of, attempt_number attempt);
    void measure(const live_request& of, std::string_view outcome,
                 std::optional<duration> backend_time);
    refusal without_answer(const live_request& of);
    void refuse(live_request& of, refusal why);
    void refuse_new(const incoming_request& request, refusal why);
    void end(live_request& of);
    void log(std::string_view event, const live_request& of,
             std::vector<observe::decision_field> fields);
    [[nodiscard]] duration room_expected(const live_request& of);

    bool listed = false;
    window_count arrivals{rate_window};
    shared_bounds bounds;
    detail::split_choice split;
    std::map<service_id, service_state> services;
    std::map<std::string, detail::work_estimate> works;
    std::unordered_map<probe_number, sent_probe> probes;
    std::unordered_map<attempt_number, running_attempt> attempts;
    std::uint64_t last_probe = 0;
    std::uint64_t last_attempt = 0;
    std::uint64_t last_generation = 0;
};

} // namespace azureshore::balance
