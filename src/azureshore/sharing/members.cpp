#include "azureshore/sharing/members.hpp"

#include "azureshore/core/hash.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace azureshore::sharing {

namespace {

constexpr std::string_view store_reading_task = "read";
// The tasks whose rank orders are the orders of the trees. The root of a first tree is the
// best-ranked reader of its data centre.
constexpr std::array<std::string_view, 2> tree_tasks{store_reading_task, "second tree"};
// The number of daemons to which one forwards a message in one tree.
constexpr std::size_t fan_out = 4;
constexpr std::size_t bucket_count = 64;

// Rendezvous hashing: each task ranks the daemons in an order of its own, which changes as little
// as possible when daemons join or leave.
std::uint64_t rank_weight(std::string_view task, const vm_id& name)
{
    return stable_hash(name.value, stable_hash(task));
}

std::size_t bucket_of(const vm_id& name)
{
    return stable_hash(name.value) % bucket_count;
}

std::uint64_t entry_hash(const wire::member_entry& entry)
{
    return stable_hash(entry.name.value,
                       entry.incarnation * 4 + static_cast<std::uint64_t>(entry.state));
}

} // namespace

members::members(wire::member_entry own) : own_entry(std::move(own)) {}

bool members::merge(time_point now, const wire::member_entry& entry)
{
    if (entry.name == this->own_entry.name) {
        if (std::tie(entry.incarnation, entry.state) <=
            std::tie(this->own_entry.incarnation, this->own_entry.state)) {
            return false;
        }
        this->own_entry.incarnation = entry.incarnation + 1;
        this->cached_orders.reset();
        return true;
    }
    const auto [found, added] = this->known.try_emplace(entry.name);
    auto& current = found->second;
    if (!added && std::tie(entry.incarnation, entry.state) <=
                      std::tie(current.entry.incarnation, current.entry.state)) {
        return false;
    }
    current = {entry, now};
    this->alone = false;
    this->cached_orders.reset();
    return true;
}

void members::confirm_alone()
{
    this->alone = true;
}

std::optional<wire::member_entry> members::declare_gone(time_point now, const vm_id& name)
{
    const auto found = this->known.find(name);
    if (found == this->known.end() || found->second.entry.state == wire::member_state::gone) {
        return std::nullopt;
    }
    found->second.entry.state = wire::member_state::gone;
    found->second.changed_at = now;
    this->cached_orders.reset();
    return found->second.entry;
}

void members::leave()
{
    this->own_entry.state = wire::member_state::leaving;
    this->cached_orders.reset();
}

void members::forget_gone(time_point gone_before)
{
    std::erase_if(this->known, [gone_before](const auto& each) {
        return each.second.entry.state == wire::member_state::gone &&
               each.second.changed_at < gone_before;
    });
}

members::derived_orders& members::orders() const
{
    if (!this->cached_orders) {
        this->cached_orders = this->compute_orders();
    }
    return *this->cached_orders;
}

members::derived_orders members::compute_orders() const
{
    derived_orders computed;
    computed.bucket_digests.resize(bucket_count);
    using weighted_names = std::vector<std::tuple<bool, std::uint64_t, vm_id>>;
    std::array<std::map<data_centre_id, weighted_names>, tree_count> weighted;
    const auto add = [&](const wire::member_entry& entry) {
        if (entry.state == wire::member_state::gone) {
            return;
        }
        computed.bucket_digests[bucket_of(entry.name)] += entry_hash(entry);
        const bool leaving = entry.state == wire::member_state::leaving;
        for (std::size_t tree = 0; tree < tree_count; ++tree) {
            const auto weight = rank_weight(tree_tasks.at(tree), entry.name);
            // Leaving daemons come last, where they forward nothing.
            weighted.at(tree)[entry.data_centre].emplace_back(leaving, weight, entry.name);
            if (tree == 0) {
                computed.by_rank.push_back({leaving, weight, entry.name});
                computed.serving_count += leaving ? 0 : 1;
            }
        }
    };
    add(this->own_entry);
    for (const auto& [name, each] : this->known) {
        add(each.entry);
    }
    std::sort(computed.by_rank.begin(), computed.by_rank.end());
    for (std::size_t tree = 0; tree < tree_count; ++tree) {
        for (auto& [data_centre, names] : weighted.at(tree)) {
            std::sort(names.begin(), names.end());
            auto& order = computed.trees.at(tree)[data_centre];
            for (auto& [leaving, weight, name] : names) {
                if (name == this->own_entry.name) {
                    computed.own_place.at(tree) = order.size();
                }
                order.push_back(std::move(name));
            }
        }
    }
    return computed;
}

std::size_t members::rank() const
{
    return this->rank_of(this->own_entry.name);
}

std::size_t members::rank_of(const vm_id& name) const
{
    const auto entry = name == this->own_entry.name ? this->own_entry : this->find(name);
    const ranked_daemon searched{entry && entry->state == wire::member_state::leaving,
                                 rank_weight(store_reading_task, name), name};
    const auto& by_rank = this->orders().by_rank;
    const auto found = std::lower_bound(by_rank.begin(), by_rank.end(), searched);
    return static_cast<std::size_t>(found - by_rank.begin());
}

