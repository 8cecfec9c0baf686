#pragma once

#include "azureshore/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace azureshore::gateway::detail {

// The one account of the memory that callers and backend servers cause: heads, bodies, bytes read
// ahead, and answers that wait. Takes no memory itself; who holds a share says how much it uses.
//
// A part is kept for small holders, so that large bodies leave room for ordinary requests. When
// room runs short, holders that have stopped moving bytes give up theirs.
class request_memory {
public:
    using clock = std::function<time_point()>;

    // A holder of up to this many bytes may use the part that is kept for small ones.
    static constexpr std::size_t small_bytes = 64UL * 1024UL;
    // The part of the account that is kept for small holders, as a divisor.
    static constexpr std::size_t kept_divisor = 10;
    // Fewer bytes than this don't count as progress, unless they are the last ones.
    static constexpr std::size_t progress_bytes = 4UL * 1024UL;

    explicit request_memory(std::size_t ceiling_bytes, clock time = steady_now);

    // A holder without progress for so long gives up its share when room is short.
    void set_patience(duration time) { this->patience = time; }

    [[nodiscard]] std::size_t held_bytes() const { return this->held; }
    [[nodiscard]] std::size_t ceiling_bytes() const { return this->ceiling; }

    // How often there was no room, and how often a holder gave up its share.
    [[nodiscard]] std::uint64_t refusals() const { return this->refused; }
    [[nodiscard]] std::uint64_t reclaims() const { return this->reclaimed; }

    // The part of one holder.
    class share {
    public:
        explicit share(std::shared_ptr<request_memory> from) : account(std::move(from)) {}
        ~share();
        share(const share&) = delete;
        share& operator=(const share&) = delete;
        share(share&&) = delete;
        share& operator=(share&&) = delete;

        // Sets how much is held. Returns false, and changes nothing, if there is no room for more,
        // even after stalled holders have given up theirs.
        [[nodiscard]] bool resize(std::size_t bytes);

        // The same for memory that is in use in any case.
        void force(std::size_t bytes);

        // From now on `give_up` may be called from within another share's `resize`, once, when
        // this one has made no progress; it must give the memory back at once.
        void may_be_reclaimed(std::function<void()> give_up);
        void must_stay();

        // So many bytes of the holder's message have moved.
        void progressed(std::size_t bytes);

        [[nodiscard]] std::size_t bytes() const { return this->taken; }

    private:
        friend class request_memory;

        std::shared_ptr<request_memory> account;
        std::size_t taken = 0;
        std::size_t moved = 0;
        time_point moved_at{};
        std::function<void()> give_up;
        std::list<share*>::iterator place;
    };

private:
    [[nodiscard]] bool fits(const share& of, std::size_t bytes) const;
    bool reclaim_one(const share& by);

    std::size_t ceiling;
    clock now;
    duration patience = std::chrono::seconds(5);
    std::size_t held = 0;
    std::uint64_t refused = 0;
    std::uint64_t reclaimed = 0;
    // Holders that may give up their shares, the longest without progress first.
    std::list<share*> reclaimable;
};

using memory_share = request_memory::share;

} // namespace azureshore::gateway::detail
