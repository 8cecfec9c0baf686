#include "azureshore/wire/configuration_record.hpp"

#include "azureshore/core/failure.hpp"
#include "azureshore/wire/internal/pack.hpp"

namespace azureshore::wire {

namespace {

constexpr std::uint32_t record_parts = 2;

record_body read_record(const msgpack::object& in)
{
    record_body body;
    detail::read(in, body);
    return body;
}

absl::StatusOr<record_body> read_versioned(const msgpack::object& in)
{
    const auto& parts = detail::as_array(in);
    if (parts.size < 1) {
        throw msgpack::type_error();
    }
    if (parts.ptr[0].as<std::uint64_t>() > record_format) {
        return make_status(failure::record_from_future, "record of a newer format");
    }
    if (parts.size != record_parts || parts.ptr[0].as<std::uint64_t>() != record_format) {
        throw msgpack::type_error();
    }
    return read_record(parts.ptr[1]);
}

} // namespace

std::string encode_record(const record_body& body)
{
    msgpack::sbuffer buffer;
    detail::packer out(buffer);
    out.pack_array(record_parts);
    out.pack(record_format);
    detail::write(out, body);
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<record_body> decode_record(std::string_view bytes)
{
    if (bytes.size() > max_record_bytes) {
        return make_status(failure::record_oversized, "larger than a record may be");
    }
    try {
        const auto handle = detail::unpack_whole(bytes);
        return read_versioned(handle.get());
    }
    catch (const std::exception&) {
        return make_status(failure::record_malformed, "not a record of the configuration stream");
    }
}

} // namespace azureshore::wire
