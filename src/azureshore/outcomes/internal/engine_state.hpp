#pragma once

#include "azureshore/outcomes/internal/hedge_delay_estimator.hpp"
#include "azureshore/outcomes/internal/request_state.hpp"
#include "azureshore/outcomes/internal/retry_budget.hpp"
#include "azureshore/outcomes/internal/run_ledger.hpp"
#include "azureshore/outcomes/internal/suspect_table.hpp"
#include "azureshore/outcomes/request_engine.hpp"

#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace azureshore::outcomes {

// The implementation of request_engine, which forwards to it.
class request_engine::state {
public:
    state(vm_id self_name, service_id service_name, const random_source& random_numbers,
          engine_hooks engine_hooks);

    void configure(const configuration::service_limits& new_limits);
    void configure_run_once(const run_once_limits& new_limits);
    void begin(time_point now, const incoming_request& incoming);
    void caller_gone(time_point now, request_number number);
    void permit_granted(time_point now, attempt_number number, const backend_id& backend,
                        const address& endpoint);
    void permit_refused(time_point now, attempt_number number, wire::refusal_reason reason,
                        duration retry_after);
    void attempt_ended(time_point now, const attempt_report& report);
    void append_ended(time_point now, std::uint64_t append_id,
                      const platform::append_result& result);
    void log_read(time_point now, const std::string& stream, const platform::read_result& result);
    void receive(time_point now, const wire::message& body);
    void stop() { this->stopping = true; }
    void tick(time_point now);
    [[nodiscard]] time_point next_tick() const;
    [[nodiscard]] std::size_t in_flight() const { return this->requests.size(); }

    // Ends an external call: flushes the entries that it posted to the streams.
    void end_call(time_point now);

    // The run-once streams; request_engine forwards some calls to them directly.
    detail::run_ledger ledger;

private:
    using request_state = detail::request_state;
    using request_phase = detail::request_phase;
    using live_attempt = detail::live_attempt;
    using timer_set = std::set<std::pair<time_point, request_number>>;

    // Returns the request that the attempt belongs to, or null if it no longer waits for it.
    request_state* request_of_attempt(attempt_number number);
    request_state* find(request_number number);

    // Attempts.
    attempt_number next_attempt();
    // Requests a permit for one more attempt. A request whose fingerprint is under suspicion is
    // held, refused or run as a trial instead.
    void open_attempt(time_point now, request_state& request);
    void acquire_permit(request_state& request, bool trial);
    void start_attempt(time_point now, request_state& request, live_attempt& attempt,
                       const address& endpoint);
    // Removes an attempt from its request and returns it.
    live_attempt remove_attempt(request_state& request, attempt_number number);
    void handle_answer(time_point now, request_state& request, const attempt_report& report);
    void handle_failure(time_point now, request_state& request, const attempt_report& report);
    [[nodiscard]] bool may_retry(time_point now, const request_state& request) const;
    void schedule_hedge(time_point now, const request_state& request);
    void start_due_hedges(time_point now);
    // Withdraws pending permit requests and cancels running attempts.
    void cancel_attempts(request_state& request);

    // Keyed requests.
    void begin_keyed(time_point now, request_state& request);
    void post_intent(time_point now, request_state& request);
    // Answers or refuses the request according to its key's entry, or waits for the outcome of the
    // request that holds the key.
    void apply_key_entry(time_point now, request_state& request, const detail::key_entry& entry);
    void intent_held(const wire::run_intent& intent);
    void intent_lost(const wire::run_intent& intent);
    void key_changed(const wire::key_digest& key);
    void intent_refused(const wire::intent_id& id);
    void record_outcome(time_point now, request_state& request, const answer_content* content);
    // Cancels the attempts of a keyed request and waits for their reports, to record the outcome.
    void detach(time_point now, request_state& request);
    [[nodiscard]] duration key_lifetime() const;
    detail::ledger_hooks make_ledger_hooks();

    // Suspicion.
    void handle_backend_death(time_point now, request_state& request, const live_attempt& attempt);
    void clear_suspicion(const request_state& request);
    void broadcast_suspicion(std::uint64_t fingerprint, duration exclusive_time,
                             const backend_id& backend);
    void retry_held_requests(time_point now);
    // Returns a random duration from `span` up to twice `span`.
    [[nodiscard]] duration add_jitter(duration span) const;

    // Responses to callers.
    void answer(time_point now, request_state& request, const answer_content& content,
                std::optional<attempt_number> attempt = std::nullopt);
    void refuse(time_point now, request_state& request, refusal_cause cause,
                std::optional<duration> retry_after = std::nullopt);
    // Refuses a request that the engine does not admit.
    void refuse_on_arrival(const incoming_request& request, refusal_cause cause);
    void set_deadline(request_state& request, time_point deadline);
    void handle_deadline(time_point now, request_state& request);
    void erase_request(request_state& request);

    void log_event(std::string_view event, const request_state& request,
                   std::optional<attempt_number> attempt,
                   std::vector<observe::decision_field> more = {});

    vm_id self;
    service_id service;
    random_source random;
    engine_hooks hooks;
    configuration::service_limits limits;
    detail::retry_budget budget;
    detail::suspect_table suspects;
    detail::hedge_delay_estimator hedge_delay;
    bool stopping = false;
    // The time of the external call in progress.
    time_point call_time{};
    std::uint64_t last_attempt = 0;
    std::unordered_map<request_number, request_state> requests;
    std::unordered_map<attempt_number, request_number> request_by_attempt;
    timer_set deadlines;
    timer_set hedges;
    std::set<request_number> held_requests;
    time_point next_held_retry = time_point::max();
    // Requests whose intent has not been read back yet, by the intent's number.
    std::unordered_map<std::uint64_t, request_number> request_by_intent;
    // Requests that wait for the outcome of another request with the same key.
    std::unordered_map<wire::key_digest, std::set<request_number>, detail::key_digest_hash>
        waiters_by_key;
};

} // namespace azureshore::outcomes
