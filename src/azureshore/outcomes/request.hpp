#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/outcomes/attempt.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace azureshore::outcomes {

// A complete request that the proxy has validated and numbered.
struct incoming_request {
    request_number number;
    service_id service;
    content_pointer content;
    bool idempotent = false;
    // The caller's Idempotency-Key; empty when it sent none.
    std::string key;
    // Groups requests of one caller for fair queueing.
    std::string caller;
    // The caller's timeout; zero when it sent none.
    duration time_left{};
};

// Why a request was refused.
enum class refusal_cause : std::uint8_t {
    unknown_service,
    request_malformed,
    request_too_large,
    request_too_slow,
    key_missing,
    key_reused,
    key_in_progress,
    overloaded,
    deadline_passed,
    no_backend,
    shutting_down,
    not_ready,
    log_unavailable,
    backend_failed,
    suspected_of_crashing,
    cancelled,
    // An earlier request with this key ran and was answered, but the answer was not kept.
    answer_not_kept,
};

// Returns the name used in Proxy-Status, logs and metrics.
std::string_view to_string(refusal_cause cause);

// Whether a refusal claims that the request did not run.
enum class run_claim : std::uint8_t { not_run, unknown };

// A refusal. Its claim must be proved: `not_run` is given only when the request cannot have run.
struct refusal {
    refusal_cause cause = refusal_cause::overloaded;
    run_claim claim = run_claim::unknown;
    // Set when a later retry may succeed.
    std::optional<duration> retry_after;

    bool operator==(const refusal&) const = default;
};

// The response to a caller: exactly one of the two is set.
struct caller_response {
    std::optional<answer_content> answer;
    std::optional<refusal> refused;
};

} // namespace azureshore::outcomes
