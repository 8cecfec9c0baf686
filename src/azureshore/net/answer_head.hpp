#pragma once

#include "azureshore/net/status_line.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace azureshore::net {

enum class answer_head_state : std::uint8_t { need_more, complete, invalid };

// Checks the head of an answer as its bytes come: a status line, lines that each begin with a name
// and a colon, and an empty line. Parsers are more lenient and differ in what they make of other
// lines: they pass them on, join them with the line before or end the head there. Values may hold
// any bytes but control characters other than tabs. A line feed alone ends a line only if no line
// before it ended with a carriage return and a line feed.
class answer_head_check {
public:
    // Takes the next bytes. Those after the head, or after the first that is invalid, are ignored.
    answer_head_state feed(std::string_view bytes);

    // Starts with the next head.
    void reset();

    // The line that is invalid, as far as it was read and without the value of a field, which may
    // be secret; the status line if none is. At most 64 characters, fit for the log.
    [[nodiscard]] std::string line() const;

private:
    enum class place : std::uint8_t { status_line, line_start, name, value };

    [[nodiscard]] bool accepts(char next);
    void take(char next);

    answer_head_state state = answer_head_state::need_more;
    place at = place::status_line;
    status_line_check status_line;
    bool after_return = false;
    bool has_whole_line_end = false;
    // The first bytes of the head.
    std::string start;
    // The name of the field under way.
    std::string name;
};

} // namespace azureshore::net
