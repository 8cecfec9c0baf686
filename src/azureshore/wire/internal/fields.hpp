#pragma once

// The fields of each message in wire order. A new field goes at the end.

#include "azureshore/wire/configuration_record.hpp"
#include "azureshore/wire/message.hpp"

#include <tuple>

namespace azureshore::wire::detail {

template <class Message>
struct fields;

// One line for each message type keeps encoder and decoder on the same order.
#define AZURESHORE_FIELDS(type, ...)                                                               \
    template <>                                                                                    \
    struct fields<type> {                                                                          \
        template <class Message>                                                                   \
        static auto tie(Message& m)                                                                \
        {                                                                                          \
            return std::tie(__VA_ARGS__);                                                          \
        }                                                                                          \
    }

AZURESHORE_FIELDS(cell_id, m.service, m.data_centre);
AZURESHORE_FIELDS(pool_id, m.service, m.region);
AZURESHORE_FIELDS(address, m.host, m.port);
AZURESHORE_FIELDS(load_report, m.running, m.slots);
AZURESHORE_FIELDS(rumour, m.subject, m.incarnation, m.condition, m.data_centre, m.where);
AZURESHORE_FIELDS(heartbeat, m.incarnation, m.leaving, m.revision, m.purpose, m.sequence, m.origin,
                  m.subject, m.data_centre, m.where, m.rumours);
AZURESHORE_FIELDS(permit_return, m.pool, m.leader, m.permit, m.backend, m.result, m.latency,
                  m.instance, m.load);
AZURESHORE_FIELDS(permit_request, m.pool, m.ticket, m.time_left, m.caller, m.avoid, m.returns);
AZURESHORE_FIELDS(permit_cancel, m.pool, m.ticket);
AZURESHORE_FIELDS(permit_grant, m.pool, m.ticket, m.permit, m.backend, m.data_centre, m.where,
                  m.waited, m.lease, m.bears, m.warm, m.contended);
AZURESHORE_FIELDS(permit_queued, m.pool, m.ticket);
AZURESHORE_FIELDS(permit_refusal, m.pool, m.ticket, m.reason, m.retry_after);
AZURESHORE_FIELDS(held_permit, m.leader, m.permit, m.backend, m.time_left);
AZURESHORE_FIELDS(known_backend, m.backend, m.instance, m.bears, m.age);
AZURESHORE_FIELDS(leader_claim, m.pool, m.round, m.cold);
AZURESHORE_FIELDS(permit_report, m.pool, m.held, m.known, m.round, m.supported, m.epoch);
AZURESHORE_FIELDS(configuration_record, m.offset, m.bytes);
AZURESHORE_FIELDS(configuration_records, m.records);
AZURESHORE_FIELDS(configuration_pull, m.from);
AZURESHORE_FIELDS(configuration_state, m.snapshot);
AZURESHORE_FIELDS(configuration_notice, m.next_offset, m.snapshot_covers, m.snapshot_age);
template <>
struct fields<branch_mark> {
    static std::tuple<> tie(const branch_mark& /*mark*/) { return {}; }
};

AZURESHORE_FIELDS(setting, m.path, m.value);
AZURESHORE_FIELDS(setting_edit, m.path, m.value);
AZURESHORE_FIELDS(configuration_change, m.id, m.author, m.made_at, m.base, m.edits);
AZURESHORE_FIELDS(setting_step, m.path, m.before, m.after);
AZURESHORE_FIELDS(accepted_change, m.id, m.author, m.made_at, m.revision, m.steps);
AZURESHORE_FIELDS(configuration_snapshot, m.next_offset, m.revision, m.oldest_base, m.settings,
                  m.recent, m.refused);
AZURESHORE_FIELDS(suspicion, m.service, m.fingerprint, m.deaths, m.time_left, m.backend);
AZURESHORE_FIELDS(key_digest, m.high, m.low);
AZURESHORE_FIELDS(intent_id, m.instance, m.number);
AZURESHORE_FIELDS(run_intent, m.key, m.id, m.fingerprint);
AZURESHORE_FIELDS(run_release, m.key, m.id);
AZURESHORE_FIELDS(stored_header, m.name, m.value);
AZURESHORE_FIELDS(stored_answer, m.status, m.headers, m.body);
AZURESHORE_FIELDS(run_outcome, m.key, m.id, m.answered, m.answer);
AZURESHORE_FIELDS(run_record, m.version, m.expired_below, m.outcomes, m.releases, m.intents);
AZURESHORE_FIELDS(run_group, m.service, m.partition, m.entries);

AZURESHORE_FIELDS(topic_position, m.epoch, m.offset);
AZURESHORE_FIELDS(version_counts, m.responses, m.failures, m.times);
AZURESHORE_FIELDS(route_counts, m.route, m.target, m.other);
AZURESHORE_FIELDS(rollout_evidence, m.service, m.new_version, m.routes);
AZURESHORE_FIELDS(rollout_report, m.evidence);
AZURESHORE_FIELDS(rollout_status, m.service, m.new_version, m.phase, m.stored, m.age);
AZURESHORE_FIELDS(rollout_notice, m.rollouts, m.broadcast_id);
AZURESHORE_FIELDS(shared_record, m.offset, m.key, m.value, m.dropped_value);
AZURESHORE_FIELDS(topic_news, m.reader, m.topic, m.from, m.next, m.records, m.operators_next,
                  m.members_digest, m.request_rate, m.ends_round, m.broadcast_id,
                  m.operators_before);
AZURESHORE_FIELDS(member_hello, m.sender, m.members_digest, m.request_rate);
AZURESHORE_FIELDS(earlier_record, m.record, m.valid_for);
AZURESHORE_FIELDS(topic_snapshot, m.topic, m.next, m.age, m.part, m.parts, m.records, m.snapshot_id,
                  m.broadcast_id, m.earlier_records, m.before);
AZURESHORE_FIELDS(member_entry, m.name, m.where, m.data_centre, m.incarnation, m.state);
AZURESHORE_FIELDS(member_changes, m.members);
AZURESHORE_FIELDS(member_digests, m.sender, m.buckets, m.is_answer);
AZURESHORE_FIELDS(topics_pull, m.sender, m.operators_next, m.registrations_next, m.wants_snapshot,
                  m.redirects);
AZURESHORE_FIELDS(topic_update, m.topic, m.from, m.next, m.age, m.records);
AZURESHORE_FIELDS(pull_redirect, m.targets, m.redirects, m.member_count);
AZURESHORE_FIELDS(crash_suspicion, m.fingerprint, m.broadcast_id);
AZURESHORE_FIELDS(quota_ask, m.account, m.ticket, m.needed, m.expected);
AZURESHORE_FIELDS(quota_query, m.asks);
AZURESHORE_FIELDS(quota_grant, m.account, m.ticket, m.granted, m.retry_after, m.owned);
AZURESHORE_FIELDS(quota_reply, m.grants);
AZURESHORE_FIELDS(quota_ping, m.number, m.is_answer);

#undef AZURESHORE_FIELDS

// Whether a number read from the wire is an enumerator. Each switch names them all and has no
// default, so that the compiler refuses one that is forgotten here.
constexpr bool is_known(vm_condition value)
{
    switch (value) {
    case vm_condition::live:
    case vm_condition::leaving:
    case vm_condition::suspected:
        return true;
    }
    return false;
}

constexpr bool is_known(heartbeat_purpose value)
{
    switch (value) {
    case heartbeat_purpose::probe:
    case heartbeat_purpose::relay:
    case heartbeat_purpose::answer:
        return true;
    }
    return false;
}

constexpr bool is_known(refusal_reason value)
{
    switch (value) {
    case refusal_reason::overloaded:
    case refusal_reason::deadline_too_close:
    case refusal_reason::no_backend:
    case refusal_reason::unknown_service:
    case refusal_reason::shutting_down:
    case refusal_reason::not_leader:
        return true;
    }
    return false;
}

constexpr bool is_known(shared_topic value)
{
    switch (value) {
    case shared_topic::operators:
    case shared_topic::registrations:
        return true;
    }
    return false;
}

constexpr bool is_known(rollout_phase value)
{
    return value <= rollout_phase::rolled_back;
}

constexpr bool is_known(member_state value)
{
    switch (value) {
    case member_state::serving:
    case member_state::leaving:
    case member_state::gone:
        return true;
    }
    return false;
}

constexpr bool is_known(usage value)
{
    switch (value) {
    case usage::succeeded:
    case usage::refused:
    case usage::failed:
    case usage::unused:
    case usage::cancelled:
        return true;
    }
    return false;
}

} // namespace azureshore::wire::detail
