#include "azureshore/outcomes/internal/suspect_table.hpp"

#include <algorithm>

namespace azureshore::outcomes::detail {

namespace {

// Deaths after which requests with a fingerprint are refused.
constexpr std::uint32_t deaths_to_refuse = 2;

// How long an entry is kept after the last death recorded in it.
constexpr duration entry_lifetime = std::chrono::minutes(10);

// Reports from several VMs of a backend server's death within this time count as one death.
constexpr duration death_report_window = std::chrono::seconds(1);

// The delay lets an announcement reach the other VMs before the trial starts. An announcement
// is valid for its lifetime and must then be repeated.
constexpr duration announcement_delay = std::chrono::milliseconds(10);
constexpr duration announcement_lifetime = std::chrono::seconds(1);

constexpr std::size_t max_entries = 10'000;

constexpr std::size_t max_concurrent_trials = 4;

} // namespace

std::uint32_t suspect_table::entry::death_count() const
{
    return std::max(static_cast<std::uint32_t>(this->deaths.size()), this->remote_death_count);
}

suspect_verdict suspect_table::evaluate(time_point now, std::uint64_t fingerprint)
{
    const auto it = this->entries.find(fingerprint);
    if (it == this->entries.end()) {
        return suspect_verdict::run;
    }
    auto& suspect = it->second;
    if (now >= suspect.expires_at && !suspect.trial_running) {
        this->entries.erase(it);
        return suspect_verdict::run;
    }
    if (suspect.death_count() >= deaths_to_refuse) {
        return suspect_verdict::refuse;
    }
    const bool busy = suspect.trial_running || this->trials >= max_concurrent_trials;
    if (busy || now < suspect.remote_trial_until) {
        return suspect_verdict::hold;
    }
    if (!suspect.trial_allowed_at || now > *suspect.trial_allowed_at + announcement_lifetime) {
        suspect.trial_allowed_at = now + announcement_delay;
        return suspect_verdict::announce;
    }
    return now < *suspect.trial_allowed_at ? suspect_verdict::hold : suspect_verdict::run_as_trial;
}

std::uint32_t suspect_table::record_death(time_point now, std::uint64_t fingerprint,
                                          const backend_id& backend, time_point started)
{
    auto& suspect = this->find_or_create(now, fingerprint);
    // A death recorded before the attempt started belongs to an earlier run of the backend server.
    this->merge_death(now, suspect, backend, started);
    // This VM observed the death, so it may start the trial without an announcement.
    suspect.remote_trial_until = now;
    suspect.trial_allowed_at = now;
    return suspect.death_count();
}

void suspect_table::merge_death(time_point now, entry& suspect, const backend_id& backend,
                                time_point since)
{
    suspect.expires_at = now + entry_lifetime;
    const auto same = [&](const death& each) {
        return each.backend == backend && each.at >= since;
    };
    if (std::none_of(suspect.deaths.begin(), suspect.deaths.end(), same)) {
        suspect.deaths.push_back({backend, now});
    }
}

bool suspect_table::clear(std::uint64_t fingerprint)
{
    const auto it = this->entries.find(fingerprint);
    if (it == this->entries.end()) {
        return false;
    }
    this->trial_ended(fingerprint);
    this->entries.erase(it);
    return true;
}

void suspect_table::trial_started(std::uint64_t fingerprint, const backend_id& backend)
{
    const auto it = this->entries.find(fingerprint);
    if (it == this->entries.end()) {
        // Another VM cleared the suspicion in the meantime.
        return;
    }
    auto& suspect = it->second;
    this->trials += suspect.trial_running ? 0 : 1;
    suspect.trial_running = true;
    suspect.trial_backend = backend;
}

void suspect_table::trial_ended(std::uint64_t fingerprint)
{
    const auto it = this->entries.find(fingerprint);
    if (it != this->entries.end() && it->second.trial_running) {
        it->second.trial_running = false;
        --this->trials;
    }
}

void suspect_table::merge_report(time_point now, std::uint64_t fingerprint, std::uint32_t deaths,
                                 const backend_id& backend, duration exclusive_time)
{
    if (deaths == 0) {
        this->clear(fingerprint);
        return;
    }
    auto& suspect = this->find_or_create(now, fingerprint);
    if (!backend.empty()) {
        this->merge_death(now, suspect, backend, now - death_report_window);
    }
    suspect.remote_death_count = std::max(suspect.remote_death_count, deaths);
    suspect.remote_trial_until = std::max(suspect.remote_trial_until, now + exclusive_time);
    suspect.trial_allowed_at.reset();
}

suspect_table::entry& suspect_table::find_or_create(time_point now, std::uint64_t fingerprint)
{
    this->evict_entries(now);
    auto& suspect = this->entries[fingerprint];
    if (suspect.expires_at < now && !suspect.trial_running) {
        suspect = {};
        suspect.expires_at = now + entry_lifetime;
    }
    return suspect;
}

void suspect_table::evict_entries(time_point now)
{
    if (this->entries.size() < max_entries) {
        return;
    }
    std::erase_if(this->entries, [now](const auto& each) {
        return each.second.expires_at <= now && !each.second.trial_running;
    });
    while (this->entries.size() >= max_entries) {
        const auto oldest =
            std::min_element(this->entries.begin(), this->entries.end(), [](auto& a, auto& b) {
                return a.second.expires_at < b.second.expires_at;
            });
        this->trials -= oldest->second.trial_running ? 1 : 0;
        this->entries.erase(oldest);
    }
}

std::vector<backend_id> suspect_table::backends_on_trial() const
{
    std::vector<backend_id> backends;
    if (this->trials == 0) {
        return backends;
    }
    for (const auto& [fingerprint, each] : this->entries) {
        if (each.trial_running && !each.trial_backend.empty()) {
            backends.push_back(each.trial_backend);
        }
    }
    return backends;
}

std::uint32_t suspect_table::death_count(std::uint64_t fingerprint) const
{
    const auto it = this->entries.find(fingerprint);
    return it == this->entries.end() ? 0 : it->second.death_count();
}

} // namespace azureshore::outcomes::detail
