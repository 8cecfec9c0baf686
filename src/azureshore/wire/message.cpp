#include "azureshore/wire/message.hpp"

#include "azureshore/core/failure.hpp"
#include "azureshore/wire/internal/pack.hpp"

#include <array>
#include <utility>

namespace azureshore::wire {

namespace {

constexpr std::array<std::string_view, std::variant_size_v<message>> names{
    "heartbeat",          "permit_request", "permit_cancel",       "permit_grant",
    "permit_refusal",     "permit_return",  "permit_report",       "configuration_records",
    "configuration_pull", "suspicion",      "configuration_state", "configuration_notice",
    "permit_queued",      "leader_claim",   "run_group",           "topic_news",
    "member_hello",       "member_changes", "crash_suspicion",     "topic_snapshot",
    "member_digests",     "topics_pull",    "topic_update",        "pull_redirect",
    "quota_query",        "quota_reply",    "rollout_report",      "rollout_notice",
    "quota_ping"};

constexpr std::uint32_t envelope_parts = 4;

template <std::size_t Kind = 0>
message read_kind(std::size_t kind, const msgpack::object& in)
{
    if constexpr (Kind < std::variant_size_v<message>) {
        if (kind != Kind) {
            return read_kind<Kind + 1>(kind, in);
        }
        std::variant_alternative_t<Kind, message> body;
        detail::read(in, body);
        return body;
    }
    else {
        throw msgpack::type_error();
    }
}

envelope read_envelope(const msgpack::object& in)
{
    const auto& parts = detail::as_array(in);
    if (parts.size != envelope_parts || parts.ptr[0].as<std::uint8_t>() != protocol_version) {
        throw msgpack::type_error();
    }
    envelope received;
    detail::read(parts.ptr[1], received.from);
    received.body = read_kind(parts.ptr[2].as<std::uint32_t>(), parts.ptr[3]);
    return received;
}

} // namespace

std::string encode(const envelope& sent)
{
    msgpack::sbuffer buffer;
    detail::packer out(buffer);
    out.pack_array(envelope_parts);
    out.pack(protocol_version);
    detail::write(out, sent.from);
    out.pack(static_cast<std::uint32_t>(sent.body.index()));
    std::visit([&out](const auto& body) { detail::write(out, body); }, sent.body);
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<envelope> decode(std::string_view bytes)
{
    if (bytes.size() > max_message_bytes) {
        return make_status(failure::message_oversized, "larger than an inner message may be");
    }
    try {
        const auto handle = detail::unpack_whole(bytes);
        return read_envelope(handle.get());
    }
    catch (const std::exception&) {
        return make_status(failure::message_malformed, "not an inner message of this version");
    }
}

const service_id* service_of(const message& body)
{
    return std::visit(
        [](const auto& each) -> const service_id* {
            if constexpr (requires { each.pool; }) {
                return &each.pool.service;
            }
            else if constexpr (requires { each.service; }) {
                return &each.service;
            }
            else {
                return nullptr;
            }
        },
        body);
}

std::string_view name_of(const message& body)
{
    return names.at(body.index());
}

} // namespace azureshore::wire
