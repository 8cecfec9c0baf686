#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace azureshore::outcomes::testing {

// What may never happen, and nothing of how it is avoided.
class oracle {
public:
    // One sending of a request by a caller. Sendings of one order ask for the same work.
    struct sending {
        std::uint64_t order = 0;
        bool idempotent = false;
        bool keyed = false;
        // Whether its caller still waits: it has not hung up, and its VM lives.
        bool due = true;
        unsigned words = 0;
        bool claimed_not_run = false;
        unsigned runs = 0;
    };

    std::uint64_t sent(std::uint64_t order, bool idempotent, bool keyed)
    {
        this->sendings.push_back({order, idempotent, keyed});
        return this->sendings.size() - 1;
    }

    void gone(std::uint64_t id) { this->sendings[id].due = false; }

    // A backend server runs the sending's request.
    void ran(std::uint64_t id)
    {
        auto& of = this->sendings[id];
        ++of.runs;
        this->blame(of.claimed_not_run, id, "ran after its caller was told that it did not");
        if (!of.idempotent) {
            this->blame(of.runs > 1, id, "ran twice for one sending");
            this->blame(of.keyed && ++this->runs_of_order[of.order] > 1, id, "order ran twice");
        }
    }

    void answered(std::uint64_t id, std::uint64_t order_of_answer)
    {
        this->word(id);
        this->blame(order_of_answer != this->sendings[id].order, id, "got another's answer");
    }

    // A refusal speaks of the whole order, also one that was given without the log.
    void refused(std::uint64_t id, bool not_run)
    {
        this->word(id);
        auto& of = this->sendings[id];
        of.claimed_not_run = not_run;
        this->blame(not_run && of.runs > 0, id, "was told not run, but ran");
        this->blame(not_run && this->order_ran(id), id, "was told not run of a run order");
    }

    [[nodiscard]] bool order_ran(std::uint64_t id) const
    {
        const auto at = this->runs_of_order.find(this->sendings[id].order);
        return this->sendings[id].keyed && at != this->runs_of_order.end() && at->second > 0;
    }

    // Called when all is over.
    void finish()
    {
        for (std::uint64_t id = 0; id < this->sendings.size(); ++id) {
            this->blame(this->sendings[id].due && this->sendings[id].words == 0, id, "got no word");
        }
    }

    std::vector<std::string> faults;

private:
    void word(std::uint64_t id)
    {
        this->blame(++this->sendings[id].words > 1, id, "got two words");
    }

    void blame(bool wrong, std::uint64_t id, const std::string& what)
    {
        if (wrong) {
            this->faults.push_back("sending " + std::to_string(id) + ' ' + what);
        }
    }

    std::vector<sending> sendings;
    std::map<std::uint64_t, unsigned> runs_of_order;
};

} // namespace azureshore::outcomes::testing
