#pragma once

#include "load_kinds.hpp"

#include <cstdint>

namespace azureshore::bench {

// Serves a load from one queue shared by all gateways, which knows the worth of each request, free
// slots without delay, and fills no server beyond the slots at which it slows down. Returns the
// results by kind.
std::vector<kind_result> serve_ideally(const load_deployment& deployment, double load,
                                       duration span, std::uint64_t seed);

} // namespace azureshore::bench
