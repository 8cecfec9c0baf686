#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/observe/decision.hpp"
#include "azureshore/observe/metrics.hpp"
#include "azureshore/wire/rollout_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::rollout {

// The states that are kept in the store.
enum class decided_state : std::uint8_t { running, completed, rolled_back };

// The operators' order to move a service's requests to servers of another version.
struct order {
    service_id service;
    std::string new_version;
    // From the order to the deadline of the decision.
    duration time_limit{};

    bool operator==(const order&) const = default;
};

// The buckets of response times: the first one ends at 5 ms, each further one at 1.5 times the
// end of the one before it, and the last one has no end.
inline constexpr std::size_t bucket_count = 20;
std::size_t bucket_of(duration response_time);

// Adds counts to others of the same kind. Routes beyond a fixed number are dropped, which bounds
// the size of a report.
void merge(std::vector<wire::route_counts>& into, const std::vector<wire::route_counts>& more);

// What a sequential test found against the target version.
struct finding {
    // "failures" or "slow".
    std::string_view kind;
    // The hash of the route, or zero for all routes together.
    std::uint64_t route = 0;
};

// Compares the target version with the others, by route and for all routes together. Two cumulative
// sums of log-likelihood ratios (Page's test) are kept for each: one of failures, and one of
// responses that take over about three times the others' median. The rates that are expected of a
// good version are those of the others in the same seconds, so that a service that fails or slows
// down as a whole is no evidence. A sum never falls below zero, so that a version that turns bad
// late is found as soon as one that is bad from the start.
class comparison {
public:
    comparison();
    ~comparison();
    comparison(comparison&&) noexcept;
    comparison& operator=(comparison&&) noexcept;
    comparison(const comparison&) = delete;
    comparison& operator=(const comparison&) = delete;

    // Takes what was counted since the last call. To be called several times a second. The evidence
    // of half a second is limited, as one incident at one server makes many responses fail.
    void add(time_point now, const std::vector<wire::route_counts>& counts);

    // Returns what was found against the target version, if anything. A finding stays.
    [[nodiscard]] std::optional<finding> found() const;

    // Whether something is on its way to be found.
    [[nodiscard]] bool is_suspicious() const;

    // Whether each route of some weight has had this many responses of the target version with
    // known times, and all together the other number.
    [[nodiscard]] bool has_judged(std::uint64_t on_each_route, std::uint64_t together) const;
    // The same for all responses of the target version, also those of cold servers, whose times are
    // not known.
    [[nodiscard]] bool has_counted(std::uint64_t on_each_route, std::uint64_t together) const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

// Which servers of the service get requests.
enum class traffic : std::uint8_t {
    // None of the target version.
    held,
    // A small share goes to the target version.
    exposed,
    // All requests go to the target version.
    moved,
};

struct service_counts {
    std::size_t target = 0;
    std::size_t other = 0;
};

// The newest states in the store.
struct status_list {
    bool ok = false;
    std::uint64_t end_offset = 0;
    struct entry {
        service_id service;
        std::string new_version;
        decided_state state = decided_state::running;
    };
    std::vector<entry> entries;
};

enum class write_outcome : std::uint8_t { written, conflict, unknown };

struct settings {
    // The time within which a notice reaches all daemons in contact.
    duration spread_within = std::chrono::seconds(2);
    // The longest time that a request may run at a server.
    duration longest_request = std::chrono::seconds(3);
    duration rollback_within = std::chrono::seconds(5);
};

// The functions that answer may do so at once or later.
struct controller_hooks {
    std::function<void(const order&, traffic)> direct;
    // The order was withdrawn; no version is preferred.
    std::function<void(const service_id&)> release;
    // The servers in service of the target version and of the others.
    std::function<service_counts(const service_id&, const std::string& new_version)> count;
    // Whether this daemon decides, that is, reads the store for all.
    std::function<bool()> decides;
    // Sends a report to the parent in the broadcast tree. Returns false if there is none.
    std::function<bool(const wire::rollout_report&)> report;
    std::function<void(const std::vector<wire::rollout_status>&)> notify;
    std::function<void(std::function<void(const status_list&)> done)> list_states;
    std::function<void(const order&, decided_state, std::uint64_t at,
                       std::function<void(write_outcome)> done)>
        write_state;
    observe::decision_hook log;
    random_source random;
};

// One daemon's part in all roll-outs. Daemons count responses by route and version and report the
// counts up the broadcast tree. The daemon that reads the store compares the versions, notifies the
// others of its decisions, and writes them to the store, on condition that nothing was written to
// the states' topic since it read it. The first final state in the store is never changed.
//
// A daemon sends requests to the target version of an undecided roll-out only while it hears from
// the daemon that decides. All calls must come from one thread.
class controller {
public:
    controller(settings bounds, controller_hooks hooks);
    ~controller();
    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;
    controller(controller&&) = delete;
    controller& operator=(controller&&) = delete;

    void set_settings(const settings& bounds);

    // Takes an order. `may_be_old` says that it may have been given long ago, as when it was found
    // at the start of the daemon.
    void take_order(time_point now, const order& given, bool may_be_old);
    void withdraw_order(const service_id& service);
    [[nodiscard]] std::vector<service_id> ordered_services() const;

    void observe(const service_id& service, std::string_view route, const std::string& version,
                 bool failed, bool cold, duration response_time);
    void take_report(const wire::rollout_report& report);
    void take_notice(time_point now, const wire::rollout_notice& notice);

    // To be called every 250 ms. Does nothing without orders.
    void tick(time_point now);

    // Returns the phase that this daemon knows of a service's roll-out.
    [[nodiscard]] std::optional<wire::rollout_phase> phase(const service_id& service) const;

    void write_metrics(observe::metrics& into) const;

private:
    class state;
    std::shared_ptr<state> inner;
};

std::string_view to_string(wire::rollout_phase phase);

} // namespace azureshore::rollout
