#include "azureshore/proxy/internal/attempt_verdict.hpp"

#include "azureshore/net/field_text.hpp"
#include "azureshore/proxy/backend_client.hpp"
#include "azureshore/proxy/fields.hpp"

#include <utility>

namespace azureshore::proxy::detail {

namespace {

using outcomes::attempt_end;
using outcomes::attempt_proof;

constexpr int service_unavailable = 503;

struct verdict {
    attempt_end end;
    attempt_proof proof;
};

// On a kept connection an answer without echo may belong to an earlier request.
bool is_own_answer(const net::http_result& result, std::string_view name)
{
    const auto echo = result.header(field_name::attempt);
    return echo == name || (echo.empty() && !result.reused_connection);
}

verdict judge_whole(const net::http_result& result, std::string_view name)
{
    if (!is_own_answer(result, name)) {
        return {attempt_end::unknown, attempt_proof::wrong_echo};
    }
    const bool refused = result.status == service_unavailable &&
                         net::same_name(result.header(field_name::run), run_not_run);
    if (refused) {
        return {attempt_end::not_run, attempt_proof::backend_refused};
    }
    return {attempt_end::answered, attempt_proof::whole_answer};
}

verdict judge_connected(const net::http_result& result, std::string_view name)
{
    switch (result.why) {
    case failure::none:
        return judge_whole(result, name);
    case failure::timed_out:
        return {attempt_end::unknown, attempt_proof::timed_out};
    case failure::message_oversized:
        return {attempt_end::unknown, attempt_proof::answer_too_large};
    default:
        return {attempt_end::unknown,
                result.status == 0 ? attempt_proof::connection_lost : attempt_proof::answer_cut};
    }
}

outcomes::answer_content make_answer(net::http_result result)
{
    outcomes::answer_content answer;
    answer.status = result.status;
    answer.headers = passed_on(result.headers);
    answer.body = std::move(result.body);
    return answer;
}

} // namespace

outcomes::attempt_report judge(attempt_number attempt, std::string_view name,
                               net::http_result result)
{
    const verdict judged = result.connected
                               ? judge_connected(result, name)
                               : verdict{attempt_end::not_run, attempt_proof::never_connected};
    outcomes::attempt_report report;
    report.attempt = attempt;
    report.end = judged.end;
    report.proof = judged.proof;
    report.latency = result.elapsed;
    // A wrong answer's load and instance may be another's too.
    if (result.why == failure::none && judged.proof != attempt_proof::wrong_echo) {
        report.instance.value = result.header(field_name::instance);
        report.load = parse_load(result.header(field_name::load));
    }
    if (judged.end == attempt_end::answered) {
        report.answer = make_answer(std::move(result));
    }
    return report;
}

} // namespace azureshore::proxy::detail
