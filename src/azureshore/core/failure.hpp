#pragma once

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace azureshore {

// What went wrong, as code may act on it. The message of a status is for people only.
enum class failure {
    none,
    settings_unreadable,
    settings_invalid,
    address_invalid,
    message_malformed,
    message_oversized,
    message_unauthenticated,
    message_replayed,
    record_malformed,
    record_from_future,
    record_oversized,
    revision_conflict,
    tree_invalid,
    platform_unreachable,
    platform_refused,
    platform_outcome_unknown,
    record_expired,
    connection_failed,
    timed_out,
    cancelled,
    internal,
};

// The name of a failure as logs, metrics and Proxy-Status show it.
std::string_view to_string(failure kind);

// A status that carries the failure as a payload beside its message.
absl::Status make_status(failure kind, std::string_view message);

// The failure that a status carries; failure::none for an ok status.
failure failure_of(const absl::Status& status);

} // namespace azureshore
