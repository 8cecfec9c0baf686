#include "azureshore/sharing/members.hpp"

#include "azureshore/core/hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace azureshore::sharing {

namespace {

constexpr std::string_view store_reading_task = "read";

// Rendezvous hashing: each task ranks the daemons in an order of its own, which changes as little
// as possible when daemons join or leave.
std::uint64_t rank_weight(std::string_view task, const vm_id& name)
{
    return stable_hash(name.value, stable_hash(task));
}

} // namespace

members::members(vm_id own_name, data_centre_id own_data_centre)
    : self_name(std::move(own_name)), data_centre(std::move(own_data_centre))
{
}

bool members::record_member(time_point now, const wire::member_entry& member)
{
    if (member.name == this->self_name) {
        return false;
    }
    const auto [found, added] = this->known.try_emplace(member.name);
    const bool changed =
        added || found->second.where != member.where || found->second.leaving != member.leaving;
    found->second = {member.where, member.data_centre, member.leaving, now};
    return changed;
}

bool members::replace_with(time_point now, const std::vector<wire::member_entry>& view)
{
    std::set<vm_id> view_names;
    bool changed = false;
    for (const auto& each : view) {
        view_names.insert(each.name);
        changed = this->record_member(now, each) || changed;
    }
    return std::erase_if(this->known,
                         [&](const auto& each) { return !view_names.contains(each.first); }) > 0 ||
           changed;
}

bool members::remove_silent(time_point heard_before)
{
    return std::erase_if(this->known, [heard_before](const auto& each) {
               return each.second.heard_at < heard_before;
           }) > 0;
}

std::size_t members::rank() const
{
    return this->rank_of(this->self_name);
}

std::size_t members::rank_of(const vm_id& name) const
{
    const auto weight = rank_weight(store_reading_task, name);
    std::size_t rank =
        name != this->self_name && rank_weight(store_reading_task, this->self_name) < weight ? 1
                                                                                             : 0;
    for (const auto& [other, each] : this->known) {
        rank += other != name && !each.leaving && rank_weight(store_reading_task, other) < weight
                    ? 1
                    : 0;
    }
    return rank;
}

std::size_t members::local_rank() const
{
    const auto weight = rank_weight(store_reading_task, this->self_name);
    const auto local = this->local_members();
    return static_cast<std::size_t>(
        std::count_if(local.begin(), local.end(), [&](const auto& each) {
            return !each.leaving && rank_weight(store_reading_task, each.name) < weight;
        }));
}

std::size_t members::serving_count() const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(this->known.begin(), this->known.end(),
                                 [](const auto& each) { return !each.second.leaving; }));
}

double members::share_of(const std::string& task, std::size_t count) const
{
    const auto weight = rank_weight(task, this->self_name);
    std::size_t rank = 0;
    for (const auto& [other, each] : this->known) {
        rank += !each.leaving && rank_weight(task, other) < weight ? 1 : 0;
    }
    const auto sharers = std::min(count, this->serving_count());
    return rank < sharers ? 1.0 / static_cast<double>(sharers) : 0;
}

std::vector<wire::member_entry> members::others() const
{
    std::vector<wire::member_entry> entries;
    entries.reserve(this->known.size());
    for (const auto& [name, each] : this->known) {
        entries.push_back({name, each.where, each.data_centre, each.leaving});
    }
    return entries;
}

std::vector<wire::member_entry> members::local_members() const
{
    auto local = this->others();
    std::erase_if(local, [this](const wire::member_entry& each) {
        return each.data_centre != this->data_centre;
    });
    return local;
}

std::vector<wire::member_entry> members::remote_relays() const
{
    std::map<data_centre_id, wire::member_entry> relays;
    for (const auto& each : this->others()) {
        if (each.data_centre == this->data_centre || each.leaving) {
            continue;
        }
        const auto [found, added] = relays.try_emplace(each.data_centre, each);
        if (!added && rank_weight(store_reading_task, each.name) <
                          rank_weight(store_reading_task, found->second.name)) {
            found->second = each;
        }
    }
    std::vector<wire::member_entry> entries;
    entries.reserve(relays.size());
    for (const auto& [name, relay] : relays) {
        entries.push_back(relay);
    }
    return entries;
}

bool members::is_local(const vm_id& name) const
{
    const auto found = this->known.find(name);
    return found != this->known.end() && found->second.data_centre == this->data_centre;
}

std::optional<address> members::find(const vm_id& name) const
{
    const auto found = this->known.find(name);
    return found == this->known.end() ? std::nullopt : std::optional(found->second.where);
}

std::uint64_t members::digest() const
{
    auto digest = stable_hash(this->self_name.value);
    for (const auto& [name, each] : this->known) {
        digest += stable_hash(name.value, each.leaving ? 1 : 0);
    }
    return digest;
}

} // namespace azureshore::sharing
