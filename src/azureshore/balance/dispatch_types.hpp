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

// One question to a backend server's health path, asked before a request is sent there.
using probe_number = basic_number<struct probe_tag>;

// What decides about a request; its bytes stay with the connection that it came by.
struct incoming_request {
    request_number number;
    // The caller's own name for it, for the log.
    std::string id;
    std::string host;
    std::string path;
    // Tells requests with the same method, path and body.
    std::uint64_t fingerprint = 0;
    // When its last byte was read.
    time_point arrived;
    // How long the caller waits from then on, if it says.
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
    // The probe whose connection is free for the attempt, if one was made.
    std::optional<probe_number> probe;
    // What is left of the caller's patience.
    duration time_left{};
};

// How an attempt ended.
enum class attempt_end : std::uint8_t {
    // The backend server's own whole answer came.
    answered,
    // The backend server said, or the connection proves, that the request did not run.
    not_run,
    // The request may have run and no answer came.
    unknown,
};

struct attempt_result {
    attempt_end end = attempt_end::unknown;
    // Of the answer, also of one that says not run; zero without one.
    int status = 0;
    // Whether the connection ended or the bytes were no answer, as when a process dies.
    bool connection_lost = false;
    std::optional<load_report> load;
};

// Why a request got no backend server's answer.
enum class refusal_cause : std::uint8_t {
    no_configuration,
    no_route,
    no_backend,
    overloaded,
    attempts_exhausted,
    outcome_unknown,
    timed_out,
    suspect_request,
};

std::string_view to_string(refusal_cause cause);

// An answer of our own.
struct refusal {
    refusal_cause cause = refusal_cause::overloaded;
    int status = 503;
    // When the caller may come back with a chance of being served.
    std::optional<duration> retry_after;
};

// A request on a route that got its final answer.
struct completed_request {
    service_id service;
    bool idempotent = false;
    // "answered", or why it was refused; a literal.
    std::string_view outcome;
    // From its arrival to its final answer.
    duration total{};
    // From its arrival to its first send, if there was one.
    std::optional<duration> queue_time;
    // From the send to the backend server's answer, if that was delivered.
    std::optional<duration> backend_time;
};

struct dispatcher_hooks {
    std::function<time_point()> clock;
    // Runs a function once, after a delay.
    std::function<void(duration, std::function<void()>)> after;
    std::function<void(const probe_order&)> probe;
    // The probe's connection is not needed for an attempt.
    std::function<void(probe_number)> release;
    std::function<void(const attempt_order&)> send;
    std::function<void(attempt_number)> cancel;
    // The final answer of a request: once for each that arrived, unless its caller left.
    std::function<void(request_number, attempt_number)> deliver;
    std::function<void(request_number, const refusal&)> refuse;
    random_source random;
    observe::decision_hook decided;
    // A backend server's process ended while it ran a request. May be empty.
    std::function<void(std::uint64_t fingerprint)> suspected;
    // For measurements; may be empty.
    std::function<void(const completed_request&)> completed;
};

// Bounds that all daemons keep together, of which each takes its part.
struct shared_bounds {
    // Sends beyond the first of each request in a window: a share of the requests and a fixed
    // number for all daemons.
    double retry_ratio = 0.2;
    double retry_slack = 50;
    duration retry_window = std::chrono::seconds(10);
    // Health checks a second to one backend server.
    double probes_per_second = 60;
};

} // namespace azureshore::balance
