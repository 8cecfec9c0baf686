#include "azureshore/settings/schema.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <limits>
#include <optional>
#include <sstream>
#include <utility>

// Every file that includes toml++ must say the same: the library differs by it.
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace azureshore::settings {

namespace {

struct located_value {
    std::string path;
    std::uint32_t line = 0;
    const toml::node* node = nullptr;
};

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

std::string shown(const toml::node& node)
{
    if (const auto* text = node.as_string()) {
        return quoted(text->get());
    }
    std::ostringstream out;
    node.visit([&out](const auto& each) { out << each; });
    return out.str();
}

std::string range_of(const rule& each)
{
    return std::to_string(each.least) + " to " + std::to_string(each.most);
}

std::string allowed_by(const rule& each)
{
    switch (each.kind) {
    case value_kind::text:
        return "a text that is not empty";
    case value_kind::address:
        return "an address host:port";
    case value_kind::whole_number:
        return "a whole number from " + range_of(each);
    case value_kind::milliseconds:
        return "milliseconds from " + range_of(each);
    case value_kind::time_span:
        return "a time such as \"2.5 s\" or \"2500 ms\", or milliseconds, from " + range_of(each) +
               " ms";
    case value_kind::fraction:
        return "a number from " + range_of(each);
    case value_kind::flag:
        return "true or false";
    case value_kind::key_list:
        return "a list of at least one key of 64 hexadecimal digits";
    case value_kind::address_list:
        return "a list of addresses host:port";
    }
    return {};
}

std::optional<found_value> read_text(const toml::node& node)
{
    const auto text = node.value_exact<std::string>();
    if (!text || text->empty()) {
        return std::nullopt;
    }
    found_value found;
    found.text = *text;
    return found;
}

std::optional<found_value> read_address(const toml::node& node)
{
    auto found = read_text(node);
    if (!found) {
        return std::nullopt;
    }
    const auto parsed = parse_address(found->text);
    if (!parsed.ok()) {
        return std::nullopt;
    }
    found->where = *parsed;
    return found;
}

std::optional<found_value> read_number(const toml::node& node, const rule& each)
{
    const auto number = node.value_exact<std::int64_t>();
    if (!number || *number < each.least || *number > each.most) {
        return std::nullopt;
    }
    found_value found;
    found.number = *number;
    found.span = std::chrono::milliseconds(*number);
    return found;
}

// A number in the unit of its rule, before its range is checked.
struct measure {
    double value = 0;
    bool unit_known = true;
};

std::string_view without_spaces_around(std::string_view text)
{
    const auto first = text.find_first_not_of(' ');
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

// The number at the start of a text; `rest` receives what follows it.
std::optional<double> leading_number(std::string_view text, std::string_view& rest)
{
    double value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc{} || !std::isfinite(value)) {
        return std::nullopt;
    }
    rest = without_spaces_around({result.ptr, static_cast<std::size_t>(end - result.ptr)});
    return value;
}

std::optional<double> number_of(const toml::node& node)
{
    const auto number = node.is_number() ? node.value<double>() : std::nullopt;
    return number && std::isfinite(*number) ? number : std::nullopt;
}

std::optional<measure> measure_fraction(const toml::node& node)
{
    if (const auto* text = node.as_string()) {
        std::string_view rest;
        const auto value = leading_number(without_spaces_around(text->get()), rest);
        return value && rest.empty() ? std::optional(measure{*value}) : std::nullopt;
    }
    const auto value = number_of(node);
    return value ? std::optional(measure{*value}) : std::nullopt;
}

std::optional<measure> measure_time_span(const toml::node& node)
{
    constexpr double ms_per_s = 1000;
    if (const auto* text = node.as_string()) {
        std::string_view unit;
        const auto value = leading_number(without_spaces_around(text->get()), unit);
        if (!value || *value < 0 || (unit != "s" && unit != "ms")) {
            return std::nullopt;
        }
        return measure{unit == "s" ? *value * ms_per_s : *value};
    }
    const auto value = number_of(node);
    return value ? std::optional(measure{*value, false}) : std::nullopt;
}

std::optional<measure> measure_value(const toml::node& node, const rule& each)
{
    switch (each.kind) {
    case value_kind::time_span:
        return measure_time_span(node);
    case value_kind::fraction:
        return measure_fraction(node);
    default:
        return std::nullopt;
    }
}

// `value` must be in the range of the rule.
found_value found_measure(double value)
{
    found_value found;
    found.fraction = value;
    found.span =
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
    return found;
}

std::optional<found_value> read_measure(const toml::node& node, const rule& each)
{
    const auto found = measure_value(node, each);
    if (!found || found->value < static_cast<double>(each.least) ||
        found->value > static_cast<double>(each.most)) {
        return std::nullopt;
    }
    return found_measure(found->value);
}

// The nearest value in the range of the rule to one out of it.
std::optional<found_value> read_nearest_measure(const toml::node& node, const rule& each)
{
    const auto found = measure_value(node, each);
    const auto least = static_cast<double>(each.least);
    if (!found || (found->value < least && !found->unit_known)) {
        return std::nullopt;
    }
    return found_measure(std::clamp(found->value, least, static_cast<double>(each.most)));
}

std::optional<found_value> read_flag(const toml::node& node)
{
    auto flag = node.value_exact<bool>();
    if (const auto text = node.value_exact<std::string>(); text == "true" || text == "false") {
        flag = text == "true";
    }
    if (!flag) {
        return std::nullopt;
    }
    found_value found;
    found.flag = *flag;
    return found;
}

bool is_key(std::string_view text)
{
    constexpr std::size_t key_digits = 64;
    return text.size() == key_digits &&
           text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

std::optional<found_value> read_keys(const toml::node& node)
{
    const auto* array = node.as_array();
    if (array == nullptr || array->empty()) {
        return std::nullopt;
    }
    found_value found;
    for (const auto& each : *array) {
        const auto text = each.value_exact<std::string>();
        if (!text || !is_key(*text)) {
            return std::nullopt;
        }
        found.list.push_back(*text);
    }
    return found;
}

// Those values of a list that are addresses.
std::optional<found_value> read_valid_addresses(const toml::node& node)
{
    const auto* array = node.as_array();
    if (array == nullptr) {
        return std::nullopt;
    }
    found_value found;
    for (const auto& each : *array) {
        if (const auto one = read_address(each)) {
            found.addresses.push_back(one->where);
        }
    }
    return found;
}

std::optional<found_value> read_addresses(const toml::node& node)
{
    auto found = read_valid_addresses(node);
    return found && found->addresses.size() == node.as_array()->size() ? found : std::nullopt;
}

std::optional<found_value> read_value(const toml::node& node, const rule& each)
{
    switch (each.kind) {
    case value_kind::text:
        return read_text(node);
    case value_kind::address:
        return read_address(node);
    case value_kind::whole_number:
    case value_kind::milliseconds:
        return read_number(node, each);
    case value_kind::time_span:
    case value_kind::fraction:
        return read_measure(node, each);
    case value_kind::flag:
        return read_flag(node);
    case value_kind::key_list:
        return read_keys(node);
    case value_kind::address_list:
        return read_addresses(node);
    }
    return std::nullopt;
}

// What is used of a value that can't be taken as it stands; nothing if that is unknown.
std::optional<found_value> read_usable_part(const toml::node& node, const rule& each)
{
    return each.kind == value_kind::address_list ? read_valid_addresses(node)
                                                 : read_nearest_measure(node, each);
}

std::string to_text(const found_value& found, const rule& each)
{
    std::ostringstream text;
    if (each.kind == value_kind::address_list) {
        for (const auto& one : found.addresses) {
            text << (text.tellp() > 0 ? ", " : "") << azureshore::to_string(one);
        }
        return found.addresses.empty() ? "none" : text.str();
    }
    text << found.fraction << (each.kind == value_kind::time_span ? " ms" : "");
    return text.str();
}

// Lists the values of a file; tables become parts of the paths of what they hold.
void collect(const toml::table& table, const std::string& prefix,
             std::vector<located_value>& values)
{
    for (const auto& [key, node] : table) {
        const auto path = prefix + std::string(key.str());
        if (const auto* inner = node.as_table()) {
            collect(*inner, path + '.', values);
            continue;
        }
        values.push_back({path, node.source().begin.line, &node});
    }
}

const rule* find_rule(const std::vector<rule>& rules, std::string_view path)
{
    const auto found =
        std::find_if(rules.begin(), rules.end(), [path](const rule& r) { return r.path == path; });
    return found == rules.end() ? nullptr : &*found;
}

std::string table_of(std::string_view path)
{
    const auto dot = path.rfind('.');
    return std::string(dot == std::string_view::npos ? "" : path.substr(0, dot));
}

std::string known_keys(const std::vector<rule>& rules, std::string_view path)
{
    const auto table = table_of(path);
    std::string keys;
    for (const auto& each : rules) {
        if (table_of(each.path) == table) {
            keys += keys.empty() ? "" : ", ";
            keys += each.path;
        }
    }
    if (keys.empty()) {
        return "a table that the reference names";
    }
    return "one of " + keys;
}

bool has_path(const std::vector<located_value>& values, std::string_view path)
{
    return std::any_of(values.begin(), values.end(),
                       [path](const located_value& value) { return value.path == path; });
}

// Applies rules to the values of one file, and collects what can't be used.
class rule_reader {
public:
    rule_reader(std::string file_name, const std::vector<rule>& all_rules,
                tolerance may_be_unusable)
        : file(std::move(file_name)), rules(all_rules), tolerated(may_be_unusable)
    {
    }

    void read(const located_value& value)
    {
        const auto* by = find_rule(this->rules, value.path);
        if (by == nullptr) {
            this->reject_unknown(value);
        }
        else if (auto found = read_value(*value.node, *by)) {
            this->accepted.push_back({by, std::move(*found)});
        }
        else {
            this->replace_unusable(value, *by);
        }
    }

    // Without a required key, the file may be one that is being written.
    void note_missing(const rule& each)
    {
        this->reading.problems.push_back(
            {this->file, 0, std::string(each.path), "nothing", allowed_by(each)});
    }

    // Assigns the values of a file without problems.
    file_reading finish()
    {
        std::stable_sort(
            this->reading.problems.begin(), this->reading.problems.end(),
            [](const auto& left, const auto& right) { return place_of(left) < place_of(right); });
        if (this->reading.problems.empty()) {
            for (const auto& each : this->accepted) {
                each.by->assign(each.found);
            }
            for (const auto* each : this->kept) {
                each->keep();
            }
        }
        return std::move(this->reading);
    }

private:
    struct accepted_value {
        const rule* by = nullptr;
        found_value found;
    };

    // Missing keys come after all lines.
    static std::uint32_t place_of(const problem& fault)
    {
        return fault.line == 0 ? std::numeric_limits<std::uint32_t>::max() : fault.line;
    }

    [[nodiscard]] bool is_tolerated(const rule& each) const
    {
        return this->tolerated == tolerance::every_value ||
               (this->tolerated == tolerance::values_not_required && !each.required);
    }

    void reject_unknown(const located_value& value)
    {
        const problem fault{this->file, value.line, value.path, "an unknown key",
                            known_keys(this->rules, value.path)};
        if (this->tolerated == tolerance::no_value) {
            this->reading.problems.push_back(fault);
        }
        else {
            this->reading.substitutions.push_back({fault, "nothing"});
        }
    }

    void replace_unusable(const located_value& value, const rule& by)
    {
        const problem fault{this->file, value.line, value.path, shown(*value.node), allowed_by(by)};
        if (!this->is_tolerated(by)) {
            this->reading.problems.push_back(fault);
        }
        else if (auto usable = read_usable_part(*value.node, by)) {
            this->reading.substitutions.push_back({fault, to_text(*usable, by)});
            this->accepted.push_back({&by, std::move(*usable)});
        }
        else {
            this->keep(by, fault);
        }
    }

    void keep(const rule& by, const problem& fault)
    {
        this->kept.push_back(&by);
        const auto fallback =
            std::string(by.fallback) + (by.kind == value_kind::time_span ? " ms" : "");
        this->reading.substitutions.push_back(
            {fault, this->tolerated == tolerance::every_value ? "the value in force" : fallback});
    }

    std::string file;
    const std::vector<rule>& rules;
    tolerance tolerated;
    file_reading reading;
    std::vector<accepted_value> accepted;
    std::vector<const rule*> kept;
};

} // namespace

std::string to_string(const problem& fault)
{
    std::string line = fault.file + ':';
    if (fault.line != 0) {
        line += std::to_string(fault.line) + ':';
    }
    if (!fault.key.empty()) {
        line += ' ' + fault.key + ':';
    }
    return line + " found " + fault.found + ", allowed " + fault.allowed;
}

std::string to_string(const substitution& made)
{
    return to_string(made.fault) + ", used " + made.used;
}

std::vector<problem> apply_rules(std::string_view file, std::string_view text,
                                 const std::vector<rule>& rules)
{
    return read_rules(file, text, rules, tolerance::no_value).problems;
}

file_reading read_rules(std::string_view file, std::string_view text,
                        const std::vector<rule>& rules, tolerance tolerated)
{
    const std::string name(file);
    const auto result = toml::parse(text, name);
    if (!result) {
        const auto& error = result.error();
        const std::string found(error.description());
        return {{{name, error.source().begin.line, "", "'" + found + "'", "a TOML document"}}, {}};
    }
    const auto& parsed = result.table();
    std::vector<located_value> values;
    collect(parsed, "", values);
    rule_reader reader(name, rules, tolerated);
    for (const auto& value : values) {
        reader.read(value);
    }
    for (const auto& each : rules) {
        if (each.required && !has_path(values, each.path)) {
            reader.note_missing(each);
        }
    }
    return reader.finish();
}

std::optional<std::string> read_text_file(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    if (in) {
        text << in.rdbuf();
    }
    if (!in || !text) {
        return std::nullopt;
    }
    return text.str();
}

problem unreadable(const std::string& file)
{
    return {file, 0, "", "no readable file", "a settings file"};
}

std::string to_reference(const std::vector<rule>& rules)
{
    std::string table = "| key | allowed | default | meaning |\n|---|---|---|---|\n";
    for (const auto& each : rules) {
        const auto fallback = each.required ? "required" : std::string(each.fallback);
        table += "| `" + std::string(each.path) + "` | " + allowed_by(each) + " | " + fallback +
                 " | " + std::string(each.meaning) + " |\n";
    }
    return table;
}

} // namespace azureshore::settings
