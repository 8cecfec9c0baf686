#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace azureshore::outcomes::detail {

// How to handle a request, given the deaths recorded for its fingerprint.
enum class suspect_verdict : std::uint8_t {
    run,
    // Announce the trial to the other VMs and hold the request for the announcement delay. When
    // two VMs announce at once, both receive the other's announcement in that time and hold.
    announce,
    // Run it as the only request with its fingerprint on this VM, and notify the other VMs.
    run_as_trial,
    // Wait until the announcement delay, or a trial on this VM or another VM, has ended.
    hold,
    refuse,
};

// Fingerprints of requests during which backend servers died. After one death the fingerprint is
// under suspicion: one VM at a time may run such a request as a trial, beginning with the VM that
// observed the death. After two deaths such requests are refused for some minutes, until the entry
// expires. An answer clears the suspicion.
class suspect_table {
public:
    [[nodiscard]] suspect_verdict evaluate(time_point now, std::uint64_t fingerprint);

    // Records that a backend server died during an attempt that started at `started`. Returns the
    // number of deaths recorded for the fingerprint.
    std::uint32_t record_death(time_point now, std::uint64_t fingerprint, const backend_id& backend,
                               time_point started);

    // Removes the entry of an answered request. Returns whether it was under suspicion.
    bool clear(std::uint64_t fingerprint);

    void trial_started(std::uint64_t fingerprint, const backend_id& backend);
    void trial_ended(std::uint64_t fingerprint);

    // Merges a report of another VM. It counts as a death when `backend` is not empty; only the
    // reporting VM may run a trial during `exclusive_time`. A report of no deaths clears the
    // suspicion.
    void merge_report(time_point now, std::uint64_t fingerprint, std::uint32_t deaths,
                      const backend_id& backend, duration exclusive_time);

    // Returns the backend servers that run trials, so that a new trial can avoid them.
    [[nodiscard]] std::vector<backend_id> backends_on_trial() const;

    [[nodiscard]] std::uint32_t death_count(std::uint64_t fingerprint) const;
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    struct death {
        backend_id backend;
        time_point at;
    };
    struct entry {
        std::vector<death> deaths;
        // The highest count that another VM reported. It may exceed `deaths`, as reports can be
        // lost.
        std::uint32_t remote_death_count = 0;
        time_point expires_at;
        time_point remote_trial_until;
        // When this VM may run a trial. Unset until it announces one or observes a death itself.
        std::optional<time_point> trial_allowed_at;
        bool trial_running = false;
        backend_id trial_backend;

        [[nodiscard]] std::uint32_t death_count() const;
    };

    entry& find_or_create(time_point now, std::uint64_t fingerprint);
    // Adds a death unless one of the same backend server was recorded at `since` or later.
    void merge_death(time_point now, entry& suspect, const backend_id& backend, time_point since);
    void evict_entries(time_point now);

    std::unordered_map<std::uint64_t, entry> entries;
    std::size_t trials = 0;
};

} // namespace azureshore::outcomes::detail
