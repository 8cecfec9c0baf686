#pragma once

#include "azureshore/outcomes/attempt.hpp"
#include "azureshore/outcomes/request.hpp"
#include "azureshore/wire/outcome_messages.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace azureshore::outcomes::detail {

// One attempt, from its permit request to its report.
struct live_attempt {
    attempt_number number;
    bool running = false;
    // Whether this attempt is the trial of a fingerprint under suspicion.
    bool trial = false;
    backend_id backend;
    time_point started;
};

// The phase of a request.
enum class request_phase : std::uint8_t {
    // Waits until its intent is read back from the log.
    awaiting_intent,
    // Waits for the outcome of the earlier request that holds its key.
    awaiting_outcome,
    // Waits until a trial of its fingerprint has ended.
    held,
    // Has pending or running attempts.
    attempting,
};

// The state of one request on this VM.
struct request_state {
    incoming_request incoming;
    time_point deadline;
    std::uint64_t fingerprint = 0;
    request_phase phase = request_phase::attempting;
    std::vector<live_attempt> attempts;
    std::vector<backend_id> tried_backends;
    unsigned attempts_made = 0;
    // Whether an attempt ended without proof that it did not run.
    bool may_have_run = false;
    bool hedged = false;
    // Whether a trial of this request ended without an answer and without proof that it did not
    // run.
    bool trial_failed = false;
    // The caller has its response or has disconnected; only the outcome remains to be recorded.
    bool detached = false;
    bool attempts_cancelled = false;
    wire::key_digest key;
    wire::intent_id intent;
    // Whether an earlier request with this key may have run unknown to this VM, which has not read
    // the whole stream.
    bool key_history_unread = false;
    // Whether the intent holds the key, so that the outcome of the request must be recorded.
    bool holds_key = false;

    [[nodiscard]] bool keyed() const
    {
        return !this->incoming.idempotent && !this->incoming.key.empty();
    }

    [[nodiscard]] bool has_running_attempt() const
    {
        return std::any_of(this->attempts.begin(), this->attempts.end(),
                           [](const live_attempt& each) { return each.running; });
    }

    // Returns the claim that is proved now. A running attempt or an earlier request with this key
    // rules out the claim that the request did not run.
    [[nodiscard]] run_claim claim() const
    {
        const bool proved = !this->may_have_run && !this->has_running_attempt() &&
                            !this->key_history_unread &&
                            this->phase != request_phase::awaiting_outcome;
        return proved ? run_claim::not_run : run_claim::unknown;
    }
};

} // namespace azureshore::outcomes::detail
