#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::settings {

// What a key of a settings file may hold.
enum class value_kind {
    text,
    address,
    whole_number,
    milliseconds,
    fraction,
    flag,
    key_list,
    address_list
};

// A value found in a file, already of the kind its rule names.
struct found_value {
    std::string text;
    std::int64_t number = 0;
    double fraction = 0;
    bool flag = false;
    azureshore::address where;
    std::vector<std::string> list;
    std::vector<azureshore::address> addresses;
};

// One key: where it stands, what it may hold, and where its value goes.
struct rule {
    // Table and key, joined by a dot.
    std::string_view path;
    value_kind kind = value_kind::text;
    bool required = false;
    // Shown in the reference for a key that is not required.
    std::string_view fallback;
    // For numbers of every kind.
    std::int64_t least = 0;
    std::int64_t most = 0;
    std::string_view meaning;
    std::function<void(const found_value&)> assign;
};

// One fault of a settings file.
struct problem {
    std::string file;
    // Zero when the fault is a missing key.
    std::uint32_t line = 0;
    std::string key;
    std::string found;
    std::string allowed;

    bool operator==(const problem&) const = default;
};

// The problem in one line: file:line: key: found ..., allowed ...
std::string to_string(const problem& fault);

// Checks `text` against the rules and assigns every value; returns all faults in order of lines.
// Values are assigned only when there is no fault.
std::vector<problem> apply_rules(std::string_view file, std::string_view text,
                                 const std::vector<rule>& rules);

// The text of a file; nothing if it can't be read.
std::optional<std::string> read_text_file(const std::string& file);

// The fault of a file that can't be read.
problem unreadable(const std::string& file);

// The rules as a Markdown table, for the settings reference.
std::string to_reference(const std::vector<rule>& rules);

} // namespace azureshore::settings
