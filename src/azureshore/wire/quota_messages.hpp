#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <cstdint>
#include <vector>

namespace azureshore::wire {

// Asks one of an account's two quota owners for tokens, one for each request.
struct quota_ask {
    account_id account;
    // Chosen by the asking daemon; the answer repeats it.
    std::uint64_t ticket = 0;
    // Tokens for requests that wait for them.
    std::uint32_t needed = 0;
    // Tokens for requests that are expected before the tokens expire.
    std::uint32_t expected = 0;

    bool operator==(const quota_ask&) const = default;
};

struct quota_query {
    std::vector<quota_ask> asks;

    bool operator==(const quota_query&) const = default;
};

// An owner's answer to one ask. The tokens expire a fixed time after the asking daemon made the
// ask, by that daemon's clock.
struct quota_grant {
    account_id account;
    std::uint64_t ticket = 0;
    std::uint32_t granted = 0;
    // If not zero, the asking daemon must not ask this owner again earlier than after this time.
    duration retry_after{};
    // Whether the sender keeps part of the account's quota at present.
    bool owned = false;

    bool operator==(const quota_grant&) const = default;
};

struct quota_reply {
    std::vector<quota_grant> grants;

    bool operator==(const quota_reply&) const = default;
};

// Asks whether the sender and the receiver are in contact. The receiver sends it back as an answer,
// unless it takes the sender for gone.
struct quota_ping {
    std::uint64_t number = 0;
    bool is_answer = false;

    bool operator==(const quota_ping&) const = default;
};

} // namespace azureshore::wire
