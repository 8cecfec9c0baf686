#pragma once

#include "azureshore/wire/outcome_messages.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace azureshore::wire {

// The record as the platform's log keeps it.
std::string encode(const run_record& record);

// Reads what `encode` wrote; fails with failure::record_malformed or record_from_future.
absl::StatusOr<run_record> decode_run_record(std::string_view bytes);

} // namespace azureshore::wire
