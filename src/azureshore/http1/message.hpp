#pragma once

#include "azureshore/net/field_text.hpp"

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
};

// A response as it stands on the wire, with its body decoded from chunks.
struct response {
    int status = 200;
    std::vector<net::field> fields;
    std::string body;
    bool keep_alive = true;
};

// Rewrites a target in absolute form, a whole http or https URI, in origin form, as its path and
// query. The host of the URI replaces the value of the Host field (RFC 9112, section 3.2.2). Leaves
// any other target as it is.
void use_origin_form(request& of);

// The bytes of a request; the length is set for a body or for a method that usually has one.
std::string write_request(const request& out);

// The bytes of a response. `to_head` says that it answers a HEAD request: it keeps the length that
// it names and has no body.
std::string write_response(const response& out, bool to_head);

// The standard reason phrase of a status; empty for an unknown one.
std::string_view reason_of(int status);

} // namespace azureshore::http1
