#include "azureshore/configuration/inherit.hpp"

#include "azureshore/configuration/limit_keys.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace azureshore::configuration {

namespace {

// What one branch overrides, in a form that is applied to many cells.
struct branch_overrides {
    std::optional<bool> runs;
    std::vector<std::pair<const limit_key*, wire::setting_value>> limits;
};

void add_override(branch_overrides& branch, const std::string& name,
                  const wire::setting_value& value)
{
    if (name == runs_key) {
        branch.runs = std::get<bool>(value);
    }
    else if (const auto* key = find_limit_key(name)) {
        branch.limits.emplace_back(key, value);
    }
}

// What one branch of the tree overrides itself.
branch_overrides overrides_of(const tree& settings, const wire::setting_path& branch)
{
    branch_overrides found;
    for (auto at = settings.lower_bound(branch); at != settings.end(); ++at) {
        const auto& path = at->first;
        if (!std::equal(branch.begin(), branch.end(), path.begin(),
                        path.begin() +
                            static_cast<std::ptrdiff_t>(std::min(branch.size(), path.size())))) {
            break;
        }
        if (path.size() != branch.size() + 1) {
            continue;
        }
        add_override(found, path.back(), at->second);
    }
    return found;
}

// A service's limits in one data centre while branches are applied one after another.
struct cell_values {
    bool runs = true;
    service_limits limits;

    void apply(const branch_overrides& branch)
    {
        this->runs = branch.runs.value_or(this->runs);
        for (const auto& [key, value] : branch.limits) {
            key->put(this->limits, value);
        }
    }
};

// What one service overrides, by the region or data centre that it does so for.
struct service_overrides {
    branch_overrides whole;
    std::map<std::string, branch_overrides> regions;
    std::map<std::string, branch_overrides> data_centres;
};

// Collects them in one pass, which costs less than a search for each data centre.
service_overrides overrides_of_service(const tree& settings, const std::string& name)
{
    constexpr std::size_t own_depth = 3;
    constexpr std::size_t place_depth = 5;
    service_overrides found;
    for (auto at = settings.lower_bound({services_table, name}); at != settings.end(); ++at) {
        const auto& path = at->first;
        if (path.size() < 2 || path[0] != services_table || path[1] != name) {
            break;
        }
        if (path.size() == own_depth) {
            add_override(found.whole, path.back(), at->second);
        }
        else if (path.size() == place_depth) {
            auto& places = path[2] == regions_table ? found.regions : found.data_centres;
            add_override(places[path[3]], path.back(), at->second);
        }
    }
    return found;
}

// Applies what is overridden under a name, if anything is.
void apply_named(cell_values& values, const std::map<std::string, branch_overrides>& branches,
                 const std::string& name)
{
    if (const auto at = branches.find(name); at != branches.end()) {
        values.apply(at->second);
    }
}

std::string region_of(const tree& settings, const std::string& data_centre)
{
    const auto at = settings.find({data_centres_table, data_centre, region_key});
    const auto* name = at == settings.end() ? nullptr : std::get_if<std::string>(&at->second);
    return name == nullptr ? "" : *name;
}

bool in_service(const tree& settings, const char* table, const std::string& name)
{
    const auto at = settings.find({table, name, in_service_key});
    return at == settings.end() || std::get<bool>(at->second);
}

std::vector<std::string> names_in(const tree& settings, const char* table)
{
    std::vector<std::string> names;
    for (auto at = settings.lower_bound({table}); at != settings.end(); ++at) {
        if (at->first.front() != table) {
            break;
        }
        if (at->first.size() == 2) {
            names.push_back(at->first[1]);
        }
    }
    return names;
}

// Applies inheritance service by service. The branches above services are the same for all of
// them, so they are applied once for each data centre.
class inheritor {
public:
    explicit inheritor(const tree& inherited) : settings(inherited)
    {
        const auto defaults = overrides_of(this->settings, {defaults_table});
        for (const auto& name : names_in(this->settings, data_centres_table)) {
            const auto region = region_of(this->settings, name);
            cell_values values;
            values.apply(defaults);
            values.apply(overrides_of(this->settings, {regions_table, region}));
            values.apply(overrides_of(this->settings, {data_centres_table, name}));
            this->above_services.push_back({{name}, {region}, values});
        }
    }

