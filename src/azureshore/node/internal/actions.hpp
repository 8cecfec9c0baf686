#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace azureshore::node::detail {

using action = std::function<void()>;

// Runs decisions under one lock and their effects outside it. Effects on the same shard are run
// under the lock once the decision that caused them has returned, so that no decision object is
// entered twice.
class action_queue {
public:
    // Adds an effect on this shard.
    void inside(action effect) { this->inner.push_back(std::move(effect)); }

    // Adds an effect on the world outside.
    void outside(action effect) { this->outer.push_back(std::move(effect)); }

    // Runs one decision, all that follows from it, and at last `settle`, such as setting timers.
    template <class Decision, class Settle>
    void run(Decision decide, Settle settle)
    {
        std::vector<action> effects;
        {
            const std::lock_guard hold(this->lock);
            decide();
            this->drain_inner();
            settle();
            effects = std::exchange(this->outer, {});
        }
        for (const auto& each : effects) {
            each();
        }
    }

    // Reads under the lock.
    template <class Reader>
    auto look(Reader reader) const
    {
        const std::lock_guard hold(this->lock);
        return reader();
    }

private:
    void drain_inner()
    {
        // Effects may add further ones.
        while (!this->inner.empty()) {
            const auto effect = std::move(this->inner.front());
            this->inner.pop_front();
            effect();
        }
    }

    mutable std::mutex lock;
    std::deque<action> inner;
    std::vector<action> outer;
};

} // namespace azureshore::node::detail
