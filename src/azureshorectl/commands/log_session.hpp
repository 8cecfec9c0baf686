#pragma once

#include "azureshore/configuration/fold.hpp"
#include "azureshore/configuration/replica.hpp"
#include "azureshorectl/commands/environment.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace azureshore::ctl {

// The configuration stream as one command follows it.
class log_session {
public:
    log_session(environment& world, duration timeout);

    // Reads up to the end of the log; fails with failure::platform_unreachable or, when its first
    // records are past retention and no snapshot is there, failure::record_expired.
    absl::Status load(time_point until);

    // Waits for new records, for at most `wait`.
    absl::Status follow(std::chrono::milliseconds wait);

    [[nodiscard]] const configuration::folded_state& state() const;

    // The first verdict on a change that this session saw.
    [[nodiscard]] const configuration::fold_outcome* outcome_of(const std::string& change_id) const;

    // Appends once. No answer in time counts as append_outcome::unknown.
    platform::append_result append(const std::string& bytes);

private:
    platform::read_result read(std::chrono::milliseconds wait, time_point until);

    environment& world;
    duration longest_call;
    std::map<std::string, configuration::fold_outcome> outcomes;
    std::unique_ptr<configuration::replica> replica;
};

} // namespace azureshore::ctl
