#pragma once

#include "azureshore/core/ids.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace azureshore::membership::detail {

// Queues the VMs whose state is to be gossiped; those sent least often come first.
class gossip_queue {
public:
    // Adds a VM, or resets its transmission count if it is queued already.
    void enqueue(const vm_id& subject)
    {
        this->remove(subject);
        this->transmission_counts.emplace(subject, 0);
        this->by_transmission_count.emplace(0, subject);
    }

    void remove(const vm_id& subject)
    {
        const auto found = this->transmission_counts.find(subject);
        if (found != this->transmission_counts.end()) {
            this->by_transmission_count.erase({found->second, subject});
            this->transmission_counts.erase(found);
        }
    }

    // Returns up to `count` VMs. Each is removed from the queue once it was taken `limit` times.
    std::vector<vm_id> take(std::size_t count, std::size_t limit)
    {
        std::vector<vm_id> taken;
        for (const auto& [transmissions, subject] : this->by_transmission_count) {
            if (taken.size() == count) {
                break;
            }
            taken.push_back(subject);
        }
        for (const auto& subject : taken) {
            this->count_transmission(subject, limit);
        }
        return taken;
    }

private:
    void count_transmission(const vm_id& subject, std::size_t limit)
    {
        const auto transmissions = this->transmission_counts.at(subject) + 1;
        this->remove(subject);
        if (transmissions < limit) {
            this->transmission_counts.emplace(subject, transmissions);
            this->by_transmission_count.emplace(transmissions, subject);
        }
    }

    std::map<vm_id, std::size_t> transmission_counts;
    std::set<std::pair<std::size_t, vm_id>> by_transmission_count;
};

} // namespace azureshore::membership::detail
