#include "azureshore/sharing/members.hpp"

#include "azureshore/core/hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace azureshore::sharing {

namespace {

constexpr std::string_view reading_task = "read";

// Rendezvous order: each task has an order of its own, which changes least when daemons come
// and go.
std::uint64_t weight_of(std::string_view task, const vm_id& name)
{
    return stable_hash(name.value, stable_hash(task));
}

} // namespace

members::members(vm_id own) : self(std::move(own)) {}

bool members::heard(time_point now, const vm_id& name, const address& where, bool leaving)
{
    if (name == this->self) {
        return false;
    }
    const auto [found, added] = this->all.try_emplace(name);
    const bool changed =
        added || found->second.where != where || found->second.leaving != leaving;
    found->second = {where, leaving, now};
    return changed;
}

bool members::adopt(time_point now, const std::vector<wire::member_entry>& view)
{
    std::set<vm_id> named;
    bool changed = false;
    for (const auto& each : view) {
        named.insert(each.name);
        changed = this->heard(now, each.name, each.where, each.leaving) || changed;
    }
    return std::erase_if(this->all,
                         [&](const auto& each) { return !named.contains(each.first); }) > 0 ||
           changed;
}

bool members::drop_silent(time_point since)
{
    return std::erase_if(this->all, [since](const auto& each) {
               return each.second.heard_at < since;
           }) > 0;
}

std::size_t members::rank() const
{
    return this->rank_of(this->self);
}

std::size_t members::rank_of(const vm_id& name) const
{
    const auto own = weight_of(reading_task, name);
    std::size_t before = name != this->self && weight_of(reading_task, this->self) < own ? 1 : 0;
    for (const auto& [other, each] : this->all) {
        before += other != name && !each.leaving && weight_of(reading_task, other) < own ? 1 : 0;
    }
    return before;
}

std::size_t members::serving() const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(this->all.begin(), this->all.end(),
                                 [](const auto& each) { return !each.second.leaving; }));
}

double members::part_of(const std::string& task, std::size_t count) const
{
    const auto own = weight_of(task, this->self);
    std::size_t before = 0;
    for (const auto& [other, each] : this->all) {
        before += !each.leaving && weight_of(task, other) < own ? 1 : 0;
    }
    const auto sharers = std::min(count, this->serving());
    return before < sharers ? 1.0 / static_cast<double>(sharers) : 0;
}

std::vector<wire::member_entry> members::others() const
{
    std::vector<wire::member_entry> listed;
    listed.reserve(this->all.size());
    for (const auto& [name, each] : this->all) {
        listed.push_back({name, each.where, each.leaving});
    }
    return listed;
}

std::uint64_t members::digest() const
{
    auto sum = stable_hash(this->self.value);
    for (const auto& [name, each] : this->all) {
        sum += stable_hash(name.value, each.leaving ? 1 : 0);
    }
    return sum;
}

} // namespace azureshore::sharing