double members::share_of(const std::string& task, std::size_t count) const
{
    auto& current = this->orders();
    const auto [found, added] = current.shares.try_emplace({task, count}, 0);
    if (added) {
        const auto weight = rank_weight(task, this->own_entry.name);
        const auto rank = static_cast<std::size_t>(
            std::count_if(current.by_rank.begin(), current.by_rank.end(), [&](const auto& each) {
                return each.name != this->own_entry.name && rank_weight(task, each.name) < weight;
            }));
        const auto sharers = std::min(count, this->running_count());
        found->second = rank < sharers ? 1.0 / static_cast<double>(sharers) : 0;
    }
    return found->second;
}

std::vector<vm_id> members::first_of(const std::string& task, std::size_t count) const
{
    const auto& by_rank = this->orders().by_rank;
    const auto candidates =
        this->serving_count() > 0 ? this->serving_count() : this->running_count();
    std::vector<std::pair<std::uint64_t, std::size_t>> weighted;
    weighted.reserve(candidates);
    for (std::size_t place = 0; place < candidates; ++place) {
        weighted.emplace_back(rank_weight(task, by_rank[place].name), place);
    }
    const auto wanted = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(wanted),
                      weighted.end());
    std::vector<vm_id> first;
    for (std::size_t i = 0; i < wanted; ++i) {
        first.push_back(by_rank[weighted[i].second].name);
    }
    return first;
}

std::vector<wire::member_entry> members::others() const
{
    std::vector<wire::member_entry> entries;
    entries.reserve(this->known.size());
    for (const auto& [name, each] : this->known) {
        if (each.entry.state != wire::member_state::gone) {
            entries.push_back(each.entry);
        }
    }
    return entries;
}

std::vector<vm_id> members::gone() const
{
    std::vector<vm_id> names;
    for (const auto& [name, each] : this->known) {
        if (each.entry.state == wire::member_state::gone) {
            names.push_back(name);
        }
    }
    return names;
}

std::optional<wire::member_entry> members::find(const vm_id& name) const
{
    const auto found = this->known.find(name);
    return this->contains(name) ? std::optional(found->second.entry) : std::nullopt;
}

std::optional<wire::member_entry> members::last_entry(const vm_id& name) const
{
    const auto found = this->known.find(name);
    return found == this->known.end() ? std::nullopt : std::optional(found->second.entry);
}

bool members::contains(const vm_id& name) const
{
    const auto found = this->known.find(name);
    return found != this->known.end() && found->second.entry.state != wire::member_state::gone;
}

void members::add_entry(std::vector<wire::member_entry>& entries, const vm_id& name) const
{
    const bool present = std::any_of(entries.begin(), entries.end(),
                                     [&name](const auto& each) { return each.name == name; });
    if (name != this->own_entry.name && !present) {
        entries.push_back(this->known.at(name).entry);
    }
}

std::vector<wire::member_entry> members::children_in(std::size_t tree) const
{
    std::vector<wire::member_entry> entries;
    const auto& current = this->orders();
    const auto& order = current.trees.at(tree).at(this->own_entry.data_centre);
    const auto first = current.own_place.at(tree) * fan_out + 1;
    for (auto place = first; place < std::min(first + fan_out, order.size()); ++place) {
        this->add_entry(entries, order[place]);
    }
    return entries;
}

std::vector<wire::member_entry> members::children() const
{
    auto entries = this->children_in(0);
    for (const auto& each : this->children_in(1)) {
        this->add_entry(entries, each.name);
    }
    return entries;
}

std::vector<wire::member_entry> members::reporting_children() const
{
    return this->children_in(0);
}

std::optional<wire::member_entry> members::parent() const
{
    const auto& current = this->orders();
    const auto place = current.own_place[0];
    if (place == 0) {
        return std::nullopt;
    }
    const auto& order = current.trees[0].at(this->own_entry.data_centre);
    return this->known.at(order[(place - 1) / fan_out]).entry;
}

std::vector<wire::member_entry> members::roots_of(std::size_t tree) const
{
    std::vector<wire::member_entry> entries;
    for (const auto& [data_centre, order] : this->orders().trees.at(tree)) {
        this->add_entry(entries, order.front());
    }
    return entries;
}

std::vector<wire::member_entry> members::roots() const
{
    auto entries = this->roots_of(0);
    for (const auto& each : this->roots_of(1)) {
        this->add_entry(entries, each.name);
    }
    return entries;
}

std::vector<wire::member_entry> members::reporting_roots() const
{
    return this->roots_of(0);
}

std::uint64_t members::digest() const
{
    std::uint64_t sum = 0;
    for (const auto bucket_digest : this->orders().bucket_digests) {
        sum += bucket_digest;
    }
    return sum;
}

std::vector<std::uint64_t> members::bucket_digests() const
{
    return this->orders().bucket_digests;
}

std::vector<wire::member_entry> members::bucket(std::size_t index) const
{
    std::vector<wire::member_entry> entries;
    if (bucket_of(this->own_entry.name) == index) {
        entries.push_back(this->own_entry);
    }
    for (const auto& [name, each] : this->known) {
        if (bucket_of(name) == index) {
            entries.push_back(each.entry);
        }
    }
    return entries;
}

} // namespace azureshore::sharing
