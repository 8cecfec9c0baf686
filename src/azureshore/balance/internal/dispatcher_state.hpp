#pragma once

#include "azureshore/balance/account_directory.hpp"
#include "azureshore/balance/dispatcher.hpp"
#include "azureshore/balance/internal/backend_table.hpp"
#include "azureshore/balance/internal/crash_tracker.hpp"
#include "azureshore/balance/internal/response_time_estimate.hpp"
#include "azureshore/balance/internal/weighted_round_robin.hpp"
#include "azureshore/balance/overload_policy.hpp"
#include "azureshore/balance/probe_token_bucket.hpp"
#include "azureshore/balance/retry_budget.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace azureshore::balance {

// A backend server chosen by a search, with the probe whose connection can be reused.
struct backend_choice {
    backend_id backend;
    // Empty if the choice was made from a reported load, without a probe.
    std::optional<probe_number> probe;
    double cost = 1;
    // Number of backend servers that had been probed when this one was chosen.
    std::size_t probed_count = 1;
    // Whether another request would have to wait there.
    bool full = false;
    // Whether the backend server has so few free slots that it slows down.
    bool crowded = false;
    // When the load behind the choice was received.
    time_point measured_at;
};

// The search for a backend server for one request.
struct backend_search {
    std::set<backend_id> probed;
    std::size_t pending_probes = 0;
    std::optional<backend_choice> best;
    // Distinguishes the timers of this search from those of an earlier one.
    std::uint64_t generation = 0;
    // Whether the search is for a send beyond the first.
    bool for_second_send = false;
    // Whether the request was taken from the queue.
    bool from_queue = false;
};

struct running_attempt {
    request_number request;
    backend_id backend;
    time_point sent_at;
    double cost = 1;
    bool crowded = false;
    // Of the backend server when the request was sent.
    std::string version;
    bool cold = false;
};

// A request between its arrival and its final answer.
struct in_flight_request {
    incoming_request incoming;
    std::shared_ptr<const traffic_configuration> configuration;
    const route* matched_route = nullptr;
    service_id service;
    // The estimate of its route and service.
    detail::response_time_estimate* response_time = nullptr;
    // The client account, if the request has one.
    std::optional<account_id> account;
    // The account whose quota the request has taken from, and when.
    std::optional<account_id> charged_account;
    time_point charged_at;
    // That of the account, or else that of the route. Zero is the most urgent.
    std::uint32_t priority = 0;
    // When its caller probably made its first attempt.
    time_point first_attempt_at;
    // Its kind in the overload policy of the service.
    std::size_t kind = 0;
    // The timeout of the route or of the caller, whichever is first.
    time_point deadline;
    std::uint32_t attempts = 0;
    std::set<attempt_number> running_attempts;
    std::set<backend_id> tried_backends;
    // Whether an attempt that has ended ran the request, or may have.
    bool may_have_run = false;
    std::optional<backend_search> search;
    // Whether its next send is to go to the target version of a roll-out and is taken from the
    // allowance, and whether a search for such a send has failed.
    bool exposed = false;
    bool exposure_failed = false;
    // Whether it is in the service's queue, with no search in progress.
    bool queued = false;
    // When it first entered the queue.
    std::optional<time_point> queued_at;
    // An attempt answered with a server error, delivered if no better answer comes.
    std::optional<attempt_number> fallback_attempt;
    std::optional<duration> queue_time;
    // Response time of the backend server that answered last.
    std::optional<duration> backend_time;

    // Whether it is certain that the request has not run, and that it never will unless it is sent
    // again.
    [[nodiscard]] bool is_not_run() const
    {
        return !this->may_have_run && this->running_attempts.empty();
    }
};

class dispatcher::state {
public:
    // The window over which the request rate is measured.
    static constexpr duration rate_window = std::chrono::seconds(2);

    state(data_centre_id self, shared_bounds shared, dispatcher_hooks callbacks);

    bool configure(std::shared_ptr<const traffic_configuration> next);
    void backends_listed();
    void set_bounds(const shared_bounds& shared);
    void set_restarted();
    void begin(const incoming_request& incoming);
    void caller_gone(request_number number);
    void probe_ended(probe_number probe, const std::optional<probe_result>& result);
    void attempt_ended(attempt_number attempt, const attempt_result& result);

    void end_stop();

    [[nodiscard]] double request_rate();

    detail::backend_table backends;
    std::function<double()> total_rate;
    std::function<bool()> is_latest_configuration;
    detail::crash_tracker crashes;
    dispatcher_hooks hooks;
    std::shared_ptr<const traffic_configuration> configuration;
    // Set while the daemon stops.
    std::optional<planned_stop> stop;
    std::size_t daemons = 1;
    dispatcher_counts counts;
    std::unordered_map<request_number, in_flight_request> requests;
    // Requests that arrived before this daemon was ready.
    std::map<request_number, incoming_request> held_requests;

private:
    struct pending_probe {
        request_number request;
        backend_id backend;
        std::uint64_t generation = 0;
    };
    // The limiters of one service, and the queue of its requests that wait for capacity.
    struct service_state {
        service_state(const shared_bounds& shared, time_point retry_slack_from)
            : retries(shared.retry_ratio, shared.retry_slack, shared.retry_window)
        {
            this->retries.set_slack_from(retry_slack_from);
        }
        retry_budget retries;
        probe_token_bucket probe_bucket;
        overload_policy overload;
        std::vector<request_number> queue;
        bool queue_timer_set = false;
    };

