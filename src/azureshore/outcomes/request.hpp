#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/outcomes/attempt.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace azureshore::outcomes {

// A request as the proxy hands it over: whole, checked, and named.
struct incoming_request {
    request_number number;
    service_id service;
    content_pointer content;
    bool idempotent = false;
    // The caller's Idempotency-Key; empty when it sent none.
    std::string key;
    // Groups requests of one caller for fair queueing.
    std::string caller;
    // Time the caller gives; zero when it names none.
    duration time_left{};
};

// Why a caller got a refusal in place of an answer.
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
    // The request ran and was answered before; the answer was not kept.
    answer_not_kept,
};

// The name as Proxy-Status, logs and metrics show it.
std::string_view to_string(refusal_cause cause);

// What a refusal says about the request.
enum class run_claim : std::uint8_t { not_run, unknown };

// A refusal, true in every word.
struct refusal {
    refusal_cause cause = refusal_cause::overloaded;
    run_claim claim = run_claim::unknown;
    // Set where waiting helps.
    std::optional<duration> retry_after;

    bool operator==(const refusal&) const = default;
};

// The final word to a caller: exactly one of the two is set.
struct caller_response {
    std::optional<answer_content> answer;
    std::optional<refusal> refused;
};

} // namespace azureshore::outcomes
