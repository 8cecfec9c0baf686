#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace azureshore::routing::detail {

// A permit request that waits at the leader.
struct queued_ticket {
    vm_id vm;
    std::uint64_t ticket = 0;
    time_point arrived;
    time_point deadline;
    std::string caller;
    std::vector<backend_id> avoid;
};

// A fair queue of permit requests. Requests are ordered by arrival time; the time left until the
// deadline delays a request by up to `max_urgency_time`, so more urgent requests come sooner. Each
// request of a caller beyond `unpenalised_tickets_per_caller` is moved back by one round of all
// callers, so a caller with many requests delays itself and not the others.
class ticket_queue {
public:
    struct entry {
        time_point due;
        std::uint64_t sequence = 0;
        queued_ticket waiting;
    };

    struct earlier_due {
        bool operator()(const entry& left, const entry& right) const
        {
            return std::tie(left.due, left.sequence) < std::tie(right.due, right.sequence);
        }
    };

    using container = std::set<entry, earlier_due>;
    using iterator = container::const_iterator;

    // Queues a ticket. `grant_interval` is the expected time between two grants.
    void push(queued_ticket waiting, duration grant_interval);
    // Removes and returns a ticket.
    queued_ticket remove(iterator place);
    [[nodiscard]] iterator find(const vm_id& vm, std::uint64_t ticket) const;

    [[nodiscard]] iterator begin() const { return this->entries.begin(); }
    [[nodiscard]] iterator end() const { return this->entries.end(); }
    [[nodiscard]] bool empty() const { return this->entries.empty(); }
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    using key = std::pair<vm_id, std::uint64_t>;

    container entries;
    std::map<key, iterator> places;
    std::unordered_map<std::string, std::int64_t> callers;
    std::uint64_t next_sequence = 0;
};

} // namespace azureshore::routing::detail
