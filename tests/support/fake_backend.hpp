#pragma once

#include "azureshore/routing/service_router.hpp"
#include "support/virtual_clock.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <string>
#include <utility>

namespace azureshore::fakes {

// Describes the behaviour of a fake backend server.
struct backend_traits {
    unsigned slots = 2;
    // Requests that it can run at once while cold; it crashes on one more.
    unsigned cold_concurrency_limit = 1;
    duration cold_time = std::chrono::seconds(1);
    // Factor by which requests take longer while it is cold.
    double cold_slowdown = 3;
    duration restart_time = std::chrono::milliseconds(300);
    // It tolerates the load present when it turned cold for this long.
    duration overload_grace_time = std::chrono::milliseconds(20);
    // Requests that may wait for a slot; one more is refused.
    unsigned backlog = 4;
    // Whether it reports the lower number of slots while it is cold.
    bool reports_cold = true;
    // Refuses every request at once but answers probes as healthy.
    bool fails_fast = false;
    // Number of requests by which its reported load is too high.
    unsigned reported_load_error = 0;
};

// One request at a backend server.
struct job {
    std::uint64_t id = 0;
    int vm = 0;
    duration service_time{};
    time_point deadline;
    bool probe = false;
    // Whether the leader granted the permit knowing that the backend server is cold.
    bool leader_knew_cold = false;
    std::function<void(wire::usage)> done;
};

// A fake backend server with slots, a short queue and a cold start, which crashes under overload.
class fake_backend {
public:
    fake_backend(virtual_clock& shared_clock, std::string backend_name, backend_traits behaviour)
        : traits(behaviour), clock(shared_clock), name(std::move(backend_name))
    {
    }

    void start_cold()
    {
        this->cold_until = this->clock.now() + this->traits.cold_time;
        this->turned_cold_at = {};
    }

    // Turns cold without a restart and without telling anyone, whatever its load.
    void turn_cold()
    {
        this->start_cold();
        this->turned_cold_at = this->clock.now();
        this->clock.after(this->traits.overload_grace_time, [this] {
            if (this->cold() && this->load() > this->traits.cold_concurrency_limit) {
                this->crash();
            }
        });
    }

    void crash()
    {
        ++this->crashes;
        ++this->run_number;
        this->running = false;
        auto lost = std::exchange(this->working, {});
        lost.insert(lost.end(), this->waiting.begin(), this->waiting.end());
        this->waiting.clear();
        for (const auto& each : lost) {
            each.done(wire::usage::failed);
        }
        this->clock.after(this->traits.restart_time, [this] {
            this->running = true;
            this->start_cold();
        });
    }

    void arrive(job arrived)
    {
        if (!this->running || this->traits.fails_fast) {
            const bool healthy = this->running && arrived.probe;
            arrived.done(healthy ? wire::usage::succeeded : wire::usage::refused);
            return;
        }
        if (this->waiting.size() >= this->traits.backlog) {
            arrived.done(wire::usage::refused);
            return;
        }
        this->accepted += arrived.probe ? 0 : 1;
        this->waiting.push_back(std::move(arrived));
        this->record_load();
        if (this->cold() && this->load() > this->traits.cold_concurrency_limit &&
            this->overload_grace_is_over()) {
            this->crash();
            return;
        }
        this->start_queued();
    }

    // Closes the connections of a VM, which cancels its requests.
    void cancel_all_from(int vm)
    {
        const auto from_vm = [vm](const job& each) {
            return each.vm == vm;
        };
        std::erase_if(this->waiting, from_vm);
        std::erase_if(this->working, from_vm);
        this->start_queued();
    }

