#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/wire/configuration_messages.hpp"
#include "azureshore/wire/membership_messages.hpp"
#include "azureshore/wire/outcome_messages.hpp"
#include "azureshore/wire/permit_messages.hpp"
#include "azureshore/wire/quota_messages.hpp"
#include "azureshore/wire/rollout_messages.hpp"
#include "azureshore/wire/sharing_messages.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace azureshore::wire {

// Every message between two entry VMs. New kinds go at the end: the place in this list is the
// kind's number on the wire.
using message =
    std::variant<heartbeat, permit_request, permit_cancel, permit_grant, permit_refusal,
                 permit_return, permit_report, configuration_records, configuration_pull, suspicion,
                 configuration_state, configuration_notice, permit_queued, leader_claim, run_group,
                 topic_news, member_hello, member_changes, crash_suspicion, topic_snapshot,
                 member_digests, topics_pull, topic_update, pull_redirect, quota_query, quota_reply,
                 rollout_report, rollout_notice, quota_ping>;

// A message with its sender.
struct envelope {
    vm_id from;
    message body;

    bool operator==(const envelope&) const = default;
};

// Version of the encoding; a message of another version is refused as malformed.
constexpr std::uint8_t protocol_version = 3;

// Largest encoded message in bytes; a larger one is neither sent nor read.
constexpr std::size_t max_message_bytes = 1024UL * 1024UL;

// The message as bytes.
std::string encode(const envelope& sent);

// Reads what `encode` wrote; fails with failure::message_malformed or message_oversized.
absl::StatusOr<envelope> decode(std::string_view bytes);

// The service that a message of the permits is about; null for every other kind.
const service_id* service_of(const message& body);

// The kind's name for logs and metrics.
std::string_view name_of(const message& body);

} // namespace azureshore::wire
