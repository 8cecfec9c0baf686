#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::wire {

// The topics of the platform's store that one daemon reads for all.
enum class shared_topic : std::uint8_t { operators, registrations };

constexpr std::string_view to_string(shared_topic topic)
{
    return topic == shared_topic::operators ? "operators" : "registrations";
}

// A place between two records of a topic. Offsets are only comparable within an epoch, which ends
// when the store is restored from a backup: what was written after the backup is lost then, and its
// offsets are reused.
struct topic_position {
    std::uint64_t epoch = 0;
    std::uint64_t offset = 0;

    auto operator<=>(const topic_position&) const = default;
};

// A record of such a topic, as the platform's store has it.
struct shared_record {
    std::uint64_t offset = 0;
    std::string key;
    // Nothing when the key was dropped.
    std::optional<std::string> value;
    // What the key held before it was dropped, if known. Only snapshots include it, so that their
    // receivers can distinguish a value that was written since from one that was dropped.
    std::optional<std::string> dropped_value{};

    bool operator==(const shared_record&) const = default;
};

// What a daemon has read: the records in [from, next) that change anything. Each receiver forwards
// it along the broadcast trees.
struct topic_news {
    // The daemon that read.
    vm_id reader;
    shared_topic topic = shared_topic::registrations;
    // An offset in the epoch of `next`.
    std::uint64_t from = 0;
    topic_position next;
    std::vector<shared_record> records;
    // How far the sender has read the operators' topic.
    topic_position operators_next;
    // Tells whether the receiver knows the same daemons.
    std::uint64_t members_digest = 0;
    // Requests a second that all daemons get together.
    double request_rate = 0;
    // Whether this is the last message of what was read at once. Receivers answer this one.
    bool ends_round = true;
    // Random; each daemon handles and forwards the message once.
    std::uint64_t broadcast_id = 0;
    // How far the reader knew the operators' topic before the store was last restored.
    topic_position operators_before{};

    bool operator==(const topic_news&) const = default;
};

// A record from before the store was restored from a backup, which the restored store lacks or has
// only in an older version.
struct earlier_record {
    // Without a value if the key was dropped, though the restored store has it.
    shared_record record;
    // How much longer the record holds if nobody writes its key again.
    duration valid_for{};

    bool operator==(const earlier_record&) const = default;
};

// All that the sender knows of a topic, in one or more messages.
struct topic_snapshot {
    shared_topic topic = shared_topic::registrations;
    topic_position next;
    // How long ago the sender's knowledge was as new as the store's.
    duration age{};
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    // The newest record of each key that the store has, and the latest removals.
    std::vector<shared_record> records;
    // Random and the same for all parts of a snapshot. It identifies parts that belong together, as
    // daemons that know the same records may divide them differently.
    std::uint64_t snapshot_id = 0;
    // Random if each receiver forwards the message along the broadcast trees, zero if the sender
    // answers one daemon.
    std::uint64_t broadcast_id = 0;
    std::vector<earlier_record> earlier_records;
    // How far the sender knew the topic before the store was last restored.
    topic_position before{};

    bool operator==(const topic_snapshot&) const = default;
};

// The order matters: of two entries of one incarnation, the one with the later state is newer.
enum class member_state : std::uint8_t { serving, leaving, gone };

struct member_entry {
    vm_id name;
    address where;
    data_centre_id data_centre;
    // Grows with each start of the daemon, and when it contradicts what others say of it.
    std::uint64_t incarnation = 0;
    member_state state = member_state::serving;

    bool operator==(const member_entry&) const = default;
};

// The sender lives. Sent to its parent in the broadcast tree after each news message.
struct member_hello {
    member_entry sender;
    std::uint64_t members_digest = 0;
    // Requests a second that the sender and all daemons below it in the broadcast tree get.
    double request_rate = 0;

    bool operator==(const member_hello&) const = default;
};

// Entries that may be new to the receiver.
struct member_changes {
    std::vector<member_entry> members;

    bool operator==(const member_changes&) const = default;
};

// Digests of the sender's view by bucket of names. The receiver answers with its entries of the
// buckets that differ and, unless this message is an answer itself, with its own digests.
struct member_digests {
    member_entry sender;
    std::vector<std::uint64_t> buckets;
    bool is_answer = false;

    bool operator==(const member_digests&) const = default;
};

// Asks for what the receiver knows of the topics beyond these positions.
struct topics_pull {
    member_entry sender;
    topic_position operators_next;
    topic_position registrations_next;
    // The sender has just started and knows neither the topics nor the members.
    bool wants_snapshot = false;
    // How often this request has been redirected.
    std::uint32_t redirects = 0;

    bool operator==(const topics_pull&) const = default;
};

// The answer to a pull: the records in [from, next) that change anything.
struct topic_update {
    shared_topic topic = shared_topic::registrations;
    // An offset in the epoch of `next`.
    std::uint64_t from = 0;
    topic_position next;
    // How long ago the sender's knowledge was as new as the store's.
    duration age{};
    std::vector<shared_record> records;

    bool operator==(const topic_update&) const = default;
};

// The sender has no capacity for a snapshot; these daemons have or will have one. If there are
// none, the sender sends its snapshot as soon as it has one.
struct pull_redirect {
    std::vector<member_entry> targets;
    std::uint32_t redirects = 0;
    // The number of daemons that the sender has heard of.
    std::uint32_t member_count = 0;

    bool operator==(const pull_redirect&) const = default;
};

// A backend server's process ended while it ran a request with this fingerprint.
struct crash_suspicion {
    std::uint64_t fingerprint = 0;
    // Random; each daemon counts and forwards the crash once.
    std::uint64_t broadcast_id = 0;

    bool operator==(const crash_suspicion&) const = default;
};

} // namespace azureshore::wire
