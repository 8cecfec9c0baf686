#include "azureshore/routing/internal/ticket_queue.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::routing::detail {

namespace {

// Requests with more time left than this are equally urgent.
constexpr duration max_urgency_time = std::chrono::milliseconds(200);

// Number of waiting requests per caller that are not moved back in the queue.
constexpr std::int64_t unpenalised_tickets_per_caller = 4;

} // namespace

void ticket_queue::push(queued_ticket waiting, duration grant_interval)
{
    auto& queued_of_caller = this->callers[waiting.caller];
    const auto round_duration = grant_interval * static_cast<std::int64_t>(this->callers.size());
    const auto due =
        waiting.arrived + std::min(waiting.deadline - waiting.arrived, max_urgency_time) +
        round_duration *
            std::max<std::int64_t>(0, queued_of_caller - unpenalised_tickets_per_caller);
    ++queued_of_caller;
    key name{waiting.vm, waiting.ticket};
    const auto place = this->entries.insert({due, this->next_sequence++, std::move(waiting)}).first;
    this->places[std::move(name)] = place;
}

queued_ticket ticket_queue::remove(iterator place)
{
    auto taken = std::move(this->entries.extract(place).value().waiting);
    this->places.erase({taken.vm, taken.ticket});
    const auto caller = this->callers.find(taken.caller);
    if (--caller->second == 0) {
        this->callers.erase(caller);
    }
    return taken;
}

ticket_queue::iterator ticket_queue::find(const vm_id& vm, std::uint64_t ticket) const
{
    const auto found = this->places.find({vm, ticket});
    return found == this->places.end() ? this->entries.end() : found->second;
}

} // namespace azureshore::routing::detail
