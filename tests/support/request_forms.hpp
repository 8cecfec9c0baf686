#pragma once

#include "azureshore/core/random.hpp"
#include "azureshore/http1/message.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace azureshore::test_support {

// What every request of a test has in common, and the limits that its forms go up to.
struct form_frame {
    std::string host = "a.example";
    // Begins each path; ends with a slash.
    std::string path_prefix = "/plates/";
    std::vector<net::field> fields;
    // Bytes of the start line and the field lines as they stand on the wire.
    std::size_t max_header_bytes = 16UL * 1024UL;
    std::size_t max_body_bytes = 64UL * 1024UL;
};

// A request that RFC 9110 and RFC 9112 allow, as bytes and as what those bytes mean.
struct request_form {
    std::string name;
    std::string bytes;
    // Where the body's first byte stands, after the empty lines before the request and its head.
    std::size_t body_at = 0;
    // Bytes of the start line and the field lines.
    std::size_t header_bytes = 0;
    // The target as it stands on the wire, and the values of fields without white space around.
    http1::request meaning;
    // The path and query alone, in a target that is a whole URI too.
    std::string path_and_query;
    bool expects_continue = false;
};

// A plain request and each allowed variation of it, one at a time.
std::vector<request_form> single_forms(const form_frame& frame);

// A request with a variation of each kind, drawn at random.
request_form random_form(const form_frame& frame, const random_source& random);

} // namespace azureshore::test_support
