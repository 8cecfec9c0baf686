#pragma once

#include "azureshore/observe/decision.hpp"

#include <cstddef>
#include <string>

namespace azureshore::observe {

// Sends the process's log to standard error. To be called once, before anything is logged.
void start_logging(const std::string& program);

// Logs a line that is no decision, such as a start or a stop.
void log_event(const decision& event);

// A hook that logs the given share of decisions, evenly spread. May be called from any thread.
decision_hook make_decision_log(std::size_t percent);

} // namespace azureshore::observe
