#include "azureshore/core/failure.hpp"

#include <absl/strings/cord.h>

#include <array>
#include <string>

namespace azureshore {

namespace {

constexpr std::string_view payload_url = "azureshore/failure";

struct failure_row {
    failure kind;
    std::string_view name;
    absl::StatusCode code;
};

constexpr std::array rows{
    failure_row{failure::none, "none", absl::StatusCode::kOk},
    failure_row{failure::settings_unreadable, "settings_unreadable", absl::StatusCode::kNotFound},
    failure_row{failure::settings_invalid, "settings_invalid", absl::StatusCode::kInvalidArgument},
    failure_row{failure::address_invalid, "address_invalid", absl::StatusCode::kInvalidArgument},
    failure_row{failure::message_malformed, "message_malformed", absl::StatusCode::kDataLoss},
    failure_row{failure::message_oversized, "message_oversized", absl::StatusCode::kOutOfRange},
    failure_row{failure::message_unauthenticated, "message_unauthenticated",
                absl::StatusCode::kUnauthenticated},
    failure_row{failure::message_replayed, "message_replayed", absl::StatusCode::kAlreadyExists},
    failure_row{failure::record_malformed, "record_malformed", absl::StatusCode::kDataLoss},
    failure_row{failure::record_from_future, "record_from_future",
                absl::StatusCode::kUnimplemented},
    failure_row{failure::record_oversized, "record_oversized", absl::StatusCode::kOutOfRange},
    failure_row{failure::revision_conflict, "revision_conflict", absl::StatusCode::kAborted},
    failure_row{failure::tree_invalid, "tree_invalid", absl::StatusCode::kInvalidArgument},
    failure_row{failure::platform_unreachable, "platform_unreachable",
                absl::StatusCode::kUnavailable},
    failure_row{failure::platform_refused, "platform_refused", absl::StatusCode::kUnavailable},
    failure_row{failure::platform_outcome_unknown, "platform_outcome_unknown",
                absl::StatusCode::kUnknown},
    failure_row{failure::record_expired, "record_expired", absl::StatusCode::kOutOfRange},
    failure_row{failure::connection_failed, "connection_failed", absl::StatusCode::kUnavailable},
    failure_row{failure::timed_out, "timed_out", absl::StatusCode::kDeadlineExceeded},
    failure_row{failure::cancelled, "cancelled", absl::StatusCode::kCancelled},
    failure_row{failure::internal, "internal", absl::StatusCode::kInternal},
};

const failure_row& row_of(failure kind)
{
    for (const auto& row : rows) {
        if (row.kind == kind) {
            return row;
        }
    }
    return rows.back();
}

} // namespace

std::string_view to_string(failure kind)
{
    return row_of(kind).name;
}

absl::Status make_status(failure kind, std::string_view message)
{
    absl::Status status(row_of(kind).code, std::string(message));
    status.SetPayload(std::string(payload_url), absl::Cord(std::string(to_string(kind))));
    return status;
}

failure failure_of(const absl::Status& status)
{
    if (status.ok()) {
        return failure::none;
    }
    const auto payload = status.GetPayload(std::string(payload_url));
    if (!payload) {
        return failure::internal;
    }
    const std::string name(*payload);
    for (const auto& row : rows) {
        if (name == row.name) {
            return row.kind;
        }
    }
    return failure::internal;
}

} // namespace azureshore
