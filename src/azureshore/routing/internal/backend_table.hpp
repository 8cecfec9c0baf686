#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/membership/view.hpp"
#include "azureshore/routing/internal/concurrency_limiter.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azureshore::routing::detail {

// A backend server of a pool and its settings.
struct backend_setup {
    membership::backend_server server;
    concurrency_limits limits;
    // Taken out of service, itself or with its data centre.
    bool out = false;
};

// Identifies a permit among those of all leaders.
struct permit_key {
    vm_id leader;
    permit_number number;

    bool operator==(const permit_key&) const = default;
};

struct permit_key_hash {
    std::size_t operator()(const permit_key& key) const noexcept { return key.number.value; }
};

struct backend_entry;

// A permit that may be in use.
struct permit_record {
    permit_key key;
    vm_id holder;
    std::uint64_t ticket = 0;
    backend_entry* backend = nullptr;
    time_point granted_at;
    // The permit lapses at this time unless the holder renews it.
    time_point lease_until;
    // The request cannot run after this time.
    time_point deadline;
    duration waited{};
    // The lease expired without a return; the request may still run until the deadline.
    bool lapsed = false;
};

// The leader's state of one backend server.
struct backend_entry {
    explicit backend_entry(concurrency_limits limits) : limiter(limits) {}

    membership::backend_server server;
    bool out = false;
    // Whether the last update listed this backend server.
    bool listed = true;
    concurrency_limiter limiter;
    // Number of permits in use.
    unsigned active = 0;
    // Number of lapsed permits whose requests may still run.
    unsigned lapsed = 0;
    // Running requests without a known permit, according to the backend server's load report.
    unsigned untracked = 0;
    time_point untracked_until;
    // Start of the leader lease during which this backend server was verified to run no untracked
    // requests.
    std::optional<time_point> verified_lease_start;
    bool set_aside = false;
    // Whether a successful probe is required before it gets requests again, and from when on.
    bool probe_first = false;
    time_point probe_from;
    time_point held_until;
    std::optional<time_point> pending_probe_sent_at;
    time_point last_probe;
    time_point last_grant;
    std::uint64_t refused = 0;
    // Grant times of the permits in use, unordered.
    std::vector<time_point> grants;

    [[nodiscard]] bool usable() const
    {
        return this->listed && !this->out && !this->server.leaving;
    }
    // Returns the state as reported to operators.
    [[nodiscard]] std::string_view state() const;
};

// The backend servers of a pool and the permits in use on each.
class backend_table {
public:
    // Sets the pool's backend servers. A removed one stays until all of its permits are returned.
    void update(time_point now, const std::vector<backend_setup>& setups, double outlier_share);

    [[nodiscard]] backend_entry* find(const backend_id& name) const;
    [[nodiscard]] permit_record* find(const permit_key& key);
    [[nodiscard]] permit_record* find_by_ticket(const vm_id& holder, std::uint64_t ticket);

    permit_record& add(const permit_record& record);
    void remove(const permit_key& key);
    // Marks a permit as lapsed.
    void lapse(time_point now, permit_record& record);
    // Marks permits whose lease has ended as lapsed, and removes lapsed ones past their deadline.
    void expire(time_point now);
    // Removes a backend server's lapsed permits whose lease ended at or before `cutoff`.
    void forget_lapsed(backend_entry& backend, time_point cutoff);
    void renew(permit_record& record, time_point lease_until);

    // Pauses grants on a backend server after a failure, for its backoff but no longer than
    // `max_hold_if_not_set_aside`. If the backoff is longer, sets the backend server aside instead,
    // unless the allowed share of outliers is already set aside.
    void hold_back(time_point now, backend_entry& backend);

    [[nodiscard]] const std::vector<std::unique_ptr<backend_entry>>& all() const
    {
        return this->entries;
    }
    [[nodiscard]] bool any_usable() const;
    // Returns the sum of the concurrency limits of all usable backend servers.
    [[nodiscard]] unsigned capacity() const;
    [[nodiscard]] std::size_t permits() const { return this->records.size(); }

private:
    [[nodiscard]] std::size_t count_set_aside() const;
    static void update_counters(backend_entry& backend, const permit_record& record, bool added);

    std::vector<std::unique_ptr<backend_entry>> entries;
    std::unordered_map<backend_id, backend_entry*> entries_by_name;
    std::unordered_map<permit_key, permit_record, permit_key_hash> records;
    double max_outlier_share = 0;
};

} // namespace azureshore::routing::detail
