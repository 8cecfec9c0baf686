#include "azureshore/outcomes/attempt.hpp"

namespace azureshore::outcomes {

std::string_view to_string(attempt_end end)
{
    switch (end) {
    case attempt_end::answered:
        return "answered";
    case attempt_end::not_run:
        return "not_run";
    case attempt_end::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view to_string(attempt_proof proof)
{
    switch (proof) {
    case attempt_proof::whole_answer:
        return "whole_answer";
    case attempt_proof::never_connected:
        return "never_connected";
    case attempt_proof::backend_refused:
        return "backend_refused";
    case attempt_proof::connection_lost:
        return "connection_lost";
    case attempt_proof::answer_cut:
        return "answer_cut";
    case attempt_proof::wrong_echo:
        return "wrong_echo";
    case attempt_proof::timed_out:
        return "timed_out";
    case attempt_proof::cancelled:
        return "cancelled";
    case attempt_proof::answer_too_large:
        return "answer_too_large";
    }
    return "connection_lost";
}

} // namespace azureshore::outcomes
