#include "azureshore/net/answer_head.hpp"

#include "azureshore/net/field_text.hpp"

#include <algorithm>

namespace azureshore::net {

namespace {

constexpr std::size_t max_shown = 64;
constexpr char delete_character = 0x7f;

bool is_control(char each)
{
    return (each >= '\0' && each < ' ') || each == delete_character;
}

} // namespace

answer_head_state answer_head_check::feed(std::string_view bytes)
{
    this->start += bytes.substr(0, max_shown - this->start.size());
    for (const char each : bytes) {
        if (this->state != answer_head_state::need_more) {
            break;
        }
        const bool in_name = this->at == place::line_start || this->at == place::name;
        if (in_name && this->name.size() < max_shown) {
            this->name += each;
        }
        if (!this->accepts(each)) {
            this->state = answer_head_state::invalid;
            break;
        }
        this->take(each);
    }
    return this->state;
}

void answer_head_check::reset()
{
    *this = answer_head_check();
}

std::string answer_head_check::line() const
{
    if (this->state != answer_head_state::invalid || this->at == place::status_line) {
        return printable_line(this->start);
    }
    auto shown = this->name;
    std::replace_if(shown.begin(), shown.end(), is_control, '?');
    return printable_line(shown);
}

bool answer_head_check::accepts(char next)
{
    if (this->at == place::status_line) {
        return this->status_line.feed({&next, 1}) != status_line_state::invalid;
    }
    if (this->after_return) {
        return next == '\n';
    }
    if (next == '\n') {
        return this->at != place::name && !this->has_whole_line_end;
    }
    switch (this->at) {
    case place::line_start:
        return next == '\r' || is_token_character(next);
    case place::name:
        return next == ':' || is_token_character(next);
    default:
        return next == '\r' || next == '\t' || !is_control(next);
    }
}

void answer_head_check::take(char next)
{
    if (next == '\n') {
        this->has_whole_line_end = this->has_whole_line_end || this->after_return;
        this->after_return = false;
        this->name.clear();
        if (this->at == place::line_start) {
            this->state = answer_head_state::complete;
        }
        this->at = place::line_start;
        return;
    }
    this->after_return = next == '\r';
    if (this->at == place::line_start && !this->after_return) {
        this->at = place::name;
    }
    else if (this->at == place::name && next == ':') {
        this->at = place::value;
    }
}

} // namespace azureshore::net
