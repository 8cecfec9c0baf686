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
    // A time with its unit, in a text such as "2.5 s" or "2500 ms". A number alone is milliseconds.
    time_span,
    // A number, also as a text.
    fraction,
    flag,
    key_list,
    address_list
};

// A value found in a file, already of the kind its rule names.
struct found_value {
    std::string text;
    std::int64_t number = 0;
    duration span{};
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
    // For numbers of every kind; those of times are milliseconds.
    std::int64_t least = 0;
    std::int64_t most = 0;
    std::string_view meaning;
    std::function<void(const found_value&)> assign;
    // Puts the value in force in the place of one that can't be used; for tolerant readings.
    std::function<void()> keep{};
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

// A value of a settings file that can't be used, and what holds in its place.
struct substitution {
    problem fault;
    std::string used;

    bool operator==(const substitution&) const = default;
};

// The substitution in one line: the problem, then what is used.
std::string to_string(const substitution& made);

// Which values of a file may be unusable without making the whole file unusable.
enum class tolerance { no_value, values_not_required, every_value };

// What a settings file came to. If there are problems, no value of the file was assigned.
struct file_reading {
    std::vector<problem> problems;
    std::vector<substitution> substitutions;
};

// Checks `text` against the rules and assigns every value; returns all faults in order of lines.
// Values are assigned only when there is no fault.
std::vector<problem> apply_rules(std::string_view file, std::string_view text,
                                 const std::vector<rule>& rules);

// Reads `text` by the rules as far as it can be used. A tolerated value beyond the range of its
// rule is replaced by the nearest one in the range; a time below the range only if its unit is
// given, as a number alone may be in another unit. Of a list of addresses, those that can be read
// are taken. For any other tolerated value, the rule's `keep` is called. Unknown keys are ignored
// unless no value is tolerated. A missing key that is required is always a problem.
file_reading read_rules(std::string_view file, std::string_view text,
                        const std::vector<rule>& rules, tolerance tolerated);

// The text of a file; nothing if it can't be read.
std::optional<std::string> read_text_file(const std::string& file);

// The fault of a file that can't be read.
problem unreadable(const std::string& file);

// The rules as a Markdown table, for the settings reference.
std::string to_reference(const std::vector<rule>& rules);

} // namespace azureshore::settings