    [[nodiscard]] time_point now() const { return this->hooks.clock(); }
    in_flight_request* find_request(request_number number);
    service_state& service(const service_id& name);
    detail::response_time_estimate& response_time_of(const in_flight_request& request);
    [[nodiscard]] const service_traits& traits(const in_flight_request& request) const;

    // Admission. The daemon is ready once it has a configuration and the backend servers.
    [[nodiscard]] bool is_ready() const { return this->configuration && this->backends_known; }
    void hold_until_ready(const incoming_request& incoming);
    void start_held_requests();
    void admit(const incoming_request& incoming);
    // Sends an admitted request, or queues it behind those that take precedence.
    void start(in_flight_request& request);
    [[nodiscard]] bool ends_before_stop(const in_flight_request& request);
    [[nodiscard]] refusal refusal_while_stopping() const;

    // Authorization.
    void index_accounts();
    [[nodiscard]] std::optional<refusal> authorize(in_flight_request& request);
    [[nodiscard]] refusal refusal_of_key() const;
    void request_quota(in_flight_request& request);
    void handle_quota(const account_id& account, request_number number, const quota_answer& answer);
    void return_quota(const account_id& account, time_point granted_at);

    // Search.
    void start_search(in_flight_request& request, bool for_second_send, bool from_queue = false);
    void probe_next(in_flight_request& request);
    double probe_rate(const service_id& name);
    void choose_by_reported_load(in_flight_request& request,
                                 const std::vector<detail::backend_state*>& candidates);
    const detail::backend_state*
    first_with_reported_room(const in_flight_request& request,
                             const std::vector<detail::backend_state*>& candidates);
    void release_connection(const backend_choice& choice);
    void evaluate_probe(in_flight_request& request, const pending_probe& sent, probe_number probe,
                        const probe_result& result);
    void finish_search(in_flight_request& request);
    void cancel_search(in_flight_request& request);
    bool search_other_versions(in_flight_request& request, const backend_search& ended);
    void end_exposure(in_flight_request& request);
    void observe_attempt(const in_flight_request& request, const running_attempt& attempt,
                         bool failed);
    [[nodiscard]] bool should_wait(const in_flight_request& request, double cost);

    // Queue.
    void enqueue_or_refuse(in_flight_request& request);
    void start_queue_timer(const service_id& name);
    void process_queue(const service_id& name);
    [[nodiscard]] waiting_request waiting_view(const in_flight_request& request);
    [[nodiscard]] std::size_t count_ahead(const in_flight_request& request);
    void refuse_hopeless(const service_id& name);
    void refuse_overloaded(in_flight_request& request, std::uint64_t& counter, std::size_t ahead);
    [[nodiscard]] bool has_room(const in_flight_request& request, const backend_choice& choice);
    void remove_from_queue(in_flight_request& request);

    // Attempts.
    void send(in_flight_request& request, const backend_choice& choice, bool from_queue = false);
    void count_send(in_flight_request& request, bool from_queue);
    void start_second_send_timer(const in_flight_request& request, attempt_number attempt,
                                 duration delay, bool final_check);
    void consider_second_send(request_number number, attempt_number attempt, bool final_check);
    void deliver_or_refuse(in_flight_request& request, attempt_number attempt, int status);
    void handle_answer(in_flight_request& request, attempt_number attempt,
                       const running_attempt& ended_attempt, const attempt_result& result);
    void retry_or_refuse(in_flight_request& request);
    bool may_retry(in_flight_request& request);

    // Completion.
    void handle_deadline(request_number number);
    void deliver(in_flight_request& request, attempt_number attempt);
    void report_completion(const in_flight_request& request, std::string_view outcome,
                           std::optional<duration> backend_time);
    refusal refusal_after_attempts(const in_flight_request& request);
    void refuse(in_flight_request& request, refusal answer,
                std::vector<observe::decision_field> inputs = {});
    void refuse_unadmitted(const incoming_request& incoming, refusal answer);
    void finish(in_flight_request& request);
    void log(std::string_view event, const in_flight_request& request,
             std::vector<observe::decision_field> fields);
    [[nodiscard]] duration retry_delay(const in_flight_request& request);

    // The accounts of the configuration in force.
    account_directory accounts;
    bool backends_known = false;
    sliding_window_counter arrivals{rate_window};
    shared_bounds bounds;
    time_point retry_slack_from = time_point::min();
    detail::weighted_round_robin service_selector;
    std::map<service_id, service_state> services;
    // By route and service.
    std::map<std::string, detail::response_time_estimate> response_times;
    std::unordered_map<probe_number, pending_probe> probes;
    std::unordered_map<attempt_number, running_attempt> attempts;
    std::uint64_t last_probe = 0;
    std::uint64_t last_attempt = 0;
    std::uint64_t last_generation = 0;
};

} // namespace azureshore::balance
