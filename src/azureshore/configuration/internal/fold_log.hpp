#pragma once

#include "azureshore/configuration/fold.hpp"
#include "azureshore/configuration/replica.hpp"
#include "azureshore/observe/decision.hpp"

#include <cstdint>

namespace azureshore::configuration::detail {

// Counts one record's verdict and writes its log line.
void note_outcome(const observe::decision_hook& log, replica_counters& counters,
                  std::uint64_t offset, const fold_outcome& outcome);

} // namespace azureshore::configuration::detail
