#include "azureshore/proxy/refusal_text.hpp"

#include "azureshore/proxy/fields.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <string_view>

namespace azureshore::proxy {

namespace {

using outcomes::refusal_cause;

// How a cause is told in HTTP.
struct cause_row {
    refusal_cause cause;
    int status;
    // An error type of RFC 9209, section 2.3.
    std::string_view error;
    std::string_view title;
};

constexpr std::array cause_rows{
    cause_row{refusal_cause::unknown_service, 404, "destination_not_found",
              "No such service is configured"},
    cause_row{refusal_cause::request_malformed, 400, "http_request_error",
              "The request is malformed"},
    cause_row{refusal_cause::request_too_large, 413, "http_request_error",
              "The request is too large"},
    cause_row{refusal_cause::request_too_slow, 408, "http_request_error",
              "The request did not arrive in time"},
    cause_row{refusal_cause::key_missing, 400, "http_request_denied",
              "The request needs an Idempotency-Key"},
    cause_row{refusal_cause::key_reused, 422, "http_request_denied",
              "The Idempotency-Key belongs to another request"},
    cause_row{refusal_cause::key_in_progress, 409, "http_request_denied",
              "A request with this Idempotency-Key is running"},
    cause_row{refusal_cause::overloaded, 503, "destination_unavailable",
              "The service is overloaded"},
    cause_row{refusal_cause::deadline_passed, 504, "http_response_timeout",
              "The deadline passed before an answer came"},
    cause_row{refusal_cause::no_backend, 503, "destination_unavailable",
              "No backend server is in service"},
    cause_row{refusal_cause::shutting_down, 503, "destination_unavailable",
              "This VM is shutting down"},
    cause_row{refusal_cause::not_ready, 503, "destination_unavailable", "This VM is not ready"},
    cause_row{refusal_cause::log_unavailable, 503, "destination_unavailable",
              "The platform's log is unavailable"},
    cause_row{refusal_cause::backend_failed, 502, "connection_terminated",
              "The backend server failed"},
    cause_row{refusal_cause::suspected_of_crashing, 502, "http_request_denied",
              "Backend servers crashed while they ran this request"},
    cause_row{refusal_cause::answer_not_kept, 409, "http_request_denied",
              "The request ran, and its answer is not kept"},
    cause_row{refusal_cause::cancelled, 503, "proxy_internal_response",
              "The request was cancelled"},
};

const cause_row& row_of(refusal_cause cause)
{
    const auto* const found =
        std::find_if(cause_rows.begin(), cause_rows.end(),
                     [&](const cause_row& each) { return each.cause == cause; });
    return found == cause_rows.end() ? cause_rows.back() : *found;
}

std::string_view claim_text(outcomes::run_claim claim)
{
    return claim == outcomes::run_claim::not_run ? run_not_run : run_unknown;
}

std::string problem_document(const cause_row& row, const outcomes::refusal& refused, int status)
{
    const nlohmann::ordered_json document{
        {"type", "tag:azureshore,2026:" + std::string(outcomes::to_string(refused.cause))},
        {"title", row.title},
        {"status", status},
        {"cause", outcomes::to_string(refused.cause)},
        {"run", claim_text(refused.claim)},
    };
    return document.dump() + '\n';
}

std::string proxy_status(const cause_row& row)
{
    return "azureshore; error=" + std::string(row.error) + "; details=\"" +
           std::string(outcomes::to_string(row.cause)) + '"';
}

net::http_answer write(const outcomes::refusal& refused, int status)
{
    const cause_row& row = row_of(refused.cause);
    net::http_answer answer;
    answer.status = status;
    answer.headers.push_back({"Content-Type", "application/problem+json"});
    answer.headers.push_back({std::string(field_name::proxy_status), proxy_status(row)});
    answer.headers.push_back(
        {std::string(field_name::run), std::string(claim_text(refused.claim))});
    if (refused.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refused.retry_after);
        answer.headers.push_back(
            {std::string(field_name::retry_after), std::to_string(seconds.count())});
    }
    answer.body = problem_document(row, refused, status);
    return answer;
}

} // namespace

refusal_cause cause_of(net::early_refusal why)
{
    switch (why) {
    case net::early_refusal::malformed:
    case net::early_refusal::unknown_method:
        return refusal_cause::request_malformed;
    case net::early_refusal::headers_too_large:
    case net::early_refusal::body_too_large:
        return refusal_cause::request_too_large;
    case net::early_refusal::too_slow:
        return refusal_cause::request_too_slow;
    }
    return refusal_cause::request_malformed;
}

int status_of(refusal_cause cause)
{
    return row_of(cause).status;
}

net::http_answer write_refusal(const outcomes::refusal& refused)
{
    return write(refused, status_of(refused.cause));
}

net::http_answer write_early_refusal(net::early_refusal why)
{
    // HTTP has a status of its own for some of these, and fields that belong to it.
    auto plain = net::plain_refusal(why);
    const outcomes::refusal refused{cause_of(why), outcomes::run_claim::not_run, std::nullopt};
    auto answer = write(refused, plain.status);
    std::move(plain.headers.begin(), plain.headers.end(), std::back_inserter(answer.headers));
    return answer;
}

} // namespace azureshore::proxy
