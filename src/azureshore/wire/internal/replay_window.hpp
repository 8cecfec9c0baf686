#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace azureshore::wire::detail {

// Remembers which of the latest sequence numbers were seen; older ones count as seen.
class replay_window {
public:
    static constexpr std::size_t size = 1024;

    // Whether `sequence` is new; it is not from then on.
    bool take(std::uint64_t sequence)
    {
        if (sequence > this->highest) {
            this->advance_to(sequence);
        }
        else if (this->highest - sequence >= size || this->seen.test(sequence % size)) {
            return false;
        }
        this->seen.set(sequence % size);
        return true;
    }

private:
    void advance_to(std::uint64_t sequence)
    {
        if (sequence - this->highest >= size) {
            this->seen.reset();
        }
        else {
            for (auto skipped = this->highest + 1; skipped <= sequence; ++skipped) {
                this->seen.reset(skipped % size);
            }
        }
        this->highest = sequence;
    }

    std::uint64_t highest = 0;
    std::bitset<size> seen;
};

} // namespace azureshore::wire::detail
