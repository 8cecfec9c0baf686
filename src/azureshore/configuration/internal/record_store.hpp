#pragma once

#include "azureshore/wire/configuration_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::configuration::detail {

// Records that came before an earlier one, until that one is there.
class pending_records {
public:
    explicit pending_records(std::size_t most) : limit(most) {}

    void add(std::uint64_t offset, const std::string& bytes);

    // Removes and gives the record at an offset.
    std::optional<std::string> take(std::uint64_t offset);

    // Forgets all below an offset.
    void drop_below(std::uint64_t offset);

    // The first offset from `from` on that is not here.
    [[nodiscard]] std::uint64_t first_missing(std::uint64_t from) const;

    // Below this, records were forgotten to keep within the limit.
    [[nodiscard]] std::uint64_t floor() const { return this->forgotten_below; }

private:
    std::size_t limit;
    std::uint64_t forgotten_below = 0;
    std::map<std::uint64_t, std::string> records;
};

// The last folded records as they came, for peers that lack a few.
class kept_records {
public:
    kept_records(std::size_t most_records, std::size_t most_bytes)
        : record_limit(most_records), byte_limit(most_bytes)
    {
    }

    void add(wire::configuration_record record);
    void clear();

    // All records from an offset on, or nothing when the first of them is gone.
    [[nodiscard]] std::optional<std::vector<wire::configuration_record>>
    from(std::uint64_t offset) const;

private:
    std::size_t record_limit;
    std::size_t byte_limit;
    std::size_t bytes = 0;
    std::deque<wire::configuration_record> records;
};

} // namespace azureshore::configuration::detail
