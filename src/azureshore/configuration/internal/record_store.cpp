#include "azureshore/configuration/internal/record_store.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::configuration::detail {

void pending_records::add(std::uint64_t offset, const std::string& bytes)
{
    this->records.emplace(offset, bytes);
    if (this->records.size() > this->limit) {
        this->forgotten_below = std::max(this->forgotten_below, this->records.begin()->first + 1);
        this->records.erase(this->records.begin());
    }
}

std::optional<std::string> pending_records::take(std::uint64_t offset)
{
    const auto at = this->records.find(offset);
    if (at == this->records.end()) {
        return std::nullopt;
    }
    auto bytes = std::move(at->second);
    this->records.erase(at);
    return bytes;
}

void pending_records::drop_below(std::uint64_t offset)
{
    this->records.erase(this->records.begin(), this->records.lower_bound(offset));
    if (offset >= this->forgotten_below) {
        this->forgotten_below = 0;
    }
}

std::uint64_t pending_records::first_missing(std::uint64_t from) const
{
    for (auto at = this->records.lower_bound(from); at != this->records.end(); ++at) {
        if (at->first != from) {
            break;
        }
        ++from;
    }
    return from;
}

void kept_records::add(wire::configuration_record record)
{
    this->bytes += record.bytes.size();
    this->records.push_back(std::move(record));
    while (this->records.size() > this->record_limit || this->bytes > this->byte_limit) {
        this->bytes -= this->records.front().bytes.size();
        this->records.pop_front();
    }
}

void kept_records::clear()
{
    this->records.clear();
    this->bytes = 0;
}

std::optional<std::vector<wire::configuration_record>>
kept_records::from(std::uint64_t offset) const
{
    if (this->records.empty() || offset < this->records.front().offset) {
        return std::nullopt;
    }
    const auto skipped = offset - this->records.front().offset;
    if (skipped > this->records.size()) {
        return std::nullopt;
    }
    return std::vector(this->records.begin() + static_cast<std::ptrdiff_t>(skipped),
                       this->records.end());
}

} // namespace azureshore::configuration::detail
