#pragma once

#include "load_plan.hpp"
#include "load_report.hpp"

namespace azureshore::load {

// Puts the load on its target and returns once the last request has ended.
load_report run_load(const load_plan& plan);

} // namespace azureshore::load
