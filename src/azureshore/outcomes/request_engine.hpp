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

// A wish for leave to run one attempt, answered by `permit_granted` or `permit_refused`.
struct attempt_permit_request {
    attempt_number attempt;
    time_point deadline;
    std::string caller;
    std::vector<backend_id> avoid;
};

// Where the engine's actions go. Hooks must not call back into the engine.
struct engine_hooks {
    // Asks the router for a backend server for one attempt.
    std::function<void(const attempt_permit_request&)> acquire;
    // Withdraws a wish, or gives back a permit that was granted and not used.
    std::function<void(attempt_number)> release;
    // Sends an attempt to the backend server that was granted.
    std::function<void(const attempt_request&)> start;
    // Gives up an attempt; its connection is closed and its report still comes.
    std::function<void(attempt_number)> cancel;
    // The final word to the caller; once for each request.
    std::function<void(request_number, const caller_response&)> answer;
    // Appends to a stream of the platform's log; ends in `append_ended` with the same id.
    std::function<void(const std::string& stream, std::uint64_t append_id, std::string bytes)>
        append;
    // Sends a message to one VM, or to all others when `to` is empty.
    std::function<void(const vm_id& to, const wire::message&)> send;
    observe::decision_hook log;
    // Numbers the next attempt. Engines of one process share one source, so that no two attempts
    // have one number; without it an engine counts from one.
    std::function<attempt_number()> next_attempt;
};

// Carries the requests of one service on one VM from arrival to the final word. Has no threads,
// sockets or clock of its own.
class request_engine {
public:
    // The numbers of `random` must differ from one run of the process to the next: the first one
    // marks this run's intents in the log.
    request_engine(vm_id self, service_id service, const random_source& random, engine_hooks hooks);
    ~request_engine();
    request_engine(const request_engine&) = delete;
    request_engine& operator=(const request_engine&) = delete;
    request_engine(request_engine&&) = delete;
    request_engine& operator=(request_engine&&) = delete;

    // Takes the limits in force.
    void configure(time_point now, const configuration::service_limits& limits);

    // Takes how the log is used for keyed requests.
    void configure_run_once(time_point now, const run_once_limits& limits);

    // Takes the entry VMs that are believed to run, this one included.
    void update_vms(time_point now, std::vector<vm_id> live);

    // Takes in a request; ends in exactly one call of `answer`.
    void begin(time_point now, const incoming_request& request);

    // The caller hung up: no answer is due. Its attempts are cancelled, but for one that runs
    // under a key: that one goes on, so that the caller may have its outcome by asking again.
    void caller_gone(time_point now, request_number request);

    void permit_granted(time_point now, attempt_number attempt, const backend_id& backend,
                        const address& where);
    void permit_refused(time_point now, attempt_number attempt, wire::refusal_reason reason,
                        duration retry_after);

    // Takes the end of an attempt. A second report of one attempt is ignored.
    void attempt_ended(time_point now, const attempt_report& report);

    // Takes the end of an append.
    void append_ended(time_point now, std::uint64_t append_id,
                      const platform::append_result& result);

    // Takes what a read of a stream brought; streams are read from `next_offset` on.
    void log_read(time_point now, const std::string& stream, const platform::read_result& result);

    // The streams to follow, and the offset from which to read each.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> streams() const;

    // Takes a message about this service from another VM.
    void receive(time_point now, const vm_id& from, const wire::message& body);

    // Takes in nothing more; what runs goes on.
    void stop(time_point now);

    // Requests that still wait for their final word, or under a key for their attempt's end.
    [[nodiscard]] std::size_t in_flight() const;

    // Whether all that this VM had to record of keyed requests is in the log. A planned stop waits
    // for it for a while, so that callers who ask again get outcomes.
    [[nodiscard]] bool settled() const;

    // Does what has become due.
    void tick(time_point now);

    // When `tick` is next needed.
    [[nodiscard]] time_point next_tick() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::outcomes
