#pragma once

#include "azureshore/net/field_text.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::http1 {

// A request as it stands on the wire, with its body decoded from chunks.
struct request {
    std::string method = "GET";
    std::string target = "/";
    std::vector<net::field> fields;
    std::string body;
    // Whether the peer keeps the connection open after the answer.
    bool keep_alive = true;
    // Accounts for the memory that the message takes, for as long as it is held. May be empty.
    std::shared_ptr<void> memory;
};

// A response as it stands on the wire, with its body decoded from chunks.
struct response {
    int status = 200;
    std::vector<net::field> fields;
    std::string body;
    bool keep_alive = true;
    // Accounts for the memory that the message takes, for as long as it is held. May be empty.
    std::shared_ptr<void> memory;
};

// Rewrites a target in absolute form, a whole http or https URI, in origin form, as its path and
// query. The host of the URI replaces the value of the Host field (RFC 9112, section 3.2.2). Leaves
// any other target as it is.
void use_origin_form(request& of);

// The bytes of a request; the length is set for a body or for a method that usually has one.
std::string write_request(const request& out);

// The bytes of a request before its body, which has `body_bytes` and stands elsewhere.
std::string write_request_head(const request& out, std::size_t body_bytes);

// The bytes of a response. `to_head` says that it answers a HEAD request: it keeps the length that
// it names and has no body.
std::string write_response(const response& out, bool to_head);

// The bytes of a response before its body, which follows only if `sends_body`.
std::string write_response_head(const response& out, bool to_head);

// Whether the body of a response is sent: not to a HEAD request, nor with some statuses.
bool sends_body(const response& out, bool to_head);

// The standard reason phrase of a status; empty for an unknown one.
std::string_view reason_of(int status);

} // namespace azureshore::http1
