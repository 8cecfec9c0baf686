#pragma once

#include "azureshore/configuration/effective.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/observe/decision.hpp"
#include "azureshore/outcomes/attempt.hpp"
#include "azureshore/outcomes/request.hpp"
#include "azureshore/outcomes/run_once.hpp"
#include "azureshore/platform/log.hpp"
#include "azureshore/wire/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace azureshore::outcomes {

// A request for a permit to run one attempt, answered by `permit_granted` or `permit_refused`.
struct attempt_permit_request {
    attempt_number attempt;
    time_point deadline;
    std::string caller;
    std::vector<backend_id> avoid;
};

// Actions of the engine, carried out by its owner. Hooks must not call back into the engine.
struct engine_hooks {
    // Requests a permit from the router, which chooses a backend server for one attempt.
    std::function<void(const attempt_permit_request&)> acquire;
    // Withdraws a permit request, or returns a permit that was granted and not used.
    std::function<void(attempt_number)> release;
    // Sends an attempt to the backend server of its permit.
    std::function<void(const attempt_request&)> start;
    // Cancels an attempt. Its connection is closed; its report still follows.
    std::function<void(attempt_number)> cancel;
    // Sends the response to the caller; called at most once for each request.
    std::function<void(request_number, const caller_response&)> answer;
    // Appends to a stream of the platform's log; `append_ended` reports the result by the same id.
    std::function<void(const std::string& stream, std::uint64_t append_id, std::string bytes)>
        append;
    // Sends a message to one VM, or to all others when `to` is empty.
    std::function<void(const vm_id& to, const wire::message&)> send;
    // Logs a decision of the engine; may be empty. Not the platform's log.
    observe::decision_hook log;
    // Returns the number of the next attempt. Engines of one process share this source, so that
    // attempt numbers are unique; without it an engine counts from one.
    std::function<attempt_number()> next_attempt;
};

// Handles the requests of one service on one VM from arrival to the response: permits, attempts,
// retries, hedges and idempotency keys. It has no threads, sockets or clock of its own.
class request_engine {
public:
    // The numbers of `random` must differ between runs of the process: the first one identifies the
    // intents of this run in the log.
    request_engine(vm_id self, service_id service, const random_source& random, engine_hooks hooks);
    ~request_engine();
    request_engine(const request_engine&) = delete;
    request_engine& operator=(const request_engine&) = delete;
    request_engine(request_engine&&) = delete;
    request_engine& operator=(request_engine&&) = delete;

    // Sets the limits of the service.
    void configure(time_point now, const configuration::service_limits& limits);

    // Sets how keyed requests use the log.
    void configure_run_once(time_point now, const run_once_limits& limits);

    // Sets the entry VMs that are believed to be alive, this one included.
    void update_vms(time_point now, std::vector<vm_id> live);

    // Starts a request. It ends in exactly one call of `answer`, unless the caller disconnects.
    void begin(time_point now, const incoming_request& request);

    // The caller disconnected and gets no response. Its attempts are cancelled, except a running
    // one of a keyed request, which continues so that the caller gets its outcome by sending the
    // request again.
    void caller_gone(time_point now, request_number request);

    void permit_granted(time_point now, attempt_number attempt, const backend_id& backend,
                        const address& endpoint);
    void permit_refused(time_point now, attempt_number attempt, wire::refusal_reason reason,
                        duration retry_after);

    // Reports the end of an attempt. Further reports of the same attempt are ignored.
    void attempt_ended(time_point now, const attempt_report& report);

    // Reports the result of an append.
    void append_ended(time_point now, std::uint64_t append_id,
                      const platform::append_result& result);

    // Passes in the result of reading a stream from the offset that `streams` returns for it.
    void log_read(time_point now, const std::string& stream, const platform::read_result& result);

    // Returns the streams to read, each with the offset to read from.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> streams() const;

    // Handles a message about this service from another VM.
    void receive(time_point now, const vm_id& from, const wire::message& body);

    // Refuses new requests from now on. Requests in flight continue.
    void stop(time_point now);

    // Returns the number of requests that wait for their response, or for the end of an attempt
    // whose outcome must be recorded.
    [[nodiscard]] std::size_t in_flight() const;

    // Returns whether all entries of this VM's keyed requests are in the log. A planned stop waits
    // for this for a limited time, so that callers that send a request again get its outcome.
    [[nodiscard]] bool settled() const;

    // Runs the timers that are due.
    void tick(time_point now);

    // Returns when `tick` must be called next.
    [[nodiscard]] time_point next_tick() const;

private:
    class state;
    std::unique_ptr<state> impl;
};

} // namespace azureshore::outcomes
