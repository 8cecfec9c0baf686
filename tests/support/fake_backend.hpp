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

// How a backend server behaves.
struct backend_traits {
    unsigned slots = 2;
    // What it bears while cold; one request more and it falls over.
    unsigned bears_cold = 1;
    duration cold_time = std::chrono::seconds(1);
    // How much slower it works while cold.
    double cold_slowdown = 3;
    duration restart_time = std::chrono::milliseconds(300);
    // A load that was there when it turned cold is borne for this long.
    duration turn_grace = std::chrono::milliseconds(20);
    // Requests that may wait for a slot; one more is refused.
    unsigned backlog = 4;
    // Whether its reported slots tell that it is cold.
    bool reports_cold = true;
    // Every request fails at once, while probes are answered as healthy.
    bool fails_fast = false;
    // The load that it reports is that much too high.
    unsigned reports_too_much = 0;
};

// One request at a backend server.
struct job {
    std::uint64_t id = 0;
    int vm = 0;
    duration work{};
    time_point deadline;
    bool probe = false;
    // Its permit was given in the knowledge that the backend server is cold.
    bool informed = false;
    std::function<void(wire::usage)> done;
};

// A backend server with slots, a short queue, a cold start and a habit of falling over.
class fake_backend {
public:
    fake_backend(virtual_clock& shared_clock, std::string called, backend_traits behaviour)
        : traits(behaviour), clock(shared_clock), name(std::move(called))
    {
    }

    void start_cold()
    {
        this->cold_until = this->clock.now() + this->traits.cold_time;
        this->turned_at = {};
    }

    // Turns cold without a word, whatever it carries.
    void turn_cold()
    {
        this->start_cold();
        this->turned_at = this->clock.now();
        this->clock.after(this->traits.turn_grace, [this] {
            if (this->cold() && this->load() > this->traits.bears_cold) {
                this->crash();
            }
        });
    }

    void crash()
    {
        ++this->crashes;
        ++this->run;
        this->up = false;
        auto lost = std::exchange(this->working, {});
        lost.insert(lost.end(), this->waiting.begin(), this->waiting.end());
        this->waiting.clear();
        for (const auto& each : lost) {
            each.done(wire::usage::failed);
        }
        this->clock.after(this->traits.restart_time, [this] {
            this->up = true;
            this->start_cold();
        });
    }

    void arrive(job wanted)
    {
        if (!this->up || this->traits.fails_fast) {
            const bool healthy = this->up && wanted.probe;
            wanted.done(healthy ? wire::usage::succeeded : wire::usage::refused);
            return;
        }
        if (this->waiting.size() >= this->traits.backlog) {
            wanted.done(wire::usage::refused);
            return;
        }
        this->ran += wanted.probe ? 0 : 1;
        this->waiting.push_back(std::move(wanted));
        this->note_load();
        if (this->cold() && this->load() > this->traits.bears_cold && this->turn_is_over()) {
            this->crash();
            return;
        }
        this->work();
    }

    // Cuts the connections of a VM, and so cancels what it runs here.
    void cancel_all_of(int vm)
    {
        const auto gone = [vm](const job& each) {
            return each.vm == vm;
        };
        std::erase_if(this->waiting, gone);
        std::erase_if(this->working, gone);
        this->work();
    }

    [[nodiscard]] bool cold() const { return this->clock.now() < this->cold_until; }
    [[nodiscard]] bool serving() const { return this->up; }
    [[nodiscard]] instance_id instance() const
    {
        return {this->name + '#' + std::to_string(this->run)};
    }
    // Requests here, probes not counted.
    [[nodiscard]] unsigned load() const
    {
        const auto real = [](const job& each) {
            return !each.probe;
        };
        return static_cast<unsigned>(
            std::count_if(this->waiting.begin(), this->waiting.end(), real) +
            std::count_if(this->working.begin(), this->working.end(), real));
    }
    [[nodiscard]] wire::load_report report() const
    {
        const bool tells = this->cold() && this->traits.reports_cold;
        return {this->load() + this->traits.reports_too_much,
                tells ? this->traits.bears_cold : this->traits.slots};
    }

    backend_traits traits;
    // The most requests that it held while it was cold from its start.
    unsigned max_load_after_cold_start = 0;
    // The most such requests that it held while cold whose leader knew of it.
    unsigned most_informed = 0;
    // Arrivals that were more than it bore while cold, whatever made it cold.
    unsigned arrivals_over_cold_limit = 0;
    unsigned max_load = 0;
    unsigned crashes = 0;
    std::uint64_t ran = 0;
    std::uint64_t worked = 0;

private:
    [[nodiscard]] bool turn_is_over() const
    {
        return this->turned_at == time_point{} ||
               this->clock.now() > this->turned_at + this->traits.turn_grace;
    }

    void note_load()
    {
        const auto now_here = this->load();
        this->max_load = std::max(this->max_load, now_here);
        if (!this->cold()) {
            return;
        }
        this->most_informed = std::max(this->most_informed, this->count_informed());
        this->arrivals_over_cold_limit +=
            now_here > this->traits.bears_cold && this->turn_is_over() ? 1 : 0;
        if (this->turned_at == time_point{}) {
            this->max_load_after_cold_start = std::max(this->max_load_after_cold_start, now_here);
        }
    }

    [[nodiscard]] unsigned count_informed() const
    {
        const auto informed = [](const job& each) {
            return each.informed;
        };
        return static_cast<unsigned>(
            std::count_if(this->waiting.begin(), this->waiting.end(), informed) +
            std::count_if(this->working.begin(), this->working.end(), informed));
    }

    void work()
    {
        while (!this->waiting.empty() && this->working.size() < this->traits.slots) {
            auto next = std::move(this->waiting.front());
            this->waiting.pop_front();
            next.id = ++this->next_id;
            const double factor = this->cold() && !next.probe ? this->traits.cold_slowdown : 1;
            const auto length = duration(
                static_cast<std::int64_t>(static_cast<double>(next.work.count()) * factor));
            const auto end = std::min(this->clock.now() + length, next.deadline);
            const bool cut = end == next.deadline;
            this->clock.at(std::max(end, this->clock.now()),
                           [this, id = next.id, cut] { this->end(id, cut); });
            this->working.push_back(std::move(next));
        }
    }

    void end(std::uint64_t id, bool cut)
    {
        const auto place = std::find_if(this->working.begin(), this->working.end(),
                                        [id](const job& each) { return each.id == id; });
        if (place == this->working.end()) {
            return;
        }
        const auto ended = std::move(*place);
        this->working.erase(place);
        this->worked += cut ? 0 : 1;
        this->work();
        ended.done(cut ? wire::usage::cancelled : wire::usage::succeeded);
    }

    virtual_clock& clock;
    std::string name;
    bool up = true;
    unsigned run = 1;
    time_point cold_until;
    time_point turned_at;
    std::uint64_t next_id = 0;
    std::deque<job> waiting;
    std::deque<job> working;
};

} // namespace azureshore::fakes
