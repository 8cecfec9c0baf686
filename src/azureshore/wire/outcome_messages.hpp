#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::wire {

// Tells other VMs that requests with this fingerprint may have killed a backend server.
struct suspicion {
    service_id service;
    std::uint64_t fingerprint = 0;
    // Backend servers that died under the request so far.
    std::uint32_t deaths = 0;
    // How long only the sender may try the request again; zero when the suspicion is lifted.
    duration time_left{};
    // The backend server that died now; empty when none did.
    backend_id backend;

    bool operator==(const suspicion&) const = default;
};

// An Idempotency-Key as records hold it: a hash of fixed size.
struct key_digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const key_digest&) const = default;
    bool operator==(const key_digest&) const = default;
};

// Names an intent. The instance is one run of a VM's process.
struct intent_id {
    std::uint64_t instance = 0;
    std::uint64_t number = 0;

    auto operator<=>(const intent_id&) const = default;
    bool operator==(const intent_id&) const = default;
};

// A VM means to run the request that has this key.
struct run_intent {
    key_digest key;
    intent_id id;
    // Of the request's content; a key that comes with other content is refused.
    std::uint64_t fingerprint = 0;

    bool operator==(const run_intent&) const = default;
};

// An intent's request was proved not to have run; its key is free again.
struct run_release {
    key_digest key;
    intent_id id;

    bool operator==(const run_release&) const = default;
};

// One HTTP field line of a stored answer.
struct stored_header {
    std::string name;
    std::string value;

    bool operator==(const stored_header&) const = default;
};

// A backend server's answer as kept for callers who send their request again.
struct stored_answer {
    std::uint32_t status = 0;
    std::vector<stored_header> headers;
    std::string body;

    bool operator==(const stored_answer&) const = default;
};

// How an intent's request ended.
struct run_outcome {
    key_digest key;
    intent_id id;
    // False when nobody can know whether the request ran to its end.
    bool answered = false;
    // Absent also when the answer was too large to keep.
    std::optional<stored_answer> answer;

    bool operator==(const run_outcome&) const = default;
};

// Version of run_record; a VM that reads a later one runs no keyed requests.
constexpr std::uint32_t run_record_version = 1;

// One record of a service's run-once stream. Outcomes and releases count before intents.
struct run_record {
    std::uint32_t version = run_record_version;
    // Keys that were taken below this offset have outlived their time, before anything else in
    // this record counts. Keys expire by records alone, so they do so alike on every VM.
    std::uint64_t expired_below = 0;
    std::vector<run_outcome> outcomes;
    std::vector<run_release> releases;
    std::vector<run_intent> intents;

    bool operator==(const run_record&) const = default;
};

// Asks the VM that groups for a stream to append these entries with its own.
struct run_group {
    service_id service;
    std::uint32_t partition = 0;
    run_record entries;

    bool operator==(const run_group&) const = default;
};

} // namespace azureshore::wire
