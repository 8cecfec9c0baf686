#include "azureshore/net/status_line.hpp"

#include <algorithm>

namespace azureshore::net {

namespace {

constexpr std::string_view version = "HTTP/1.";
constexpr std::size_t minor_at = version.size();
constexpr std::size_t space_at = minor_at + 1;
constexpr std::size_t status_at = space_at + 1;
constexpr std::size_t status_end = status_at + 3;
constexpr std::string_view switching_protocols = "101";
constexpr std::size_t max_printable = 64;

bool is_digit(char each)
{
    return each >= '0' && each <= '9';
}

} // namespace

status_line_state status_line_check::feed(std::string_view bytes)
{
    for (const char each : bytes) {
        if (this->state != status_line_state::need_more) {
            break;
        }
        if (!this->accepts(each)) {
            this->state = status_line_state::invalid;
            break;
        }
        if (this->seen.size() <= status_end) {
            this->seen += each;
        }
        this->after_return = each == '\r';
        if (each == '\n') {
            this->state = status_line_state::valid;
        }
    }
    return this->state;
}

bool status_line_check::accepts(char next) const
{
    if (this->after_return) {
        return next == '\n';
    }
    const auto at = this->seen.size();
    if (at < minor_at) {
        return next == version[at];
    }
    if (at == minor_at) {
        return next == '0' || next == '1';
    }
    if (at == space_at) {
        return next == ' ';
    }
    if (at == status_at) {
        return next >= '1' && next <= '5';
    }
    if (at < status_end) {
        return is_digit(next) && this->seen.substr(status_at) + next != switching_protocols;
    }
    return at > status_end || next == ' ' || next == '\r' || next == '\n';
}

std::string printable_line(std::string_view text)
{
    const auto end = std::min(text.find_first_of("\r\n"), max_printable);
    std::string line(text.substr(0, end));
    std::replace_if(
        line.begin(), line.end(), [](char each) { return each < ' ' || each > '~'; }, '?');
    return line;
}

} // namespace azureshore::net
