#pragma once

#include "support/raw_server.hpp"

#include <cstdint>
#include <string>

namespace azureshore::testing {

// The health answer of a backend server on the users' platform.
std::string health_answer(const std::string& id);

// The status line and the fields of an answer to a request, without the empty line after them.
std::string head_of_answer(const std::string& request, const std::string& status = "200 OK");

// A whole answer with a length.
std::string whole_answer(const std::string& request, const std::string& body,
                         const std::string& more_fields = "");

// How many bytes after the head of a request were read with it.
std::size_t body_bytes_of(const std::string& request);

// What a backend server writes to the store about itself.
std::string registration_of(std::uint16_t port);

// Whether a request or its head asks for the health of a backend server.
bool is_health_check(const std::string& request);

} // namespace azureshore::testing
