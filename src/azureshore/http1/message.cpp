#include "azureshore/http1/message.hpp"

#include <http_parser.h>

#include <algorithm>

namespace azureshore::http1 {

namespace {

constexpr int first_final_status = 200;
constexpr int no_content = 204;
constexpr int not_modified = 304;
// Room that a head usually takes.
constexpr std::size_t head_bytes = 512;

void append_fields(std::string& out, const std::vector<net::field>& fields)
{
    for (const auto& each : fields) {
        out.append(each.name).append(": ").append(each.value).append("\r\n");
    }
}

void append_length(std::string& out, std::size_t length)
{
    out.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
}

bool has_usual_body(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

// The length of `http://` or `https://` at the start of a target; zero if it has neither.
std::size_t scheme_length(std::string_view target)
{
    for (const std::string_view scheme : {"http://", "https://"}) {
        if (net::same_name(target.substr(0, scheme.size()), scheme)) {
            return scheme.size();
        }
    }
    return 0;
}

// The target in origin form for the rest of a URI after its host. OPTIONS without a path asks about
// the server as a whole.
std::string after_host(const request& of, const std::string& rest)
{
    if (rest.empty() && of.method == "OPTIONS") {
        return "*";
    }
    return rest.starts_with('/') ? rest : "/" + rest;
}

} // namespace

void use_origin_form(request& of)
{
    const auto scheme = scheme_length(of.target);
    if (scheme == 0) {
        return;
    }
    const auto host_end = std::min(of.target.find_first_of("/?", scheme), of.target.size());
    const auto host = of.target.substr(scheme, host_end - scheme);
    // An http or https URI has a host and no user information (RFC 9110, section 4.2).
    if (host.empty() || host.find('@') != std::string::npos) {
        return;
    }
    of.target = after_host(of, of.target.substr(host_end));
    for (auto& each : of.fields) {
        if (net::same_name(each.name, "Host")) {
            each.value = host;
        }
    }
}

std::string write_request(const request& out)
{
    return write_request_head(out, out.body.size()).append(out.body);
}

std::string write_request_head(const request& out, std::size_t body_bytes)
{
    std::string bytes;
    bytes.reserve(head_bytes);
    bytes.append(out.method).append(" ").append(out.target).append(" HTTP/1.1\r\n");
    append_fields(bytes, out.fields);
    if (body_bytes > 0 || has_usual_body(out.method)) {
        append_length(bytes, body_bytes);
    }
    return bytes.append("\r\n");
}

std::string write_response(const response& out, bool to_head)
{
    auto bytes = write_response_head(out, to_head);
    return sends_body(out, to_head) ? bytes.append(out.body) : bytes;
}

std::string write_response_head(const response& out, bool to_head)
{
    std::string bytes;
    bytes.reserve(head_bytes);
    bytes.append("HTTP/1.1 ").append(std::to_string(out.status)).append(" ");
    bytes.append(reason_of(out.status)).append("\r\n");
    append_fields(bytes, out.fields);
    if (sends_body(out, to_head)) {
        append_length(bytes, out.body.size());
    }
    if (!out.keep_alive) {
        bytes.append("Connection: close\r\n");
    }
    return bytes.append("\r\n");
}

bool sends_body(const response& out, bool to_head)
{
    return !to_head && out.status != no_content && out.status != not_modified &&
           out.status >= first_final_status;
}

std::string_view reason_of(int status)
{
    switch (status) {
#define AZURESHORE_REASON(number, name, text)                                                      \
    case number:                                                                                   \
        return #text;
        HTTP_STATUS_MAP(AZURESHORE_REASON)
#undef AZURESHORE_REASON
    default:
        return "";
    }
}

} // namespace azureshore::http1
