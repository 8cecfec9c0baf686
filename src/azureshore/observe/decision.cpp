#include "azureshore/observe/decision.hpp"

namespace azureshore::observe {

namespace {

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

void append_quoted(std::string& line, std::string_view value)
{
    line += '"';
    for (const char each : value) {
        if (each == '"' || each == '\\') {
            line += '\\';
        }
        const bool control = static_cast<unsigned char>(each) < ' ';
        line += control ? ' ' : each;
    }
    line += '"';
}

} // namespace

std::string to_line(const decision& made)
{
    std::string line(made.event);
    for (const auto& field : made.fields) {
        line += ' ';
        line += field.key;
        line += '=';
        if (needs_quotes(field.value)) {
            append_quoted(line, field.value);
        }
        else {
            line += field.value;
        }
    }
    return line;
}

} // namespace azureshore::observe
