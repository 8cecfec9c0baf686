#pragma once

#include "azureshore/net/field_text.hpp"

#include <vector>

namespace azureshore::http1::detail {

// Removes white space after values, which is not part of them (RFC 9112, section 5.1).
void trim_values(std::vector<net::field>& fields);

// Whether there is white space before the colon of a field. Readers differ in whether it belongs to
// the name.
bool has_spaced_name(const std::vector<net::field>& fields);

// Whether a request can be framed in one way only: no coding other than exactly "chunked", and not
// chunks together with a length.
bool is_framed_safely(const std::vector<net::field>& fields);

} // namespace azureshore::http1::detail
