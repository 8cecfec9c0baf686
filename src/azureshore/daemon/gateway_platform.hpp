#pragma once

#include "azureshore/balance/backend_server.hpp"
#include "azureshore/balance/traffic_configuration.hpp"
#include "azureshore/gateway/dialect.hpp"
#include "azureshore/net/http_client.hpp"
#include "azureshore/platform/keyed_topic.hpp"

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

// A record of the operators that this daemon has no use for.
struct unused_record {
    bool operator==(const unused_record&) const = default;
};

using operator_record =
    std::variant<unused_record, balance::traffic_configuration, data_centre_service>;

// Where the platform keeps what.
struct platform_topics {
    platform::keyed_topic operators;
    platform::keyed_topic registrations;
    // Daemons that announced themselves: a name, and a text of their own.
    platform::keyed_topic members;
    // Announces one; says whether the store has it.
    std::function<void(const vm_id&, const std::string& what, std::function<void(bool)> done)>
        announce;
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
};

} // namespace azureshore::daemon
