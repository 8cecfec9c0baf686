#pragma once

#include "azureshore/net/http_client.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::net {

// Whether a character may stand in a token, such as a method or the name of a field (RFC 9110,
// section 5.6.2).
bool is_token_character(char letter);

// Whether two field names are the same, compared without case.
bool same_name(std::string_view left, std::string_view right);

// The text without the white space around it.
std::string_view trimmed(std::string_view text);

// The members of a comma-separated list, without empty ones.
std::vector<std::string_view> list_members(std::string_view text);

// A number written in decimal digits alone; nothing for any other text.
std::optional<std::uint64_t> parse_number(std::string_view text);

// The value of the first field of that name; empty when absent.
std::string_view find_field(const std::vector<field>& fields, std::string_view name);

// The fields that go on to the other side: without those that concern one connection alone
// (RFC 9110, section 7.6.1) and without the length, which the writer sets.
std::vector<field> end_to_end(const std::vector<field>& fields);

// The text as it may stand in a query.
std::string percent_encoded(const std::string& text);

// The text that stands so in a query.
std::string percent_decoded(const std::string& text);

} // namespace azureshore::net
