#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace azureshore::outcomes::testing {

// Checks the invariants of sendings, independently of how the engine maintains them.
class oracle {
public:
    // One sending of a request by a caller. Sendings of the same order request the same work.
    struct sending {
        std::uint64_t order = 0;
        bool idempotent = false;
        bool keyed = false;
        // Whether the caller still waits: it has not disconnected, and its VM is alive.
        bool awaits_response = true;
        unsigned responses = 0;
        bool claimed_not_run = false;
        unsigned runs = 0;
    };

    std::uint64_t sent(std::uint64_t order, bool idempotent, bool keyed)
    {
        this->sendings.push_back({order, idempotent, keyed});
        return this->sendings.size() - 1;
    }

    void caller_gone(std::uint64_t id) { this->sendings[id].awaits_response = false; }

    // A backend server ran the request of the sending.
    void ran(std::uint64_t id)
    {
        auto& state = this->sendings[id];
        ++state.runs;
        this->report_if(state.claimed_not_run, id, "ran after its caller got the claim not_run");
        if (!state.idempotent) {
            this->report_if(state.runs > 1, id, "ran twice");
            this->report_if(state.keyed && ++this->runs_by_order[state.order] > 1, id,
                            "is of an order that ran twice");
        }
    }

    void answered(std::uint64_t id, std::uint64_t answered_order)
    {
        this->count_response(id);
        this->report_if(answered_order != this->sendings[id].order, id,
                        "got the answer of another order");
    }

    // A refusal may claim not_run only if no sending of its keyed order ran; this must also hold
    // while the log is unavailable.
    void refused(std::uint64_t id, bool not_run)
    {
        this->count_response(id);
        auto& state = this->sendings[id];
        state.claimed_not_run = not_run;
        this->report_if(not_run && state.runs > 0, id, "got the claim not_run, but ran");
        this->report_if(not_run && this->order_ran(id), id,
                        "got the claim not_run for an order that ran");
    }

    [[nodiscard]] bool order_ran(std::uint64_t id) const
    {
        const auto it = this->runs_by_order.find(this->sendings[id].order);
        return this->sendings[id].keyed && it != this->runs_by_order.end() && it->second > 0;
    }

    // Called at the end of a schedule: each waiting caller must have a response.
    void finish()
    {
        for (std::uint64_t id = 0; id < this->sendings.size(); ++id) {
            this->report_if(this->sendings[id].awaits_response && this->sendings[id].responses == 0,
                            id, "got no response");
        }
    }

    std::vector<std::string> violations;

private:
    void count_response(std::uint64_t id)
    {
        this->report_if(++this->sendings[id].responses > 1, id, "got two responses");
    }

    void report_if(bool violated, std::uint64_t id, const std::string& description)
    {
        if (violated) {
            this->violations.push_back("sending " + std::to_string(id) + ' ' + description);
        }
    }

    std::vector<sending> sendings;
    std::map<std::uint64_t, unsigned> runs_by_order;
};

} // namespace azureshore::outcomes::testing
