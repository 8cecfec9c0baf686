#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace azureshore::net {

// Most interim answers (1xx) that may come before an answer.
inline constexpr std::size_t max_interim_answers = 8;

enum class status_line_state : std::uint8_t { need_more, valid, invalid };

// Checks a status line as its bytes come: HTTP/1.0 or HTTP/1.1, one space, a status of three digits
// from 100 to 599, and then a space and any text, or the end of the line. 101 is invalid, as
// nothing here asks for another protocol.
class status_line_check {
public:
    // Takes the next bytes. Those after the line, or after the first that is invalid, are ignored.
    status_line_state feed(std::string_view bytes);

private:
    [[nodiscard]] bool accepts(char next) const;

    status_line_state state = status_line_state::need_more;
    // Bytes that were accepted, up to the one after the status.
    std::string seen;
    bool after_return = false;
};

// The first line of a text for the log: at most 64 characters, with a question mark in place of
// each one that is not printable.
std::string printable_line(std::string_view text);

} // namespace azureshore::net
