#include "azureshore/configuration/tree.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <type_traits>

namespace azureshore::configuration {

namespace {

bool is_bare(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' ||
           c == '-';
}

std::string quoted(const std::string& text)
{
    return '"' + absl::Utf8SafeCEscape(text) + '"';
}

std::string key_text(const std::string& name)
{
    const bool bare = !name.empty() && std::all_of(name.begin(), name.end(), is_bare);
    return bare ? name : quoted(name);
}

// The shortest text that reads back as the same number, with a point as TOML asks.
std::string number_text(double number)
{
    constexpr std::size_t longest = 32;
    std::array<char, longest> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number).ptr;
    std::string text(buffer.data(), end);
    if (text.find_first_of(".en") == std::string::npos) {
        text += ".0";
    }
    return text;
}

} // namespace

std::string to_string(const wire::setting_path& path)
{
    return absl::StrJoin(
        path, ".", [](std::string* out, const std::string& name) { out->append(key_text(name)); });
}

std::string to_string(const wire::setting_value& value)
{
    return std::visit(
        [](const auto& held) -> std::string {
            using type = std::decay_t<decltype(held)>;
            if constexpr (std::is_same_v<type, wire::branch_mark>) {
                return "{}";
            }
            else if constexpr (std::is_same_v<type, bool>) {
                return held ? "true" : "false";
            }
            else if constexpr (std::is_same_v<type, double>) {
                return number_text(held);
            }
            else if constexpr (std::is_same_v<type, std::string>) {
                return quoted(held);
            }
            else {
                return std::to_string(held);
            }
        },
        value);
}

} // namespace azureshore::configuration
