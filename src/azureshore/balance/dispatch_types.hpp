#pragma once

#include "azureshore/balance/backend_server.hpp"
#include "azureshore/balance/traffic_configuration.hpp"
#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/observe/decision.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace azureshore::balance {

// Identifies one probe of a backend server's health path, made before a request is sent there.
using probe_number = basic_number<struct probe_tag>;

// The properties of a request that the dispatcher decides by. Its bytes stay with the connection on
// which it arrived.
struct incoming_request {
    request_number number;
    // The identifier that the caller gave the request, for the log.
    std::string id;
    std::string host;
    std::string path;
    // Equal for requests with the same method, path and body.
    std::uint64_t fingerprint = 0;
    // The key of a client account that the request carries. It must not be logged.
    std::string account_key;
    // When the last byte of the request was read.
    time_point arrived;
    // How long the caller waits from then on, if stated.
    std::optional<duration> caller_timeout;
};

struct probe_order {
    probe_number probe;
    backend_id backend;
    address endpoint;
    std::string health_path;
};

struct attempt_order {
    attempt_number attempt;
    request_number request;
    backend_id backend;
    address endpoint;
    // The probe whose connection can be reused for the attempt, if there was one.
    std::optional<probe_number> probe;
    // The remaining time until the caller's timeout.
    duration time_left{};
    // The client account of the request, if it has one.
    std::optional<account_id> account;
    // Whether requests need the key of a client account. If so, what the caller sent in the fields
    // of the key and the account is not passed on, whether or not this request has an account.
    bool keys_required = false;
};

// How an attempt ended.
enum class attempt_end : std::uint8_t {
    // The backend server's complete answer, with its signature, was received. It doesn't state that
    // the request has not run, whatever its status.
    answered,
    // The backend server stated, or the connection proves, that the request did not run.
    not_run,
    // The request may have run, but no answer was received, or one without a signature.
    unknown,
};

struct attempt_result {
    attempt_end end = attempt_end::unknown;
    // Status of the answer, even if it states that the request did not run or bears no signature.
    // Zero without an answer.
    int status = 0;
    // Whether the connection closed, as when a process crashes.
    bool connection_lost = false;
    // Whether the answer was broken off because it became too large to hold.
    bool answer_too_large = false;
    // Whether the answer was broken off because this daemon's memory was taken by others.
    bool out_of_memory = false;
    // Whether the answer bears a backend server's signature.
    bool is_signed = false;
    std::optional<load_report> load;
};

// Why a request got no answer from a backend server.
enum class refusal_cause : std::uint8_t {
    no_configuration,
    no_route,
    // No route of the configuration, which may not be the latest.
    no_current_route,
    no_backend,
    overloaded,
    attempts_exhausted,
    outcome_unknown,
    timed_out,
    suspect_request,
    // The daemon stops before the request is sure to end.
    stopping,
    // The request carries no key of a client account.
    unknown_key,
    // No key of the configuration, which may not be the latest.
    no_current_key,
    // The client account of the key can't be served, see problem_of().
    unusable_account,
    quota_exceeded,
    // It is not known whether the request lies within the quota of its account.
    quota_unavailable,
};

std::string_view to_string(refusal_cause cause);

// An answer that the daemon itself gives instead of a backend server.
struct refusal {
    refusal_cause cause = refusal_cause::overloaded;
    int status = 503;
    // The time after which a retry by the caller has a chance of success.
    std::optional<duration> retry_after;
};

// Outcome and timing of a request on a route, reported with its final answer.
struct completed_request {
    service_id service;
    bool idempotent = false;
    // "answered" or the text of the refusal cause; refers to a string literal.
    std::string_view outcome;
    // From the arrival of the request to its final answer.
    duration total{};
    // From the arrival of the request to its first send, if there was one.
    std::optional<duration> queue_time;
    // From the send to the backend server's answer, if that answer was delivered.
    std::optional<duration> backend_time;
    // The client account, if the request has one.
    std::optional<account_id> account;
};

// How an attempt ended at a backend server of a service with a rule on versions.
struct attempt_observation {
    service_id service;
    std::string route;
    std::string version;
    // Whether the response was a server error or none came although the request may have run.
    bool failed = false;
    // Whether the backend server was cold, so that its response time is no measure of its version.
    bool cold = false;
    // Of an attempt that was cancelled, the time until then.
    duration response_time{};
};

// Whether a request lies within the quota of its client account.
enum class quota_decision : std::uint8_t {
    granted,
    exceeded,
    // Neither is known, as those who keep the quota can't be reached.
    unavailable,
};

struct quota_answer {
    quota_decision decision = quota_decision::unavailable;
    // The time after which a further request has a chance, unless it was granted.
    std::optional<duration> retry_after;
    // When the grant lapses if it is not used. Empty if the account has no limit.
    std::optional<time_point> valid_until;
};

struct dispatcher_hooks {
    std::function<time_point()> clock;
    // Runs a function once after a delay.
    std::function<void(duration, std::function<void()>)> after;
    std::function<void(const probe_order&)> probe;
    // Releases a probe's connection that is not needed for an attempt.
    std::function<void(probe_number)> release;
    std::function<void(const attempt_order&)> send;
    std::function<void(attempt_number)> cancel;
    // Either deliver or refuse is called exactly once for each request, unless its caller left.
    std::function<void(request_number, attempt_number)> deliver;
    std::function<void(request_number, const refusal&)> refuse;
    // Asks for one request of an account's quota. The answer may come at once or later, and must
    // come within a fraction of a second. Empty if there are no quotas.
    std::function<void(const account_id&, std::function<void(const quota_answer&)>)> take_quota;
    // Gives back what was granted at a time for a request that was not sent to any backend server.
    // May be empty.
    std::function<void(const account_id&, time_point granted_at)> return_quota;
    random_source random;
    // Called with each decision, for the decision log. May be empty.
    observe::decision_hook decided;
    // Called when a backend server's process ended while it ran a request. May be empty.
    std::function<void(std::uint64_t fingerprint)> suspected;
    // Called with each completed request, for metrics. May be empty.
    std::function<void(const completed_request&)> completed;
    // Called with the end of each attempt while the service has a rule on versions. May be empty.
    std::function<void(const attempt_observation&)> observed{};
};

// The schedule of a daemon's planned stop.
struct planned_stop {
    // From then on the platform's balancer sends new connections to other daemons only.
    time_point out_of_rotation_at;
    // When the daemon ends, whatever is in flight.
    time_point ends_at;
};

// Bounds that all daemons keep together; each daemon keeps within its own share.
struct shared_bounds {
    // Maximum sends beyond the first of each request in a window: a ratio of the requests plus a
    // fixed number for all daemons.
    double retry_ratio = 0.2;
    double retry_slack = 50;
    duration retry_window = std::chrono::seconds(10);
    // Health probes per second to one backend server.
    double probes_per_second = 60;
};

} // namespace azureshore::balance
