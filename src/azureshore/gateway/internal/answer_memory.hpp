#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace azureshore::gateway::detail {

// The memory that all answers together may take while they are read. A backend server in trouble
// may send bytes without end, so a large answer may take at most as much as is still free for large
// ones: few of them get much of it. The rest is left to small answers.
class answer_memory {
public:
    static constexpr std::size_t max_bytes = 64UL * 1024UL * 1024UL;
    static constexpr std::size_t max_bytes_for_large = 40UL * 1024UL * 1024UL;
    static constexpr std::size_t small_answer_bytes = 64UL * 1024UL;

    [[nodiscard]] std::size_t held_bytes() const { return this->held; }

    // The part of the memory that one answer takes.
    class share {
    public:
        explicit share(std::shared_ptr<answer_memory> from) : memory(std::move(from)) {}
        ~share() { this->release(); }
        share(const share&) = delete;
        share& operator=(const share&) = delete;
        share(share&&) = delete;
        share& operator=(share&&) = delete;

        // Takes memory for more bytes. Returns false if the answer has become too large.
        [[nodiscard]] bool grow(std::size_t bytes)
        {
            this->taken += bytes;
            this->memory->held += bytes;
            return this->taken <= small_answer_bytes
                       ? this->memory->held <= max_bytes
                       : this->memory->held + this->taken <= max_bytes_for_large;
        }

        void release() { this->memory->held -= std::exchange(this->taken, 0); }

    private:
        std::shared_ptr<answer_memory> memory;
        std::size_t taken = 0;
    };

private:
    std::size_t held = 0;
};

} // namespace azureshore::gateway::detail
