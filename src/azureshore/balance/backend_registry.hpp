#pragma once

#include "azureshore/balance/backend_server.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azureshore::balance {

// Called for each change, synchronously from within the registry's functions.
struct registry_hooks {
    std::function<void(const registration&)> changed;
    std::function<void(const backend_id&, const std::string& reason)> removed;
};

// Tracks the registered backend servers from the registration records in the store, which must be
// applied in the order in which they were written there. A registration that lapses while the store
// is unavailable may be renewed afterwards, so it is kept for a grace period.
class backend_registry {
public:
    explicit backend_registry(registry_hooks callbacks);

    // Applies a registration record. Returns whether it does more than renew the registration.
    bool apply_registration(const registration& incoming);

    // Applies a record that withdraws a registration. Returns whether the registration existed.
    bool apply_removal(time_point now, const backend_id& id);

    // Applies the complete list of registrations; those missing from it are removed.
    void apply_full_list(time_point now, const std::vector<registration>& all);

    // Merges the list of a store that was restored from a backup, which may be older than what is
    // known. Registrations missing from it are kept for a grace period. Returns those in the list
    // that are older than the known state of their backend server.
    std::set<backend_id> merge_restored_list(time_point now, const std::vector<registration>& all);

    // Applies a registration that another daemon knows from before the store was restored. Returns
    // whether it is newer than what is known.
    bool apply_earlier_registration(const registration& incoming);
    // Applies a removal that another daemon knows. `last` is the registration that was removed; a
    // later one is kept. Returns whether the backend server was removed.
    bool apply_earlier_removal(const registration& last);

    // Whether the backend server of a registration from a restored store is known to have been
    // removed after that registration.
    [[nodiscard]] bool was_removed_since(const registration& listed) const;

    // To be called when the store stops and starts answering.
    void store_became_unavailable();
    void store_became_available(time_point now);

    // Removes lapsed registrations whose grace period is over.
    void tick(time_point now);

    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    struct entry {
        registration last;
        // When a lapsed registration is removed unless it is renewed.
        std::optional<time_point> expires_at;
        // Whether the backend server registered after the last outage of the store. A removal is
        // no lapse then, since a registration outlasts the longest time between two renewals.
        bool renewed_since_outage = false;
    };
    struct tombstone {
        std::int64_t started_at = 0;
        std::uint64_t sequence = 0;
    };

    // Whether a registration is older than the latest one of that backend server.
    [[nodiscard]] bool is_outdated(const registration& incoming) const;
    // The same for one from a restored store. If its run is unknown, a lower sequence counts as
    // older.
    [[nodiscard]] bool is_outdated_after_restore(const registration& incoming) const;
    // Takes over a registration that is not outdated. Returns whether it does more than renew.
    bool take(const registration& incoming);
    // Until a backend server registers again, its removal may be a lapse.
    void expect_lapses();
    void add_tombstone(const registration& last);
    void remove_missing(time_point now, const std::set<backend_id>& present);
    [[nodiscard]] bool is_lapse_likely(time_point now) const;
    void remove(const backend_id& id, const std::string& reason);

    registry_hooks hooks;
    std::map<backend_id, entry> entries;
    // The last state of removed backend servers, so that a delayed record does not add them again.
    std::map<backend_id, tombstone> tombstones;
    bool store_unavailable = false;
    std::optional<time_point> store_available_since;
};

} // namespace azureshore::balance
