#include "azureshore/platform/log_client.hpp"

#include <msgpack.hpp>

#include <charconv>
#include <utility>

namespace azureshore::platform {

namespace {

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_gone = 410;
constexpr int first_refusal = 400;
constexpr std::size_t max_read_bytes = 16UL * 1024UL * 1024UL;
constexpr std::size_t max_append_answer_bytes = 4096;

std::uint64_t number_of(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string records_target(const std::string& stream)
{
    return "/streams/" + stream + "/records";
}

std::vector<log_record> unpack_records(const std::string& body)
{
    const auto handle = msgpack::unpack(body.data(), body.size());
    const auto pairs = handle.get().as<std::vector<std::pair<std::uint64_t, std::string>>>();
    std::vector<log_record> records;
    records.reserve(pairs.size());
    for (const auto& [offset, bytes] : pairs) {
        records.push_back({offset, bytes});
    }
    return records;
}

} // namespace

append_result read_append_answer(const net::http_result& result)
{
    if (result.why == failure::none && result.status == status_created) {
        return {append_outcome::accepted, number_of(result.header("Log-Offset"))};
    }
    // A refusal comes before the write; anything else may hide a write that took effect.
    const bool refused = result.why == failure::none && result.status >= first_refusal &&
                         result.header("Log-Written") == "no";
    if (refused || !result.connected) {
        return {append_outcome::refused, 0};
    }
    return {append_outcome::unknown, 0};
}

read_result read_records_answer(const net::http_result& result)
{
    read_result read;
    if (result.why != failure::none) {
        return read;
    }
    read.first_offset = number_of(result.header("Log-First-Offset"));
    read.next_offset = number_of(result.header("Log-Next-Offset"));
    if (result.status == status_gone) {
        read.outcome = read_outcome::expired;
        return read;
    }
    if (result.status != status_ok) {
        return read;
    }
    try {
        read.records = unpack_records(result.body);
        read.outcome = read_outcome::ok;
    }
    catch (const std::exception&) {
        read.outcome = read_outcome::unavailable;
    }
    return read;
}

log_hooks make_log_client(net::http_client& http, const address& where, duration timeout)
{
    log_hooks hooks;
    hooks.append = [&http, where, timeout](const std::string& stream, std::string bytes,
                                           std::function<void(append_result)> done) {
        net::http_request request;
        request.where = where;
        request.method = "POST";
        request.target = records_target(stream);
        request.headers = {{"Content-Type", "application/octet-stream"}};
        request.body = std::move(bytes);
        request.timeout = timeout;
        request.max_answer_body = max_append_answer_bytes;
        // An append sent twice would be two records.
        request.may_reuse_connection = false;
        http.start(std::move(request), [done = std::move(done)](const net::http_result& result) {
            done(read_append_answer(result));
        });
    };
    hooks.read = [&http, where, timeout](const std::string& stream, std::uint64_t from,
                                         std::chrono::milliseconds wait,
                                         std::function<void(read_result)> done) {
        net::http_request request;
        request.where = where;
        request.target = records_target(stream) + "?from=" + std::to_string(from) +
                         "&wait_ms=" + std::to_string(wait.count());
        request.timeout = timeout + wait;
        request.max_answer_body = max_read_bytes;
        http.start(std::move(request), [done = std::move(done)](const net::http_result& result) {
            done(read_records_answer(result));
        });
    };
    return hooks;
}

} // namespace azureshore::platform
