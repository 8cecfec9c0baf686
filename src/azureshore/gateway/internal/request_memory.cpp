#include "azureshore/gateway/internal/request_memory.hpp"

#include <utility>

namespace azureshore::gateway::detail {

request_memory::request_memory(std::size_t ceiling_bytes, clock time)
    : ceiling(ceiling_bytes), now(std::move(time))
{
}

bool request_memory::fits(const share& of, std::size_t bytes) const
{
    const auto kept = bytes > small_bytes ? this->ceiling / kept_divisor : 0;
    return this->held - of.taken + bytes + kept <= this->ceiling;
}

// Returns false when no other holder is stalled.
bool request_memory::reclaim_one(const share& by)
{
    for (auto* each : this->reclaimable) {
        if (this->now() - each->moved_at < this->patience) {
            return false;
        }
        if (each != &by) {
            ++this->reclaimed;
            const auto give_up = std::exchange(each->give_up, nullptr);
            this->reclaimable.erase(each->place);
            give_up();
            return true;
        }
    }
    return false;
}

request_memory::share::~share()
{
    this->must_stay();
    this->account->held -= this->taken;
}

bool request_memory::share::resize(std::size_t bytes)
{
    if (bytes > this->taken) {
        while (!this->account->fits(*this, bytes)) {
            if (!this->account->reclaim_one(*this)) {
                ++this->account->refused;
                return false;
            }
        }
    }
    this->force(bytes);
    return true;
}

void request_memory::share::force(std::size_t bytes)
{
    this->account->held = this->account->held - this->taken + bytes;
    this->taken = bytes;
}

void request_memory::share::may_be_reclaimed(std::function<void()> how)
{
    this->must_stay();
    this->give_up = std::move(how);
    this->moved = 0;
    this->moved_at = this->account->now();
    this->place = this->account->reclaimable.insert(this->account->reclaimable.end(), this);
}

void request_memory::share::must_stay()
{
    if (this->give_up) {
        this->give_up = nullptr;
        this->account->reclaimable.erase(this->place);
    }
}

void request_memory::share::progressed(std::size_t bytes)
{
    this->moved += bytes;
    if (this->give_up && this->moved >= progress_bytes) {
        this->moved = 0;
        this->moved_at = this->account->now();
        auto& all = this->account->reclaimable;
        all.splice(all.end(), all, this->place);
    }
}

} // namespace azureshore::gateway::detail
