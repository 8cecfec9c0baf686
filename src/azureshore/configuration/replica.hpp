#pragma once

#include "azureshore/configuration/effective.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/observe/decision.hpp"
#include "azureshore/platform/log.hpp"
#include "azureshore/wire/message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::configuration {

class folded_state;
struct fold_outcome;

// The stream of the platform's log that carries the tree.
inline constexpr const char* configuration_stream = "azureshore-configuration";

// Where the replica's actions go. Hooks must not call back into the replica.
struct replica_hooks {
    std::function<void(const vm_id& to, const wire::message&)> send;
    // Appends to the configuration stream; ends in `append_ended`.
    std::function<void(std::uint64_t append_id, std::string bytes)> append;
    // A newer configuration is in force.
    std::function<void(std::shared_ptr<const effective_configuration>)> in_force;
    observe::decision_hook log;
    // What the fold made of the record at an offset; may be empty.
    std::function<void(std::uint64_t offset, const fold_outcome&)> folded = {};
};

// How records are passed on and snapshots renewed.
struct replica_settings {
    // Peers that get a new record at once from each VM that learns it.
    std::size_t fanout = 4;
    // Rounds in which a new revision is told to `fanout` more peers, and the time between them.
    std::size_t notice_rounds = 3;
    duration notice_interval = std::chrono::milliseconds(250);
    // Records up to this size together are passed on; larger ones are asked for.
    std::size_t max_push_bytes = 16UL * 1024UL;
    // Wait before asking a peer for what the log may bring by itself.
    duration pull_delay = std::chrono::milliseconds(50);
    // Time between two pulls while records are missing, and peers asked at a time.
    duration pull_interval = std::chrono::milliseconds(400);
    std::size_t pull_peers = 2;
    // Time between two notices to a random peer when nothing changes.
    duration idle_notice_interval = std::chrono::seconds(2);
    // Records kept as they came, for peers that lack a few.
    std::size_t kept_records = 256;
    std::size_t kept_bytes = 256UL * 1024UL;
    // Records held while an earlier one is missing.
    std::size_t max_pending_records = 4096;
    // A snapshot is appended when the last one is older than this, or this many records back.
    // Must be well below the log's retention.
    duration snapshot_interval = std::chrono::minutes(10);
    std::uint64_t snapshot_records = 1024;
    // Each VM waits a random time up to this, so that mostly one of them appends.
    duration snapshot_spread = std::chrono::seconds(20);
    duration append_retry = std::chrono::seconds(10);
};

// Why a replica has no configuration in force yet.
enum class readiness {
    ready,
    // Neither the log nor a peer has answered.
    nothing_known,
    // The log no longer keeps its first records, and no snapshot has come.
    snapshot_missing,
    // The log was read and holds no accepted change.
    nothing_published,
};

std::string_view to_string(readiness state);

// What the replica has done since it began.
struct replica_counters {
    std::uint64_t accepted = 0;
    // Changes refused or repeated.
    std::uint64_t refused = 0;
    // Records skipped by every VM alike.
    std::uint64_t malformed = 0;
    std::uint64_t from_future = 0;
    std::uint64_t oversized = 0;
    std::uint64_t states_adopted = 0;
    std::uint64_t states_rejected = 0;
    std::uint64_t snapshots_appended = 0;
    std::uint64_t messages_sent = 0;
};

// One VM's copy of the tree: folds the log's records, passes them on to peers and takes theirs.
// Offsets of the stream are contiguous. Has no threads, sockets or clock of its own.
class replica {
public:
    replica(vm_id self, random_source random, replica_hooks hooks, replica_settings settings = {});
    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;
    replica(replica&&) = delete;
    replica& operator=(replica&&) = delete;

    // Takes what a read of the stream brought.
    void log_read(time_point now, const platform::read_result& result);

    // Where the next read starts.
    [[nodiscard]] std::uint64_t next_offset() const;

    void append_ended(time_point now, std::uint64_t append_id,
                      const platform::append_result& result);

    // Takes a configuration message; ignores others.
    void receive(time_point now, const vm_id& from, const wire::message& body);

    // The peers to pass records on to; this VM itself is left out.
    void update_peers(time_point now, std::vector<vm_id> peers);

    // A peer's revision, as its heartbeat told it.
    void peer_revision(time_point now, const vm_id& peer, std::uint64_t revision);

    void tick(time_point now);
    [[nodiscard]] time_point next_tick() const;

    // The configuration in force; null until the first is known.
    [[nodiscard]] std::shared_ptr<const effective_configuration> current() const;

    // Whether a configuration is in force, or why not.
    [[nodiscard]] readiness ready() const;

    // The tree and its last changes, as far as records are folded.
    [[nodiscard]] const folded_state& folded() const;

    // The state as a snapshot record; equal on every VM for the same folded offset.
    [[nodiscard]] std::string snapshot() const;

    [[nodiscard]] const replica_counters& counters() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::configuration
