#include "azureshore/settings/schema.hpp"

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

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
    return found;
}

std::optional<found_value> read_fraction(const toml::node& node, const rule& each)
{
    const auto number = node.value<double>();
    if (!number || !node.is_number() || *number < static_cast<double>(each.least) ||
        *number > static_cast<double>(each.most)) {
        return std::nullopt;
    }
    found_value found;
    found.fraction = *number;
    return found;
}

std::optional<found_value> read_flag(const toml::node& node)
{
    const auto flag = node.value_exact<bool>();
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

std::optional<found_value> read_addresses(const toml::node& node)
{
    const auto* array = node.as_array();
    if (array == nullptr) {
        return std::nullopt;
    }
    found_value found;
    for (const auto& each : *array) {
        const auto one = read_address(each);
        if (!one) {
            return std::nullopt;
        }
        found.addresses.push_back(one->where);
    }
    return found;
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
    case value_kind::fraction:
        return read_fraction(node, each);
    case value_kind::flag:
        return read_flag(node);
    case value_kind::key_list:
        return read_keys(node);
    case value_kind::address_list:
        return read_addresses(node);
    }
    return std::nullopt;
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

struct accepted_value {
    const rule* by = nullptr;
    found_value found;
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

std::vector<problem> apply_rules(std::string_view file, std::string_view text,
                                 const std::vector<rule>& rules)
{
    const std::string name(file);
    const auto result = toml::parse(text, name);
    if (!result) {
        const auto& error = result.error();
        const std::string found(error.description());
        return {{name, error.source().begin.line, "", "'" + found + "'", "a TOML document"}};
    }
    const auto& parsed = result.table();
    std::vector<located_value> values;
    collect(parsed, "", values);
    std::vector<problem> problems;
    std::vector<accepted_value> accepted;
    for (const auto& value : values) {
        const auto* by = find_rule(rules, value.path);
        if (by == nullptr) {
            problems.push_back(
                {name, value.line, value.path, "an unknown key", known_keys(rules, value.path)});
            continue;
        }
        auto found = read_value(*value.node, *by);
        if (!found) {
            problems.push_back({name, value.line, value.path, shown(*value.node), allowed_by(*by)});
            continue;
        }
        accepted.push_back({by, std::move(*found)});
    }
    std::stable_sort(problems.begin(), problems.end(),
                     [](const auto& left, const auto& right) { return left.line < right.line; });
    for (const auto& each : rules) {
        if (each.required && !has_path(values, each.path)) {
            problems.push_back({name, 0, std::string(each.path), "nothing", allowed_by(each)});
        }
    }
    if (problems.empty()) {
        for (const auto& each : accepted) {
            each.by->assign(each.found);
        }
    }
    return problems;
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
