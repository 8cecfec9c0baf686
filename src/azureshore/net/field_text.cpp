#include "azureshore/net/field_text.hpp"

#include <curl/curl.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>

namespace azureshore::net {

namespace {

constexpr std::string_view white_space = " \t\r\n";

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

constexpr std::array<std::string_view, 8> connection_fields{
    "Connection",       "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
    "Proxy-Connection", "TE",         "Transfer-Encoding",  "Upgrade",
};

bool concerns_connection(std::string_view name)
{
    return std::any_of(connection_fields.begin(), connection_fields.end(),
                       [&](std::string_view each) { return same_name(each, name); });
}

bool name_before(std::string_view left, std::string_view right)
{
    return std::lexicographical_compare(
        left.begin(), left.end(), right.begin(), right.end(),
        [](char one, char other) { return lower(one) < lower(other); });
}

// The names that Connection lists concern this connection too. Sorted, as a header may hold
// thousands of fields and name as many here.
std::vector<std::string_view> connection_options(const std::vector<field>& fields)
{
    std::vector<std::string_view> options;
    for (const auto& each : fields) {
        if (same_name(each.name, "Connection")) {
            const auto members = list_members(each.value);
            options.insert(options.end(), members.begin(), members.end());
        }
    }
    std::sort(options.begin(), options.end(), name_before);
    return options;
}

using curl_text = std::unique_ptr<char, decltype(&curl_free)>;

} // namespace

bool is_token_character(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') ||
           std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string_view::npos;
}

bool same_name(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char one, char other) { return lower(one) == lower(other); });
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = text.find_last_not_of(white_space);
    return text.substr(first, last - first + 1);
}

std::vector<std::string_view> list_members(std::string_view text)
{
    std::vector<std::string_view> members;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        const auto member = trimmed(text.substr(0, comma));
        if (!member.empty()) {
            members.push_back(member);
        }
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return members;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return number;
}

std::string_view find_field(const std::vector<field>& fields, std::string_view name)
{
    for (const auto& each : fields) {
        if (same_name(each.name, name)) {
            return each.value;
        }
    }
    return {};
}

std::vector<field> end_to_end(const std::vector<field>& fields)
{
    const auto options = connection_options(fields);
    std::vector<field> kept;
    kept.reserve(fields.size());
    for (const auto& each : fields) {
        const bool listed =
            std::binary_search(options.begin(), options.end(), each.name, name_before);
        if (!listed && !concerns_connection(each.name) && !same_name(each.name, "Content-Length") &&
            !same_name(each.name, "Expect") && !same_name(each.name, "Trailer")) {
            kept.push_back(each);
        }
    }
    return kept;
}

std::string percent_encoded(const std::string& text)
{
    const curl_text encoded(curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())),
                            curl_free);
    return encoded ? encoded.get() : "";
}

std::string percent_decoded(const std::string& text)
{
    int length = 0;
    const curl_text decoded(
        curl_easy_unescape(nullptr, text.data(), static_cast<int>(text.size()), &length),
        curl_free);
    return decoded ? std::string(decoded.get(), static_cast<std::size_t>(length)) : "";
}

} // namespace azureshore::net