    [[nodiscard]] bool cold() const { return this->clock.now() < this->cold_until; }
    [[nodiscard]] bool serving() const { return this->running; }
    [[nodiscard]] instance_id instance() const
    {
        return {this->name + '#' + std::to_string(this->run_number)};
    }
    // Returns the number of queued and running requests, without probes.
    [[nodiscard]] unsigned load() const
    {
        const auto is_request = [](const job& each) {
            return !each.probe;
        };
        return static_cast<unsigned>(
            std::count_if(this->waiting.begin(), this->waiting.end(), is_request) +
            std::count_if(this->working.begin(), this->working.end(), is_request));
    }
    [[nodiscard]] wire::load_report report() const
    {
        const bool reports_cold = this->cold() && this->traits.reports_cold;
        return {this->load() + this->traits.reported_load_error,
                reports_cold ? this->traits.cold_concurrency_limit : this->traits.slots};
    }

    backend_traits traits;
    // The largest load while it was cold after a start.
    unsigned max_load_after_cold_start = 0;
    // The largest number of queued and running requests, while it was cold, whose permits the
    // leader granted knowing that it was cold.
    unsigned max_load_known_cold = 0;
    // Arrivals that exceeded `cold_concurrency_limit` while it was cold, whether after a start or
    // after `turn_cold`. Arrivals during `overload_grace_time` are not counted.
    unsigned arrivals_over_cold_limit = 0;
    unsigned max_load = 0;
    unsigned crashes = 0;
    std::uint64_t accepted = 0;
    std::uint64_t completed = 0;

private:
    [[nodiscard]] bool overload_grace_is_over() const
    {
        return this->turned_cold_at == time_point{} ||
               this->clock.now() > this->turned_cold_at + this->traits.overload_grace_time;
    }

    void record_load()
    {
        const auto current_load = this->load();
        this->max_load = std::max(this->max_load, current_load);
        if (!this->cold()) {
            return;
        }
        this->max_load_known_cold = std::max(this->max_load_known_cold, this->count_known_cold());
        this->arrivals_over_cold_limit +=
            current_load > this->traits.cold_concurrency_limit && this->overload_grace_is_over()
                ? 1
                : 0;
        if (this->turned_cold_at == time_point{}) {
            this->max_load_after_cold_start =
                std::max(this->max_load_after_cold_start, current_load);
        }
    }

    [[nodiscard]] unsigned count_known_cold() const
    {
        const auto known_cold = [](const job& each) {
            return each.leader_knew_cold;
        };
        return static_cast<unsigned>(
            std::count_if(this->waiting.begin(), this->waiting.end(), known_cold) +
            std::count_if(this->working.begin(), this->working.end(), known_cold));
    }

    void start_queued()
    {
        while (!this->waiting.empty() && this->working.size() < this->traits.slots) {
            auto next = std::move(this->waiting.front());
            this->waiting.pop_front();
            next.id = ++this->next_id;
            const double factor = this->cold() && !next.probe ? this->traits.cold_slowdown : 1;
            const auto length = duration(
                static_cast<std::int64_t>(static_cast<double>(next.service_time.count()) * factor));
            const auto end = std::min(this->clock.now() + length, next.deadline);
            const bool deadline_passed = end == next.deadline;
            this->clock.at(std::max(end, this->clock.now()), [this, id = next.id, deadline_passed] {
                this->end(id, deadline_passed);
            });
            this->working.push_back(std::move(next));
        }
    }

    void end(std::uint64_t id, bool deadline_passed)
    {
        const auto place = std::find_if(this->working.begin(), this->working.end(),
                                        [id](const job& each) { return each.id == id; });
        if (place == this->working.end()) {
            return;
        }
        const auto ended = std::move(*place);
        this->working.erase(place);
        this->completed += deadline_passed ? 0 : 1;
        this->start_queued();
        ended.done(deadline_passed ? wire::usage::cancelled : wire::usage::succeeded);
    }

    virtual_clock& clock;
    std::string name;
    bool running = true;
    unsigned run_number = 1;
    time_point cold_until;
    time_point turned_cold_at;
    std::uint64_t next_id = 0;
    std::deque<job> waiting;
    std::deque<job> working;
};

} // namespace azureshore::fakes
