#include "azureshore/wire/run_record.hpp"

#include "azureshore/core/failure.hpp"
#include "azureshore/wire/internal/pack.hpp"

namespace azureshore::wire {

std::string encode(const run_record& record)
{
    msgpack::sbuffer buffer;
    detail::packer out(buffer);
    detail::write(out, record);
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<run_record> decode_run_record(std::string_view bytes)
{
    try {
        const auto handle = detail::unpack_whole(bytes);
        const auto& parts = detail::as_array(handle.get());
        if (parts.size > 0 && parts.ptr[0].as<std::uint32_t>() > run_record_version) {
            return make_status(failure::record_from_future, "run record of a later version");
        }
        run_record record;
        detail::read(handle.get(), record);
        return record;
    }
    catch (const std::exception&) {
        return make_status(failure::record_malformed, "not a run record");
    }
}

} // namespace azureshore::wire
