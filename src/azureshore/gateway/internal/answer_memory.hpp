#pragma once

#include "azureshore/gateway/internal/request_memory.hpp"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace azureshore::gateway::detail {

// The memory that all answers together may take until they are passed on, a part of the account for
// requests. A backend server in trouble may send bytes without end, so a large answer may take at
// most as much as is still free for large ones: few of them get much of it. The rest is left to
// small answers.
class answer_memory {
public:
    static constexpr std::size_t max_bytes = 64UL * 1024UL * 1024UL;
    static constexpr std::size_t max_bytes_for_large = 40UL * 1024UL * 1024UL;
    static constexpr std::size_t small_answer_bytes = 64UL * 1024UL;

    // Without an account, answers are bounded by themselves.
    answer_memory() : answer_memory(std::make_shared<request_memory>(max_bytes)) {}

    explicit answer_memory(std::shared_ptr<request_memory> in) : account(std::move(in))
    {
        const auto ceiling = this->account->ceiling_bytes();
        this->most = std::min(max_bytes, ceiling);
        this->most_for_large = std::min(max_bytes_for_large, ceiling / 8 * 5);
    }

    [[nodiscard]] std::size_t held_bytes() const { return this->held; }

    // The part of the memory that one answer takes.
    class share {
    public:
        explicit share(std::shared_ptr<answer_memory> from)
            : memory(std::move(from)), in_account(this->memory->account)
        {
        }
        ~share() { this->release(); }
        share(const share&) = delete;
        share& operator=(const share&) = delete;
        share(share&&) = delete;
        share& operator=(share&&) = delete;

        // So many more bytes came. Returns false if the answer has become too large.
        [[nodiscard]] bool grow(std::size_t bytes)
        {
            this->came += bytes;
            return this->reserve(this->came);
        }

        // Takes memory for this many bytes in all, unless it has more.
        [[nodiscard]] bool reserve(std::size_t bytes)
        {
            if (bytes <= this->taken) {
                return true;
            }
            if (!this->in_account.resize(bytes)) {
                this->no_room = true;
                return false;
            }
            this->memory->held += bytes - std::exchange(this->taken, bytes);
            return this->taken <= small_answer_bytes
                       ? this->memory->held <= this->memory->most
                       : this->memory->held + this->taken <= this->memory->most_for_large;
        }

        // Whether memory was refused because others have it, and not because the answer is large.
        [[nodiscard]] bool short_of_room() const { return this->no_room; }

        void release()
        {
            this->memory->held -= std::exchange(this->taken, 0);
            this->came = 0;
            this->in_account.force(0);
        }

    private:
        std::shared_ptr<answer_memory> memory;
        memory_share in_account;
        std::size_t taken = 0;
        std::size_t came = 0;
        bool no_room = false;
    };

private:
    std::shared_ptr<request_memory> account;
    std::size_t most = 0;
    std::size_t most_for_large = 0;
    std::size_t held = 0;
};

} // namespace azureshore::gateway::detail
