#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::wire {

// The topics of the platform's store that one daemon reads for all.
enum class shared_topic : std::uint8_t { operators, registrations };

// A record of such a topic, as the platform's store has it.
struct shared_record {
    std::uint64_t offset = 0;
    std::string key;
    // Nothing when the key was dropped.
    std::optional<std::string> value;

    bool operator==(const shared_record&) const = default;
};

// What a daemon has read: the records in [from, next) that change anything. The first receiver in
// another data centre passes them on to the daemons there.
struct topic_news {
    // The daemon that read.
    vm_id reader;
    shared_topic topic = shared_topic::registrations;
    std::uint64_t from = 0;
    std::uint64_t next = 0;
    std::vector<shared_record> records;
    // How far the sender has read the operators' topic.
    std::uint64_t operators_next = 0;
    // Tells whether the receiver knows the same daemons.
    std::uint64_t members_digest = 0;
    // Requests a second that all daemons get together.
    double request_rate = 0;

    bool operator==(const topic_news&) const = default;
};

// All that the sender knows of a topic, in one or more messages.
struct topic_snapshot {
    shared_topic topic = shared_topic::registrations;
    std::uint64_t next = 0;
    // How long ago the sender's knowledge was as new as the store's.
    duration age{};
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<shared_record> records;

    bool operator==(const topic_snapshot&) const = default;
};

// The sender lives; sent to all at its start and its end, and to the reader after its news.
struct member_hello {
    address where;
    data_centre_id data_centre;
    std::uint64_t members_digest = 0;
    bool leaving = false;
    // The sender has just started and asks for all that the receiver knows.
    bool wants_all = false;
    // Requests a second that the sender gets.
    double request_rate = 0;

    bool operator==(const member_hello&) const = default;
};

struct member_entry {
    vm_id name;
    address where;
    data_centre_id data_centre;
    bool leaving = false;

    bool operator==(const member_entry&) const = default;
};

// The daemons that the sender, which reads for all, has heard of lately.
struct member_list {
    vm_id reader;
    std::vector<member_entry> members;

    bool operator==(const member_list&) const = default;
};

// A backend server's process ended while it ran a request with this fingerprint.
struct crash_suspicion {
    std::uint64_t fingerprint = 0;

    bool operator==(const crash_suspicion&) const = default;
};

} // namespace azureshore::wire
