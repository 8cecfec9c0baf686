#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::wire {

// How busy a backend server says it is.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t slots = 0;

    bool operator==(const load_report&) const = default;
};

// How a permit was used.
enum class usage : std::uint8_t {
    succeeded,
    // The backend server said that it refused before running.
    refused,
    failed,
    // No byte was sent to the backend server.
    unused,
    // The attempt was given up on this side, which says nothing of the backend server.
    cancelled,
};

// Gives a permit back, with what was learnt about the backend server.
struct permit_return {
    pool_id pool;
    // The leader that granted the permit.
    vm_id leader;
    permit_number permit;
    backend_id backend;
    usage result = usage::unused;
    duration latency{};
    instance_id instance;
    std::optional<load_report> load;

    bool operator==(const permit_return&) const = default;
};

// Asks a pool's leader for leave to run one request on one of the pool's backend servers.
struct permit_request {
    pool_id pool;
    // Chosen by the asking VM; the answer repeats it. A repeated request has the same ticket.
    std::uint64_t ticket = 0;
    // Time left until the request's deadline.
    duration time_left{};
    // Requests of one caller share this name and are queued fairly against other callers'.
    std::string caller;
    // Backend servers that this request has tried already.
    std::vector<backend_id> avoid;
    // Permits given back to the same leader.
    std::vector<permit_return> returns;

    bool operator==(const permit_request&) const = default;
};

// Withdraws a ticket that is still queued.
struct permit_cancel {
    pool_id pool;
    std::uint64_t ticket = 0;

    bool operator==(const permit_cancel&) const = default;
};

// Leave to run one request on one backend server until the lease ends.
struct permit_grant {
    pool_id pool;
    std::uint64_t ticket = 0;
    permit_number permit;
    backend_id backend;
    data_centre_id data_centre;
    address where;
    // Time that the ticket was queued at the leader. The lease ends `waited + lease` after the
    // asking VM first sent the request, which is never later than the leader's own reckoning.
    duration waited{};
    duration lease{};
    // Requests that the leader believes the backend server bears at once.
    std::uint32_t bears = 0;
    // Whether the leader believes the backend server to be warm.
    bool warm = false;
    // Other tickets wait, so the permit is to be given back without delay.
    bool contended = false;

    bool operator==(const permit_grant&) const = default;
};

// Tells that a repeated ticket is still queued.
struct permit_queued {
    pool_id pool;
    std::uint64_t ticket = 0;

    bool operator==(const permit_queued&) const = default;
};

// Why a request got no permit.
enum class refusal_reason : std::uint8_t {
    overloaded,
    deadline_too_close,
    no_backend,
    unknown_service,
    shutting_down,
    not_leader,
};

// The leader's answer to a ticket that it will not serve.
struct permit_refusal {
    pool_id pool;
    std::uint64_t ticket = 0;
    refusal_reason reason = refusal_reason::overloaded;
    duration retry_after{};

    bool operator==(const permit_refusal&) const = default;
};

// One permit that a VM holds.
struct held_permit {
    vm_id leader;
    permit_number permit;
    backend_id backend;
    // Time until the request's deadline, when it can run no longer.
    duration time_left{};

    bool operator==(const held_permit&) const = default;
};

// What a VM last learnt about a backend server, for a leader that knows less.
struct known_backend {
    backend_id backend;
    instance_id instance;
    // Requests that it bore at once; zero when its last answers were failures.
    std::uint32_t bears = 0;
    duration age{};

    bool operator==(const known_backend&) const = default;
};

// Asks a VM to report, and to support the sender as the pool's only leader for a while.
struct leader_claim {
    pool_id pool;
    // Grows with each claim of one leader; the report repeats it.
    std::uint64_t round = 0;
    // The backend servers that the sender holds to be cold.
    std::vector<backend_id> cold;

    bool operator==(const leader_claim&) const = default;
};

// All permits of one pool that the sending VM holds.
struct permit_report {
    pool_id pool;
    std::vector<held_permit> held;
    std::vector<known_backend> known;
    // The claim that this answers; zero when it answers none.
    std::uint64_t round = 0;
    // Whether the sender supports the claim, and so no other leader while the support lasts.
    bool supported = false;
    // Changes whenever the sender comes to support another leader than the one before.
    std::uint64_t epoch = 0;

    bool operator==(const permit_report&) const = default;
};

} // namespace azureshore::wire
