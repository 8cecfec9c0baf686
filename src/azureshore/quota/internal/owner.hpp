#pragma once

#include "azureshore/quota/internal/limits.hpp"

#include <optional>
#include <unordered_map>

namespace azureshore::quota::detail {

// How long a new owner of an account waits until its bucket starts to fill: daemons that hear of
// the change later than others must not get tokens from the earlier owner meanwhile.
inline constexpr duration settle_time = std::chrono::seconds(5);

// The quotas that this daemon owns.
class owner {
public:
    // Sets the bucket of an account that this daemon owns. An account that it did not own gets an
    // empty bucket, which starts to fill at a given time.
    void own(time_point now, const account_id& account, const bucket_size& size,
             time_point fills_from);
    void disown(const account_id& account);

    // Scales all buckets by the share of the daemons that this one is in contact with.
    void set_contact(time_point now, double share);

    // Empties all buckets, which start to fill after the settle time.
    void start_over(time_point now);

    // Answers an ask.
    wire::quota_grant answer(time_point now, const wire::quota_ask& ask);

    // To be called at short intervals. Empties the buckets if the time since the last call shows
    // that this process did not run, as the other daemons may have replaced it.
    void tick(time_point now);

    [[nodiscard]] std::size_t owned_count() const { return this->buckets.size(); }
    [[nodiscard]] std::uint64_t tokens_issued() const { return this->issued; }
    [[nodiscard]] std::uint64_t pauses() const { return this->pause_count; }

private:
    struct bucket {
        bucket_size size;
        double level = 0;
        // The time up to which the level is computed, or at which the bucket starts to fill.
        time_point filled_at;
        // The next time that a refused daemon is given.
        time_point next_slot{};
    };

    void fill(time_point now, bucket& filled) const;
    [[nodiscard]] static duration next_retry(time_point now, bucket& empty, double rate);

    std::unordered_map<account_id, bucket> buckets;
    double contact = 1;
    std::optional<time_point> ticked_at;
    std::uint64_t issued = 0;
    std::uint64_t pause_count = 0;
};

} // namespace azureshore::quota::detail
