#include "azureshore/gateway/internal/exchange_queue.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::gateway::detail {

exchange_queue::exchange_queue(read_ahead_limits most) : limits(most) {}

bool exchange_queue::empty() const
{
    return this->exchanges.empty();
}

std::size_t exchange_queue::size() const
{
    return this->exchanges.size();
}

bool exchange_queue::has_room() const
{
    return this->exchanges.size() < this->limits.requests &&
           this->bytes_behind_first() < this->limits.request_bytes &&
           this->answer_bytes < this->limits.answer_bytes;
}

std::size_t exchange_queue::bytes_behind_first() const
{
    return this->exchanges.empty() ? 0
                                   : this->request_bytes - this->exchanges.front().request.bytes;
}

void exchange_queue::add(const queued_request& request)
{
    this->request_bytes += request.bytes;
    exchange added;
    added.request = request;
    this->exchanges.push_back(std::move(added));
}

void exchange_queue::add_refusal(http1::response refusal)
{
    exchange added;
    added.request.keep_alive = false;
    added.answer = std::move(refusal);
    added.is_refusal = true;
    this->exchanges.push_back(std::move(added));
}

bool exchange_queue::answer(request_number number, http1::response answer)
{
    const auto found = std::find_if(
        this->exchanges.begin(), this->exchanges.end(), [number](const exchange& each) {
            return !each.is_refusal && !each.answer && each.request.number == number;
        });
    if (found == this->exchanges.end()) {
        return false;
    }
    found->answer_bytes = answer.body.size();
    this->answer_bytes += found->answer_bytes;
    found->answer = std::move(answer);
    return true;
}

bool exchange_queue::answer_is_due() const
{
    return !this->exchanges.empty() && this->exchanges.front().answer.has_value();
}

answer_parts exchange_queue::write_first(bool daemon_keeps_connections)
{
    auto& first = this->exchanges.front();
    const bool stops_here = !daemon_keeps_connections && this->exchanges.size() == 1;
    auto& answer = *first.answer;
    answer.keep_alive = answer.keep_alive && first.request.keep_alive && !stops_here;
    first.request.keep_alive = answer.keep_alive;
    const bool is_head = first.request.is_head;
    answer_parts parts;
    parts.head = http1::write_response_head(answer, is_head);
    if (http1::sends_body(answer, is_head)) {
        parts.body = std::move(answer.body);
    }
    answer = {};
    return parts;
}

bool exchange_queue::first_is_sent()
{
    const auto& first = this->exchanges.front();
    const bool keeps = first.request.keep_alive;
    this->request_bytes -= first.request.bytes;
    this->answer_bytes -= first.answer_bytes;
    this->exchanges.pop_front();
    return keeps;
}

std::vector<request_number> exchange_queue::clear()
{
    std::vector<request_number> unanswered;
    for (const auto& each : std::exchange(this->exchanges, {})) {
        if (!each.answer) {
            unanswered.push_back(each.request.number);
        }
    }
    this->request_bytes = 0;
    this->answer_bytes = 0;
    return unanswered;
}

} // namespace azureshore::gateway::detail
