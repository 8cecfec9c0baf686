#pragma once

#include "azureshore/balance/backend_server.hpp"
#include "azureshore/balance/traffic_configuration.hpp"
#include "azureshore/gateway/dialect.hpp"
#include "azureshore/net/http_client.hpp"
#include "azureshore/platform/keyed_topic.hpp"
#include "azureshore/rollout/rollout.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <variant>

namespace azureshore::daemon {

// The operators took a data centre out of service, or back.
struct data_centre_service {
    data_centre_id name;
    bool in_service = true;

    bool operator==(const data_centre_service&) const = default;
};

// The operators ordered to move a service's requests to servers of another version, or withdrew the
// order.
struct rollout_order_record {
    service_id service;
    bool withdrawn = false;
    std::string new_version;
    // The time from the order to the deadline of the decision. Positive.
    duration time_limit{};

    bool operator==(const rollout_order_record&) const = default;
};

// A record of the operators that this daemon has no use for.
struct unused_record {
    bool operator==(const unused_record&) const = default;
};

using operator_record = std::variant<unused_record, balance::traffic_configuration,
                                     data_centre_service, rollout_order_record>;

// What the store holds of the state of a service's roll-out.
struct rollout_status_record {
    service_id service;
    std::string new_version;
    rollout::decided_state state = rollout::decided_state::running;

    bool operator==(const rollout_status_record&) const = default;
};

// The result of an append that is made only if the topic ends at a given offset.
enum class append_outcome : std::uint8_t {
    written,
    // The topic ends elsewhere; nothing was written.
    conflict,
    // No answer came; the record may have been written.
    unknown,
};

// Where the platform keeps what.
struct platform_topics {
    platform::keyed_topic operators;
    platform::keyed_topic registrations;
    // Daemons that announced themselves: a name, and a text of their own.
    platform::keyed_topic members;
    // Announces one; says whether the store has it.
    std::function<void(const vm_id&, const std::string& what, std::function<void(bool)> done)>
        announce;
    // The states of the roll-outs.
    platform::keyed_topic statuses;
    // Appends the state of a roll-out if the topic of the states ends at `at`.
    std::function<void(const rollout_status_record&, std::uint64_t at,
                       std::function<void(append_outcome)> done)>
        write_status;
};

// All that differs from one platform to the next: spellings, formats and calls.
struct gateway_platform {
    gateway::dialect words;
    std::string readiness_path;
    std::function<platform_topics(net::http_client&, const address& store, duration timeout)>
        open_topics;
    std::function<absl::StatusOr<operator_record>(const platform::keyed_record&)>
        read_operator_record;
    std::function<absl::StatusOr<balance::registration>(const platform::keyed_record&)>
        read_registration;
    // Fails for records of the topic that are no states of roll-outs.
    std::function<absl::StatusOr<rollout_status_record>(const platform::keyed_record&)>
        read_rollout_status;
};

} // namespace azureshore::daemon
