#include "azureshore/outcomes/request.hpp"

#include <array>

namespace azureshore::outcomes {

namespace {

// In the order of refusal_cause.
constexpr std::array<std::string_view, 17> cause_names{
    "unknown_service", "request_malformed", "request_too_large",     "request_too_slow",
    "key_missing",     "key_reused",        "key_in_progress",       "overloaded",
    "deadline_passed", "no_backend",        "shutting_down",         "not_ready",
    "log_unavailable", "backend_failed",    "suspected_of_crashing", "cancelled",
    "answer_not_kept"};

} // namespace

std::string_view to_string(refusal_cause cause)
{
    return cause_names.at(static_cast<std::size_t>(cause));
}

} // namespace azureshore::outcomes
