#include "azureshore/proxy/incoming.hpp"

#include "azureshore/net/field_text.hpp"
#include "azureshore/proxy/fields.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace azureshore::proxy {

namespace {

using outcomes::incoming_request;
using outcomes::refusal;
using outcomes::refusal_cause;

constexpr std::size_t max_service_length = 64;
constexpr std::size_t max_key_length = 128;
constexpr std::size_t max_caller_length = 128;

// CONNECT and TRACE are for proxies of another kind.
constexpr std::array<std::string_view, 7> known_methods{"GET", "HEAD",   "OPTIONS", "POST",
                                                        "PUT", "DELETE", "PATCH"};
constexpr std::array<std::string_view, 3> idempotent_methods{"GET", "HEAD", "OPTIONS"};

template <class Range>
bool contains(const Range& range, std::string_view value)
{
    return std::find(range.begin(), range.end(), value) != range.end();
}

bool is_service_letter(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' || letter == '.';
}

bool is_visible(char letter)
{
    return letter > ' ' && letter <= '~';
}

refusal refuse(refusal_cause cause)
{
    return {cause, outcomes::run_claim::not_run, std::nullopt};
}

// The first segment of the path; nothing when there is none that could name a service.
std::optional<std::string_view> service_of(std::string_view target)
{
    if (!target.starts_with('/')) {
        return std::nullopt;
    }
    const auto name = target.substr(1, target.find_first_of("/?#", 1) - 1);
    const bool plain = std::all_of(name.begin(), name.end(), is_service_letter);
    if (name.empty() || name.size() > max_service_length || !plain) {
        return std::nullopt;
    }
    return name;
}

std::size_t count_of(const net::http_call& call, std::string_view name)
{
    const auto count =
        std::count_if(call.headers.begin(), call.headers.end(),
                      [&](const net::field& each) { return net::same_name(each.name, name); });
    return static_cast<std::size_t>(count);
}

// The key, with or without the quotes of a structured field; nothing when it is no valid one.
std::optional<std::string> key_of(const net::http_call& call)
{
    auto key = call.header(field_name::idempotency_key);
    if (key.size() >= 2 && key.starts_with('"') && key.ends_with('"')) {
        key = key.substr(1, key.size() - 2);
    }
    const bool present = count_of(call, field_name::idempotency_key) > 0;
    if (present && (key.empty() || count_of(call, field_name::idempotency_key) > 1)) {
        return std::nullopt;
    }
    if (key.size() > max_key_length || !std::all_of(key.begin(), key.end(), is_visible)) {
        return std::nullopt;
    }
    return std::string(key);
}

// The time that the caller gives, zero when it names none; nothing when it is no number.
std::optional<duration> deadline_of(const net::http_call& call, duration longest)
{
    if (count_of(call, field_name::deadline) == 0) {
        return duration::zero();
    }
    const auto given = net::parse_number(call.header(field_name::deadline));
    if (!given || count_of(call, field_name::deadline) > 1) {
        return std::nullopt;
    }
    const auto bound = std::chrono::ceil<std::chrono::milliseconds>(longest).count();
    const auto bounded = std::min(*given, static_cast<std::uint64_t>(bound));
    return std::chrono::milliseconds(bounded);
}

std::string caller_of(const net::http_call& call)
{
    const auto named = call.header(field_name::caller);
    if (!named.empty() && named.size() <= max_caller_length) {
        return std::string(named);
    }
    return call.peer.substr(0, call.peer.rfind(':'));
}

// Only an explicit deadline of zero passes before it begins.
bool deadline_passed(const net::http_call& call, duration time_left)
{
    return time_left == duration::zero() && count_of(call, field_name::deadline) > 0;
}

outcomes::content_pointer content_of(net::http_call call)
{
    auto content = std::make_shared<outcomes::request_content>();
    content->method = std::move(call.method);
    content->target = std::move(call.target);
    content->headers = passed_on(call.headers);
    content->body = std::move(call.body);
    return content;
}

} // namespace

std::variant<incoming_request, refusal> read_request(net::http_call call,
                                                     const incoming_limits& limits)
{
    const auto service = service_of(call.target);
    auto key = key_of(call);
    const auto time_left = deadline_of(call, limits.longest_deadline);
    if (!contains(known_methods, call.method) || !service || !key || !time_left) {
        return refuse(refusal_cause::request_malformed);
    }
    if (deadline_passed(call, *time_left)) {
        return refuse(refusal_cause::deadline_passed);
    }
    incoming_request request;
    request.number = {call.number};
    request.service.value = *service;
    request.idempotent = contains(idempotent_methods, call.method);
    request.key = std::move(*key);
    request.caller = caller_of(call);
    request.time_left = *time_left;
    request.content = content_of(std::move(call));
    return request;
}

} // namespace azureshore::proxy
