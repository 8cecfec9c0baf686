#pragma once

#include "azureshore/core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace azureshore::balance {

// Which versions of a service's backend servers get requests during and after a roll-out.
enum class version_use : std::uint8_t {
    // Any but the target version.
    other_only,
    // The target version gets a share of the sends, the others the rest.
    share,
    // The target version alone.
    target_only,
};

struct version_rule {
    std::string target;
    version_use use = version_use::other_only;
    // Of the requests, from 0 to 1. Used with version_use::share alone.
    double share = 0;

    bool operator==(const version_rule&) const = default;
};

// Backend servers of the target version and of all others.
struct version_counts {
    std::size_t target = 0;
    std::size_t other = 0;
};

// The rules in force on one daemon, and how many sends to the target version its share allows. The
// sends never exceed the share of the requests that were sent since the rule began, second sends
// included. A service without a rule is not restricted.
class version_filter {
public:
    // Puts a rule in force. The allowance is kept unless the target differs.
    void set_rule(const service_id& service, const version_rule& rule);
    void remove_rule(const service_id& service);

    // Returns the rule of a service, or null.
    [[nodiscard]] const version_rule* find(const service_id& service) const;

    // Counts the first send of a request to any version.
    void add_request(const service_id& service);

    // Takes one send to the target version from the allowance. Returns false if there is none.
    bool try_take(const service_id& service);
    // Returns a send that was taken and not made.
    void give_back(const service_id& service);

private:
    struct entry {
        version_rule rule;
        double allowance = 0;
    };
    std::map<service_id, entry> entries;
};

} // namespace azureshore::balance
