#include "azureshore/configuration/check.hpp"

#include "azureshore/configuration/inherit.hpp"
#include "azureshore/configuration/limit_keys.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <numeric>
#include <optional>
#include <string_view>

namespace azureshore::configuration {

namespace {

constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t branch_depth = 2;
constexpr std::size_t service_branch_depth = 4;
// Largest number of data centres times services.
constexpr std::size_t max_cells = 50'000;

bool is_collection(const std::string& name)
{
    constexpr std::array names{regions_table, data_centres_table, services_table, vms_table};
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool is_good_name(const std::string& name)
{
    const auto plain = [](char c) {
        return c > ' ' && c <= '~' && c != '"' && c != '\\';
    };
    return !name.empty() && name.size() <= max_name_bytes &&
           std::all_of(name.begin(), name.end(), plain);
}

bool has_type(const wire::setting_value& value, value_type type)
{
    switch (type) {
    case value_type::flag:
        return std::holds_alternative<bool>(value);
    case value_type::whole:
        return std::holds_alternative<std::int64_t>(value);
    case value_type::number:
        return std::holds_alternative<std::int64_t>(value) || std::holds_alternative<double>(value);
    }
    return false;
}

bool in_range(const wire::setting_value& value, const limit_key& key)
{
    if (const auto* whole = std::get_if<std::int64_t>(&value)) {
        return static_cast<double>(*whole) >= key.least && static_cast<double>(*whole) <= key.most;
    }
    if (const auto* number = std::get_if<double>(&value)) {
        return *number >= key.least && *number <= key.most;
    }
    return true;
}

std::string bound_text(double bound)
{
    return bound == static_cast<double>(static_cast<std::int64_t>(bound))
               ? std::to_string(static_cast<std::int64_t>(bound))
               : absl::StrCat(bound);
}

std::string range_text(const limit_key& key)
{
    return absl::StrCat("must be from ", bound_text(key.least), " to ", bound_text(key.most), " ",
                        std::string(key.unit));
}

// Checks one tree; each member function looks at one kind of key.
class checker {
public:
    explicit checker(const tree& checked) : settings(checked) {}

    std::vector<problem> run()
    {
        this->check_size();
        for (const auto& [path, value] : this->settings) {
            this->check_setting(path, value);
        }
        if (this->found.empty()) {
            this->check_limits_together();
        }
        return std::move(this->found);
    }

private:
    void add(problem_kind kind, wire::setting_path where, std::string reason)
    {
        this->found.push_back({kind, std::move(where), std::move(reason), 0});
    }

    void check_size()
    {
        if (size_of(this->settings) > max_tree_bytes) {
            this->add(problem_kind::too_large, {},
                      absl::StrCat("the tree has more than ", max_tree_bytes, " bytes"));
        }
    }

    void check_setting(const wire::setting_path& path, const wire::setting_value& value)
    {
        if (path.empty() || (path.front() != defaults_table && !is_collection(path.front()))) {
            this->add(problem_kind::unknown_branch, path,
                      "not one of defaults, regions, data_centres, services, vms");
            return;
        }
        if (path.front() == defaults_table) {
            this->check_default(path, value);
            return;
        }
        this->check_below_collection(path, value);
    }

    void check_default(const wire::setting_path& path, const wire::setting_value& value)
    {
        if (path.size() != branch_depth) {
            this->add(problem_kind::unknown_branch, path, "defaults holds limits only");
            return;
        }
        this->check_limit(path, value);
    }

    void check_below_collection(const wire::setting_path& path, const wire::setting_value& value)
    {
        if (path.size() < branch_depth) {
            this->add(problem_kind::wrong_type, path, "must be a table of branches");
            return;
        }
        if (path.size() == branch_depth) {
            this->check_mark(path, value);
            return;
        }
        if (!this->settings.contains({path[0], path[1]})) {
            this->add(
                problem_kind::dangling_reference, path,
                absl::StrCat("the branch ", to_string({path[0], path[1]}), " does not exist"));
            return;
        }
        this->check_key(path, value);
    }

    void check_mark(const wire::setting_path& path, const wire::setting_value& value)
    {
        if (!std::holds_alternative<wire::branch_mark>(value)) {
            this->add(problem_kind::wrong_type, path, "must be a table");
            return;
        }
        if (!is_good_name(path[1])) {
            this->add(problem_kind::bad_name, path,
                      "a name is up to 128 printable ASCII characters without spaces and quotes");
        }
        if (path.front() == data_centres_table) {
            this->check_data_centre(path);
        }
    }

    void check_data_centre(const wire::setting_path& path)
    {
        auto key = path;
        key.emplace_back(region_key);
        const auto at = this->settings.find(key);
        if (at == this->settings.end()) {
            this->add(problem_kind::missing_key, path, "a data centre must name its region");
            return;
        }
        const auto* name = std::get_if<std::string>(&at->second);
        if (name != nullptr && !this->settings.contains({regions_table, *name})) {
            this->add(problem_kind::dangling_reference, key,
                      absl::StrCat("there is no region ", to_string(at->second)));
        }
    }

    void check_key(const wire::setting_path& path, const wire::setting_value& value)
    {
        if (path.size() == branch_depth + 1) {
            this->check_branch_key(path, value);
            return;
        }
        const bool below_service = path.front() == services_table &&
                                   path.size() == service_branch_depth + 1 &&
                                   (path[2] == regions_table || path[2] == data_centres_table);
        if (!below_service) {
            this->add(problem_kind::unknown_branch, path, "the tree has no such branch");
            return;
        }
        if (!this->settings.contains({path[2], path[3]})) {
            this->add(
                problem_kind::dangling_reference, path,
                absl::StrCat("the branch ", to_string({path[2], path[3]}), " does not exist"));
            return;
        }
        this->check_limit(path, value);
    }

    void check_branch_key(const wire::setting_path& path, const wire::setting_value& value)
    {
        const auto& collection = path.front();
        const auto& name = path.back();
        const bool can_be_out = collection == data_centres_table || collection == vms_table;
        if (can_be_out && name == in_service_key) {
            this->check_type(path, value, value_type::flag);
        }
        else if (collection == data_centres_table && name == region_key) {
            this->check_region_type(path, value);
        }
        else if (collection == vms_table) {
            this->add(problem_kind::unknown_key, path, "a VM has only the key in_service");
        }
        else {
            this->check_limit(path, value);
        }
    }

    void check_region_type(const wire::setting_path& path, const wire::setting_value& value)
    {
        if (!std::holds_alternative<std::string>(value)) {
            this->add(problem_kind::wrong_type, path, "must be a string");
        }
    }

    bool check_type(const wire::setting_path& path, const wire::setting_value& value,
                    value_type type)
    {
        if (has_type(value, type)) {
            return true;
        }
        this->add(
            problem_kind::wrong_type, path,
            absl::StrCat("must be ", std::string(to_string(type)), ", not ", to_string(value)));
        return false;
    }

    void check_limit(const wire::setting_path& path, const wire::setting_value& value)
    {
        if (path.back() == runs_key) {
            this->check_type(path, value, value_type::flag);
            return;
        }
        const auto* key = find_limit_key(path.back());
        if (key == nullptr) {
            this->add(problem_kind::unknown_key, path, "there is no such key");
            return;
        }
        if (this->check_type(path, value, key->type) && !in_range(value, *key)) {
            this->add(problem_kind::out_of_range, path, range_text(*key));
        }
    }

    void check_limits_together()
    {
        const auto inherited = make_effective(this->settings, 0);
        if (inherited->services.size() * inherited->data_centres.size() > max_cells) {
            this->add(problem_kind::too_large, {services_table},
                      absl::StrCat("more than ", max_cells, " pairs of service and data centre"));
        }
        for (const auto& [service, config] : inherited->services) {
            for (const auto& [data_centre, limits] : config->cells) {
                this->check_cell({service, data_centre}, limits);
            }
        }
    }

    void check_cell(const cell_id& cell, const service_limits& limits)
    {
        const wire::setting_path where{services_table, cell.service.value};
        const auto in = absl::StrCat(" in ", cell.data_centre.value);
        if (limits.cold_window > limits.slots) {
            this->add(problem_kind::contradiction, where,
                      absl::StrCat("cold_window ", limits.cold_window, " is above slots ",
                                   limits.slots, in));
        }
        if (limits.connections < limits.slots) {
            this->add(problem_kind::contradiction, where,
                      absl::StrCat("connections ", limits.connections, " is below slots ",
                                   limits.slots, in));
        }
    }

    const tree& settings;
    std::vector<problem> found;
};

} // namespace

std::vector<problem> check(const tree& settings)
{
    return checker(settings).run();
}

} // namespace azureshore::configuration