    std::shared_ptr<const service_config> service(const std::string& name) const
    {
        auto config = std::make_shared<service_config>();
        config->name = {name};
        const auto own = overrides_of_service(this->settings, name);
        for (const auto& place : this->above_services) {
            auto values = place.values;
            values.apply(own.whole);
            apply_named(values, own.regions, place.region.value);
            apply_named(values, own.data_centres, place.data_centre.value);
            if (values.runs) {
                config->cells.emplace(place.data_centre, values.limits);
            }
        }
        return config;
    }

    std::map<data_centre_id, data_centre_config> data_centres() const
    {
        std::map<data_centre_id, data_centre_config> all;
        for (const auto& place : this->above_services) {
            const bool in = in_service(this->settings, data_centres_table, place.data_centre.value);
            all[place.data_centre] = {place.data_centre, place.region, in};
        }
        return all;
    }

    std::set<vm_id> vms_out() const
    {
        std::set<vm_id> out;
        for (const auto& name : names_in(this->settings, vms_table)) {
            if (!in_service(this->settings, vms_table, name)) {
                out.insert({name});
            }
        }
        return out;
    }

private:
    struct inherited_place {
        data_centre_id data_centre;
        region_id region;
        cell_values values;
    };

    const tree& settings;
    std::vector<inherited_place> above_services;
};

// Whether a key may change services besides the one that it stands below.
bool reaches_all_services(const wire::setting_path& path)
{
    return path.front() != services_table && path.front() != vms_table &&
           path.back() != in_service_key;
}

} // namespace

std::size_t size_of(const tree& settings)
{
    std::size_t total = 0;
    for (const auto& [path, value] : settings) {
        for (const auto& name : path) {
            total += name.size() + 1;
        }
        const auto* text = std::get_if<std::string>(&value);
        total += text == nullptr ? sizeof(double) : text->size();
    }
    return total;
}

std::vector<wire::setting_path> inheritance(const cell_id& cell, const region_id& region)
{
    const auto& service = cell.service.value;
    const auto& data_centre = cell.data_centre.value;
    return {{defaults_table},
            {regions_table, region.value},
            {data_centres_table, data_centre},
            {services_table, service},
            {services_table, service, regions_table, region.value},
            {services_table, service, data_centres_table, data_centre}};
}

std::shared_ptr<const effective_configuration> make_effective(const tree& settings,
                                                              std::uint64_t revision)
{
    const inheritor inherited(settings);
    auto made = std::make_shared<effective_configuration>();
    made->revision = revision;
    made->data_centres = inherited.data_centres();
    made->vms_out = inherited.vms_out();
    for (const auto& name : names_in(settings, services_table)) {
        made->services.emplace(service_id{name}, inherited.service(name));
    }
    return made;
}

std::shared_ptr<const effective_configuration>
remake_effective(const effective_configuration& previous, const tree& settings,
                 std::uint64_t revision, const std::vector<wire::setting_path>& changed)
{
    if (std::any_of(changed.begin(), changed.end(), reaches_all_services)) {
        return make_effective(settings, revision);
    }
    const inheritor inherited(settings);
    auto made = std::make_shared<effective_configuration>(previous);
    made->revision = revision;
    made->data_centres = inherited.data_centres();
    made->vms_out = inherited.vms_out();
    std::set<std::string> services;
    for (const auto& path : changed) {
        if (path.front() == services_table) {
            services.insert(path.at(1));
        }
    }
    for (const auto& name : services) {
        made->services.erase({name});
        if (settings.contains({services_table, name})) {
            made->services.emplace(service_id{name}, inherited.service(name));
        }
    }
    return made;
}

std::vector<explained_value> explain(const tree& settings, const cell_id& cell)
{
    const service_limits built_in;
    std::vector<explained_value> values{{runs_key, true, {}}};
    for (const auto& key : limit_keys()) {
        values.push_back({std::string(key.name), key.get(built_in), {}});
    }
    const region_id region{region_of(settings, cell.data_centre.value)};
    for (const auto& branch : inheritance(cell, region)) {
        for (auto& value : values) {
            auto path = branch;
            path.push_back(value.key);
            if (const auto at = settings.find(path); at != settings.end()) {
                value.value = at->second;
                value.branch = branch;
            }
        }
    }
    return values;
}

} // namespace azureshore::configuration
