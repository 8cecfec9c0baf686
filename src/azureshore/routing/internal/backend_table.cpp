#include "azureshore/routing/internal/backend_table.hpp"

#include <algorithm>

namespace azureshore::routing::detail {

namespace {

// A backend server with a longer backoff is set aside, if the share of outliers allows it.
constexpr duration max_hold_if_not_set_aside = std::chrono::milliseconds(200);

// A backend server that is set aside is tried without a probe after this time.
constexpr duration probe_wait_limit = std::chrono::seconds(1);

} // namespace

std::string_view backend_entry::state() const
{
    if (this->server.leaving) {
        return "leaving";
    }
    if (this->out || !this->listed) {
        return "out";
    }
    if (this->set_aside) {
        return "set_aside";
    }
    return this->limiter.warm() ? "warm" : "cold";
}

void backend_table::update(time_point now, const std::vector<backend_setup>& setups,
                           double outlier_share)
{
    this->max_outlier_share = outlier_share;
    std::vector<backend_entry*> previously_usable;
    for (auto& entry : this->entries) {
        if (entry->usable()) {
            previously_usable.push_back(entry.get());
        }
        entry->listed = false;
    }
    for (const auto& setup : setups) {
        auto*& entry = this->entries_by_name[setup.server.name];
        if (entry == nullptr) {
            entry = this->entries.emplace_back(std::make_unique<backend_entry>(setup.limits)).get();
        }
        entry->listed = true;
        entry->server = setup.server;
        entry->out = setup.out;
        entry->limiter.set_limits(now, setup.limits);
    }
    for (auto* entry : previously_usable) {
        if (!entry->usable()) {
            // A backend server counts as cold when it comes back.
            entry->limiter.turn_cold(now);
        }
    }
    std::erase_if(this->entries, [this](const auto& entry) {
        const bool gone = !entry->listed && entry->active + entry->lapsed == 0;
        if (gone) {
            this->entries_by_name.erase(entry->server.name);
        }
        return gone;
    });
}

backend_entry* backend_table::find(const backend_id& name) const
{
    const auto found = this->entries_by_name.find(name);
    return found == this->entries_by_name.end() ? nullptr : found->second;
}

permit_record* backend_table::find(const permit_key& key)
{
    const auto found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second;
}

permit_record* backend_table::find_by_ticket(const vm_id& holder, std::uint64_t ticket)
{
    for (auto& [key, record] : this->records) {
        if (record.ticket == ticket && record.holder == holder) {
            return &record;
        }
    }
    return nullptr;
}

void backend_table::update_counters(backend_entry& backend, const permit_record& record, bool added)
{
    auto& counter = record.lapsed ? backend.lapsed : backend.active;
    counter = added ? counter + 1 : counter - 1;
    if (record.lapsed) {
        return;
    }
    if (added) {
        backend.grants.push_back(record.granted_at);
        return;
    }
    const auto grant = std::find(backend.grants.begin(), backend.grants.end(), record.granted_at);
    if (grant != backend.grants.end()) {
        *grant = backend.grants.back();
        backend.grants.pop_back();
    }
}

permit_record& backend_table::add(const permit_record& record)
{
    const auto [place, added] = this->records.try_emplace(record.key, record);
    if (added) {
        update_counters(*place->second.backend, place->second, true);
    }
    return place->second;
}

void backend_table::remove(const permit_key& key)
{
    const auto found = this->records.find(key);
    if (found != this->records.end()) {
        update_counters(*found->second.backend, found->second, false);
        this->records.erase(found);
    }
}

void backend_table::renew(permit_record& record, time_point lease_until)
{
    update_counters(*record.backend, record, false);
    record.lapsed = false;
    record.lease_until = std::max(record.lease_until, lease_until);
    update_counters(*record.backend, record, true);
}

void backend_table::lapse(time_point now, permit_record& record)
{
    update_counters(*record.backend, record, false);
    record.lapsed = true;
    record.lease_until = now;
    update_counters(*record.backend, record, true);
}

void backend_table::expire(time_point now)
{
    for (auto place = this->records.begin(); place != this->records.end();) {
        auto& record = place->second;
        if (!record.lapsed && now >= record.lease_until) {
            this->lapse(now, record);
        }
        if (record.lapsed && now >= record.deadline) {
            update_counters(*record.backend, record, false);
            place = this->records.erase(place);
            continue;
        }
        ++place;
    }
}

void backend_table::forget_lapsed(backend_entry& backend, time_point cutoff)
{
    std::erase_if(this->records, [&](const auto& each) {
        const auto& record = each.second;
        const bool forgotten =
            record.backend == &backend && record.lapsed && record.lease_until <= cutoff;
        if (forgotten) {
            update_counters(backend, record, false);
        }
        return forgotten;
    });
}

void backend_table::hold_back(time_point now, backend_entry& backend)
{
    const auto backoff = backend.limiter.backoff();
    backend.set_aside = false;
    backend.held_until = now + std::min(backoff, max_hold_if_not_set_aside);
    if (backoff <= max_hold_if_not_set_aside) {
        return;
    }
    const auto limit = static_cast<std::size_t>(this->max_outlier_share *
                                                static_cast<double>(this->entries.size()));
    if (this->count_set_aside() < limit) {
        backend.set_aside = true;
        backend.probe_first = true;
        backend.probe_from = now + backoff;
        backend.held_until = backend.probe_from + probe_wait_limit;
    }
}

std::size_t backend_table::count_set_aside() const
{
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [](const auto& entry) { return entry->usable() && entry->set_aside; }));
}

bool backend_table::any_usable() const
{
    return std::any_of(this->entries.begin(), this->entries.end(),
                       [](const auto& entry) { return entry->usable(); });
}

unsigned backend_table::capacity() const
{
    unsigned sum = 0;
    for (const auto& entry : this->entries) {
        sum += entry->usable() && !entry->set_aside ? entry->limiter.limit() : 0;
    }
    return sum;
}

} // namespace azureshore::routing::detail
