#include "azureshore/balance/backend_registry.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace azureshore::balance {

namespace {

// By the users' requirements, registrations that lapsed while the store was unavailable are renewed
// within two seconds of its return. The margin covers the delay of the record.
constexpr duration lapse_grace = std::chrono::milliseconds(2300);
// For this long after the store's return, a removal counts as a lapse, not as a withdrawal.
constexpr duration lapse_window = std::chrono::milliseconds(2000);
// Bounds the memory used for removed backend servers.
constexpr std::size_t max_tombstones = 4096;

// Whether a later registration differs at most in its sequence and a shorter remaining cold
// time.
bool is_renewal(const registration& before, registration after)
{
    if (after.cold_remaining > before.cold_remaining) {
        return false;
    }
    after.sequence = before.sequence;
    after.cold_remaining = before.cold_remaining;
    return before == after;
}

} // namespace

backend_registry::backend_registry(registry_hooks callbacks) : hooks(std::move(callbacks)) {}

bool backend_registry::is_outdated(const registration& incoming) const
{
    // Without a start time, a lower sequence may belong to a new run of the process.
    if (incoming.started_at == 0) {
        return false;
    }
    const auto older = [&](std::int64_t started_at, std::uint64_t sequence) {
        return incoming.started_at < started_at ||
               (incoming.started_at == started_at && incoming.sequence < sequence);
    };
    if (const auto found = this->entries.find(incoming.id); found != this->entries.end()) {
        return older(found->second.last.started_at, found->second.last.sequence);
    }
    if (const auto found = this->tombstones.find(incoming.id); found != this->tombstones.end()) {
        return older(found->second.started_at, found->second.sequence + 1);
    }
    return false;
}

bool backend_registry::is_outdated_after_restore(const registration& incoming) const
{
    if (incoming.started_at != 0) {
        return this->is_outdated(incoming);
    }
    if (const auto found = this->entries.find(incoming.id); found != this->entries.end()) {
        return found->second.last.endpoint == incoming.endpoint &&
               incoming.sequence < found->second.last.sequence;
    }
    const auto removed = this->tombstones.find(incoming.id);
    return removed != this->tombstones.end() && incoming.sequence <= removed->second.sequence;
}

bool backend_registry::was_removed_since(const registration& listed) const
{
    return !this->entries.contains(listed.id) && this->is_outdated_after_restore(listed);
}

bool backend_registry::is_lapse_likely(time_point now) const
{
    return this->store_unavailable ||
           (this->store_available_since && now - *this->store_available_since < lapse_window);
}

bool backend_registry::apply_registration(const registration& incoming)
{
    if (this->is_outdated(incoming)) {
        return false;
    }
    const bool is_news = this->take(incoming);
    this->entries[incoming.id].renewed_since_outage = !this->store_unavailable;
    return is_news;
}

bool backend_registry::take(const registration& incoming)
{
    this->tombstones.erase(incoming.id);
    auto& current = this->entries[incoming.id];
    const bool lapsed = std::exchange(current.expires_at, std::nullopt).has_value();
    const bool unchanged = is_renewal(current.last, incoming);
    current.last = incoming;
    if (!unchanged) {
        this->hooks.changed(incoming);
    }
    return !unchanged || lapsed;
}

bool backend_registry::apply_removal(time_point now, const backend_id& id)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return false;
    }
    auto& current = found->second;
    if (this->is_lapse_likely(now) && !current.last.draining && !current.renewed_since_outage) {
        if (!current.expires_at) {
            // Until the store is available, this is replaced by the time of its return.
            current.expires_at = this->store_available_since.value_or(now) + lapse_grace;
        }
        return true;
    }
    this->remove(id, "unregistered");
    return true;
}

void backend_registry::apply_full_list(time_point now, const std::vector<registration>& all)
{
    std::set<backend_id> present;
    for (const auto& each : all) {
        present.insert(each.id);
        if (!this->is_outdated(each)) {
            this->take(each);
        }
    }
    this->remove_missing(now, present);
}

std::set<backend_id> backend_registry::merge_restored_list(time_point now,
                                                           const std::vector<registration>& all)
{
    // A missing registration was probably written after the backup, so it counts as lapsed rather
    // than withdrawn.
    this->store_available_since = now;
    this->expect_lapses();
    std::set<backend_id> present;
    std::set<backend_id> outdated;
    for (const auto& each : all) {
        present.insert(each.id);
        if (this->is_outdated_after_restore(each)) {
            outdated.insert(each.id);
        }
        else {
            this->take(each);
        }
    }
    this->remove_missing(now, present);
    return outdated;
}

bool backend_registry::apply_earlier_registration(const registration& incoming)
{
    const auto found = this->entries.find(incoming.id);
    if (found == this->entries.end() || this->is_outdated_after_restore(incoming) ||
        this->is_outdated(incoming)) {
        return false;
    }
    return this->take(incoming);
}

bool backend_registry::apply_earlier_removal(const registration& last)
{
    if (this->is_outdated_after_restore(last)) {
        return false;
    }
    const bool known = this->entries.contains(last.id);
    if (known) {
        this->remove(last.id, "unregistered");
    }
    this->add_tombstone(last);
    return known;
}

void backend_registry::remove_missing(time_point now, const std::set<backend_id>& present)
{
    std::vector<backend_id> missing;
    for (const auto& [id, current] : this->entries) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        this->apply_removal(now, id);
    }
}

void backend_registry::store_became_unavailable()
{
    if (!std::exchange(this->store_unavailable, true)) {
        this->expect_lapses();
    }
}

void backend_registry::expect_lapses()
{
    for (auto& [id, current] : this->entries) {
        current.renewed_since_outage = false;
    }
}

void backend_registry::store_became_available(time_point now)
{
    if (!this->store_unavailable) {
        return;
    }
    this->store_unavailable = false;
    this->store_available_since = now;
    for (auto& [id, current] : this->entries) {
        if (current.expires_at) {
            current.expires_at = now + lapse_grace;
        }
    }
}

void backend_registry::tick(time_point now)
{
    if (this->store_unavailable) {
        return;
    }
    std::vector<backend_id> expired;
    for (const auto& [id, current] : this->entries) {
        if (current.expires_at && *current.expires_at <= now) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        this->remove(id, "lapsed");
    }
}

void backend_registry::add_tombstone(const registration& last)
{
    if (this->tombstones.size() >= max_tombstones) {
        this->tombstones.erase(this->tombstones.begin());
    }
    this->tombstones[last.id] = {last.started_at, last.sequence};
}

void backend_registry::remove(const backend_id& id, const std::string& reason)
{
    const auto found = this->entries.find(id);
    this->add_tombstone(found->second.last);
    this->entries.erase(found);
    this->hooks.removed(id, reason);
}

} // namespace azureshore::balance
