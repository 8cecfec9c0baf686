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

members::members(vm_id own, data_centre_id here)
    : self(std::move(own)), data_centre(std::move(here))
{
}

bool members::heard(time_point now, const wire::member_entry& of)
{
    if (of.name == this->self) {
        return false;
    }
    const auto [found, added] = this->all.try_emplace(of.name);
    const bool changed =
        added || found->second.where != of.where || found->second.leaving != of.leaving;
    found->second = {of.where, of.data_centre, of.leaving, now};
    return changed;
}

bool members::adopt(time_point now, const std::vector<wire::member_entry>& view)
{
    std::set<vm_id> named;
    bool changed = false;
    for (const auto& each : view) {
        named.insert(each.name);
        changed = this->heard(now, each) || changed;
    }
    return std::erase_if(this->all, [&](const auto& each) { return !named.contains(each.first); }) >
               0 ||
           changed;
}

bool members::drop_silent(time_point since)
{
    return std::erase_if(this->all,
                         [since](const auto& each) { return each.second.heard_at < since; }) > 0;
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

std::size_t members::local_rank() const
{
    const auto own = weight_of(reading_task, this->self);
    const auto near = this->neighbours();
    return static_cast<std::size_t>(std::count_if(near.begin(), near.end(), [&](const auto& each) {
        return !each.leaving && weight_of(reading_task, each.name) < own;
    }));
}

std::size_t members::serving_count() const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(this->all.begin(), this->all.end(),
                                 [](const auto& each) { return !each.second.leaving; }));
}

double members::share_of(const std::string& task, std::size_t count) const
{
    const auto own = weight_of(task, this->self);
    std::size_t before = 0;
    for (const auto& [other, each] : this->all) {
        before += !each.leaving && weight_of(task, other) < own ? 1 : 0;
    }
    const auto sharers = std::min(count, this->serving_count());
    return before < sharers ? 1.0 / static_cast<double>(sharers) : 0;
}

std::vector<wire::member_entry> members::others() const
{
    std::vector<wire::member_entry> listed;
    listed.reserve(this->all.size());
    for (const auto& [name, each] : this->all) {
        listed.push_back({name, each.where, each.data_centre, each.leaving});
    }
    return listed;
}

std::vector<wire::member_entry> members::neighbours() const
{
    auto near = this->others();
    std::erase_if(near, [this](const wire::member_entry& each) {
        return each.data_centre != this->data_centre;
    });
    return near;
}

std::vector<wire::member_entry> members::first_elsewhere() const
{
    std::map<data_centre_id, wire::member_entry> first;
    for (const auto& each : this->others()) {
        if (each.data_centre == this->data_centre || each.leaving) {
            continue;
        }
        const auto [found, added] = first.try_emplace(each.data_centre, each);
        if (!added &&
            weight_of(reading_task, each.name) < weight_of(reading_task, found->second.name)) {
            found->second = each;
        }
    }
    std::vector<wire::member_entry> listed;
    listed.reserve(first.size());
    for (const auto& [where, each] : first) {
        listed.push_back(each);
    }
    return listed;
}

bool members::local(const vm_id& name) const
{
    const auto found = this->all.find(name);
    return found != this->all.end() && found->second.data_centre == this->data_centre;
}

std::optional<address> members::find(const vm_id& name) const
{
    const auto found = this->all.find(name);
    return found == this->all.end() ? std::nullopt : std::optional(found->second.where);
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
