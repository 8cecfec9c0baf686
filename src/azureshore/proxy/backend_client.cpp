#include "azureshore/proxy/backend_client.hpp"

#include "azureshore/net/field_text.hpp"
#include "azureshore/proxy/fields.hpp"
#include "azureshore/proxy/internal/attempt_verdict.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace azureshore::proxy {

namespace {

constexpr std::string_view load_target = "/azureshore/load";
constexpr std::size_t max_probe_body = 4096;
constexpr int ok = 200;

std::string milliseconds_text(duration span)
{
    const auto whole = std::chrono::floor<std::chrono::milliseconds>(span).count();
    return std::to_string(std::max<std::int64_t>(0, whole));
}

net::http_request make_request(const outcomes::attempt_request& order, const std::string& name)
{
    net::http_request request;
    request.where = order.endpoint;
    request.method = order.content->method;
    request.target = order.content->target;
    for (const auto& each : order.content->headers) {
        request.headers.push_back({each.name, each.value});
    }
    request.headers.push_back({std::string(field_name::attempt), name});
    request.headers.push_back(
        {std::string(field_name::deadline), milliseconds_text(order.time_left)});
    request.body = order.content->body;
    request.timeout = order.time_left;
    request.max_answer_body = order.max_answer_body;
    request.may_reuse_connection = order.idempotent;
    request.echo = net::field{std::string(field_name::attempt), name};
    return request;
}

std::optional<probe_answer> read_probe(const net::http_result& result)
{
    if (result.why != failure::none) {
        return std::nullopt;
    }
    probe_answer answer;
    answer.healthy = result.status == ok;
    answer.instance.value = result.header(field_name::instance);
    answer.load = parse_load(result.header(field_name::load));
    return answer;
}

// A member of a load list; nothing unless it is name=number.
std::optional<std::pair<std::string_view, std::uint32_t>> read_member(std::string_view member)
{
    const auto equals = member.find('=');
    if (equals == std::string_view::npos) {
        return std::nullopt;
    }
    const auto value = net::parse_number(member.substr(equals + 1));
    if (!value || *value > std::numeric_limits<std::uint32_t>::max()) {
        return std::nullopt;
    }
    return std::pair(member.substr(0, equals), static_cast<std::uint32_t>(*value));
}

} // namespace

std::optional<wire::load_report> parse_load(std::string_view text)
{
    std::optional<std::uint32_t> running;
    std::optional<std::uint32_t> slots;
    for (const auto each : net::list_members(text)) {
        const auto member = read_member(each);
        if (!member) {
            return std::nullopt;
        }
        if (member->first == "running") {
            running = member->second;
        }
        if (member->first == "slots") {
            slots = member->second;
        }
    }
    if (!running || !slots) {
        return std::nullopt;
    }
    return wire::load_report{*running, *slots};
}

backend_client::backend_client(asio::io_context& context, instance_id instance,
                               backend_client_hooks given)
    : executor(context), self(std::move(instance)), hooks(std::move(given)), client(context)
{
}

backend_client::~backend_client() = default;

void backend_client::start(const outcomes::attempt_request& order)
{
    running_attempt attempt;
    attempt.name = this->self.value + '-' + std::to_string(order.attempt.value);
    attempt.started = std::chrono::steady_clock::now();
    attempt.transfer = this->client.start(make_request(order, attempt.name),
                                          [this, number = order.attempt](net::http_result result) {
                                              this->ended(number, std::move(result));
                                          });
    this->running.insert_or_assign(order.attempt, std::move(attempt));
}

void backend_client::ended(attempt_number attempt, net::http_result result)
{
    const auto found = this->running.find(attempt);
    if (found == this->running.end()) {
        return;
    }
    const std::string name = std::move(found->second.name);
    this->running.erase(found);
    this->hooks.ended(detail::judge(attempt, name, std::move(result)));
}

void backend_client::cancel(attempt_number attempt)
{
    const auto found = this->running.find(attempt);
    if (found == this->running.end()) {
        return;
    }
    const bool connected = this->client.cancel(found->second.transfer);
    const duration latency = std::chrono::steady_clock::now() - found->second.started;
    this->running.erase(found);
    this->report_cancelled(attempt, connected, latency);
}

void backend_client::report_cancelled(attempt_number attempt, bool connected, duration latency)
{
    outcomes::attempt_report report;
    report.attempt = attempt;
    report.end = connected ? outcomes::attempt_end::unknown : outcomes::attempt_end::not_run;
    report.proof = outcomes::attempt_proof::cancelled;
    report.latency = latency;
    asio::post(this->executor, [this, watch = std::weak_ptr<char>(this->alive), report] {
        if (!watch.expired()) {
            this->hooks.ended(report);
        }
    });
}

void backend_client::probe(const address& where, duration timeout,
                           std::function<void(std::optional<probe_answer>)> done)
{
    net::http_request request;
    request.where = where;
    request.target = load_target;
    request.timeout = timeout;
    request.max_answer_body = max_probe_body;
    this->client.start(
        std::move(request),
        [done = std::move(done)](const net::http_result& result) { done(read_probe(result)); });
}

std::size_t backend_client::in_flight() const
{
    return this->running.size();
}

} // namespace azureshore::proxy
