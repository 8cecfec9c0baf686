#include "ideal_queue.hpp"

#include "azureshore/core/random.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>

namespace azureshore::bench {

namespace {

struct ideal_request {
    std::size_t kind = 0;
    time_point arrived;
};

class ideal_queue {
public:
    ideal_queue(const load_deployment& served, std::uint64_t seed)
        : deployment(served), random(seeded_random(seed)), results(served.kinds.size()),
          free_slots(served.servers * fast_slots)
    {
    }

    void run(double load, duration span)
    {
        double total = 0;
        for (const auto& each : this->deployment.kinds) {
            total += each.rate;
        }
        const double per_second = load * this->deployment.capacity();
        auto now = time_point{};
        while (now < time_point{} + span) {
            const std::chrono::duration<double> gap(-std::log(1 - uniform(this->random)) /
                                                    per_second);
            now += std::chrono::duration_cast<duration>(gap);
            this->end_runs(now);
            this->arrive(now, uniform(this->random) * total);
        }
        this->end_runs(time_point::max());
    }

    std::vector<kind_result> take() { return this->results; }

private:
    void arrive(time_point now, double choice)
    {
        std::size_t kind = 0;
        while (kind + 1 < this->results.size() && choice >= this->deployment.kinds[kind].rate) {
            choice -= this->deployment.kinds[kind++].rate;
        }
        ++this->results[kind].requests;
        this->waiting.push_back({kind, now});
        this->start(now);
    }

    void end_runs(time_point until)
    {
        while (!this->ends.empty() && this->ends.top() <= until) {
            const auto now = this->ends.top();
            this->ends.pop();
            ++this->free_slots;
            this->start(now);
        }
    }

    // Returns the worth of starting a request now for each second of work, or zero if it would not
    // end before its deadline.
    [[nodiscard]] double value(time_point now, const ideal_request& request) const
    {
        const auto& kind = this->deployment.kinds[request.kind];
        const auto end = now + kind.work - request.arrived;
        const double worth = end > std::min(kind.caller_timeout, kind.route_timeout) ? 0
                             : end > kind.target ? kind.worth_late
                                                 : kind.worth_in_time;
        return worth / std::chrono::duration<double>(kind.work).count();
    }

    void start(time_point now)
    {
        while (this->free_slots > 0 && !this->waiting.empty()) {
            std::erase_if(this->waiting,
                          [&](const auto& each) { return this->value(now, each) <= 0; });
            const auto best =
                std::max_element(this->waiting.begin(), this->waiting.end(),
                                 [&](const auto& left, const auto& right) {
                                     return this->value(now, left) < this->value(now, right);
                                 });
            if (best == this->waiting.end()) {
                return;
            }
            const auto request = *best;
            this->waiting.erase(best);
            --this->free_slots;
            const auto& kind = this->deployment.kinds[request.kind];
            const auto end = now + std::chrono::duration_cast<duration>(
                                       kind.work * (0.7 + 0.6 * uniform(this->random)));
            this->ends.push(end);
            auto& result = this->results[request.kind];
            ++(end - request.arrived <= kind.target ? result.in_time : result.late);
        }
    }

    const load_deployment& deployment;
    random_source random;
    std::vector<kind_result> results;
    std::size_t free_slots;
    std::vector<ideal_request> waiting;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> ends;
};

} // namespace

std::vector<kind_result> serve_ideally(const load_deployment& deployment, double load,
                                       duration span, std::uint64_t seed)
{
    ideal_queue queue(deployment, seed);
    queue.run(load, span);
    return queue.take();
}

} // namespace azureshore::bench
