#include "azureshore/configuration/tree_text.hpp"

#include "azureshore/configuration/check.hpp"
#include "azureshore/core/failure.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace azureshore::configuration {

namespace {

constexpr std::size_t max_text_bytes = 4UL * 1024UL * 1024UL;

using line_numbers = std::map<wire::setting_path, unsigned>;

// Walks a TOML document and notes each key with its line.
class flattener {
public:
    void walk(const toml::table& table, const wire::setting_path& above)
    {
        this->note_branch(table, above);
        for (const auto& [key, node] : table) {
            auto path = above;
            path.emplace_back(key.str());
            this->lines[path] = node.source().begin.line;
            this->take(node, path);
        }
    }

    parsed_tree result;
    line_numbers lines;

private:
    void note_branch(const toml::table& table, const wire::setting_path& path)
    {
        if (path.size() == 2 && path.front() != defaults_table) {
            this->result.settings[path] = wire::branch_mark{};
            this->lines[path] = table.source().begin.line;
        }
    }

    void take(const toml::node& node, const wire::setting_path& path)
    {
        if (const auto* table = node.as_table()) {
            this->walk(*table, path);
        }
        else if (const auto* flag = node.as_boolean()) {
            this->result.settings[path] = flag->get();
        }
        else if (const auto* whole = node.as_integer()) {
            this->result.settings[path] = whole->get();
        }
        else if (const auto* number = node.as_floating_point()) {
            this->result.settings[path] = number->get();
        }
        else if (const auto* text = node.as_string()) {
            this->result.settings[path] = text->get();
        }
        else {
            this->result.problems.push_back(
                {problem_kind::wrong_type, path, "lists and dates have no place in the tree", 0});
        }
    }
};

// The line of the key, or of the nearest branch above it that the text names.
unsigned line_of(const line_numbers& lines, wire::setting_path path)
{
    while (!path.empty()) {
        if (const auto at = lines.find(path); at != lines.end()) {
            return at->second;
        }
        path.pop_back();
    }
    return 0;
}

parsed_tree refused(problem found)
{
    return {{}, {std::move(found)}};
}

parsed_tree flatten_and_check(const toml::table& document)
{
    flattener flat;
    flat.walk(document, {});
    auto result = std::move(flat.result);
    auto found = check(result.settings);
    result.problems.insert(result.problems.end(), found.begin(), found.end());
    for (auto& each : result.problems) {
        each.line = line_of(flat.lines, each.where);
    }
    std::stable_sort(result.problems.begin(), result.problems.end(),
                     [](const auto& a, const auto& b) { return a.line < b.line; });
    return result;
}

} // namespace

parsed_tree read_tree(std::string_view text)
{
    if (text.size() > max_text_bytes) {
        return refused({problem_kind::too_large, {}, "the text is too large", 0});
    }
    const auto document = toml::parse(text);
    if (!document) {
        const auto& error = document.error();
        return refused({problem_kind::syntax,
                        {},
                        std::string(error.description()),
                        error.source().begin.line});
    }
    return flatten_and_check(document.table());
}

absl::StatusOr<tree> parse_tree(std::string_view text)
{
    auto result = read_tree(text);
    if (result.problems.empty()) {
        return std::move(result.settings);
    }
    return make_status(failure::tree_invalid,
                       absl::StrJoin(result.problems, "\n", [](std::string* out, const auto& each) {
                           out->append(to_line(each));
                       }));
}

std::string to_toml(const tree& settings)
{
    // A table's keys stand together under one heading; a map by heading keeps them so.
    std::map<wire::setting_path, std::string> tables;
    for (const auto& [path, value] : settings) {
        if (std::holds_alternative<wire::branch_mark>(value)) {
            tables[path];
            continue;
        }
        const wire::setting_path heading(path.begin(), path.end() - 1);
        absl::StrAppend(&tables[heading], to_string(wire::setting_path{path.back()}), " = ",
                        to_string(value), "\n");
    }
    std::string text;
    for (const auto& [heading, keys] : tables) {
        absl::StrAppend(&text, text.empty() ? "" : "\n", "[", to_string(heading), "]\n", keys);
    }
    return text;
}

} // namespace azureshore::configuration
