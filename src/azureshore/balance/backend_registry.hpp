#pragma once

#include "azureshore/balance/backend_server.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::balance {

// Told of each change; called from within the registry's own calls.
struct registry_hooks {
    std::function<void(const registration&)> changed;
    std::function<void(const backend_id&, const std::string& why)> removed;
};

// The backend servers that are registered, from the records of their registrations in the order
// of the store. A registration that lapses while the store is away may come back, so it is kept
// until the time for that has passed.
class backend_registry {
public:
    explicit backend_registry(registry_hooks told);

    // A registration was read; returns whether it says anything new but that the backend server
    // lives.
    bool apply_registration(const registration& read);

    // The record says that the registration is gone; returns whether it was there.
    bool apply_removal(time_point now, const backend_id& id);

    // The whole list was read: what it lacks is gone.
    void apply_full_list(time_point now, const std::vector<registration>& all);

    // The store stopped or started answering.
    void store_became_unavailable();
    void store_became_available(time_point now);

    // Drops lapsed registrations that did not come back in time.
    void tick(time_point now);

    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    struct entry {
        registration last;
        // When a lapsed registration is taken as gone.
        std::optional<time_point> gone_at;
    };
    struct grave {
        std::int64_t started_at = 0;
        std::uint64_t sequence = 0;
    };

    // Whether a registration is older than what is known of that backend server.
    [[nodiscard]] bool outdated(const registration& read) const;
    [[nodiscard]] bool lapse_likely(time_point now) const;
    void remove(const backend_id& id, const std::string& why);

    registry_hooks hooks;
    std::map<backend_id, entry> entries;
    // The last that was known of backend servers that are gone, so that a late record of theirs
    // does not bring them back.
    std::map<backend_id, grave> graves;
    bool away = false;
    std::optional<time_point> back_at;
};

} // namespace azureshore::balance
