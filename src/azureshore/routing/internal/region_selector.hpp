#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <map>
#include <vector>

namespace azureshore::routing::detail {

// Selects the pool for a permit request: the local region's pool, unless its expected queue wait
// exceeds the round trip to another region.
class region_selector {
public:
    // Sets the regions that have backend servers in service, and the local region.
    void update(std::vector<region_id> regions, region_id local_region);

    // Records a grant: the ticket was queued for `waited`, and the answer took `total`.
    void record_grant(time_point now, const region_id& region, duration total, duration waited);

    // Records a refusal with the time after which the pool may be tried again.
    void record_refusal(time_point now, const region_id& region, duration retry_after);

    // Returns the region with the lowest expected delay that is not in `tried`, or null if none is
    // left.
    [[nodiscard]] const region_id* choose(time_point now,
                                          const std::vector<region_id>& tried) const;

private:
    struct estimate {
        duration round_trip{};
        duration queue_wait{};
        time_point updated_at;
    };

    [[nodiscard]] duration expected_delay(time_point now, const region_id& region) const;

    std::vector<region_id> regions;
    region_id local_region;
    std::map<region_id, estimate> estimates;
};

} // namespace azureshore::routing::detail
