#include "http_tools.hpp"

#include "azureshore/net/field_text.hpp"

#include <charconv>

namespace azureshore::standin {

std::int64_t target_parts::number(const std::string& name, std::int64_t fallback) const
{
    const auto found = this->query.find(name);
    if (found == this->query.end()) {
        return fallback;
    }
    std::int64_t value = fallback;
    const auto& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

target_parts split_target(std::string_view target)
{
    target_parts parts;
    const auto mark = target.find('?');
    parts.path = std::string(target.substr(0, mark));
    auto rest = mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        const auto value =
            equals == std::string_view::npos ? std::string_view{} : pair.substr(equals + 1);
        parts.query[std::string(pair.substr(0, equals))] = net::percent_decoded(std::string(value));
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return parts;
}

net::http_answer json_answer(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body), false};
}

} // namespace azureshore::standin
