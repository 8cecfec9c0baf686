#include "azureshorectl/commands/print.hpp"

#include "azureshore/configuration/tree.hpp"

#include <absl/strings/str_cat.h>
#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

#include <type_traits>

namespace azureshore::ctl {

namespace {

std::string time_text(std::chrono::sys_seconds when)
{
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(when)));
}

} // namespace

std::string to_line(const wire::setting_step& step)
{
    const auto path = configuration::to_string(step.path);
    if (!step.before) {
        return absl::StrCat("+ ", path, " = ", configuration::to_string(*step.after));
    }
    if (!step.after) {
        return absl::StrCat("- ", path, " = ", configuration::to_string(*step.before));
    }
    return absl::StrCat("  ", path, ": ", configuration::to_string(*step.before), " -> ",
                        configuration::to_string(*step.after));
}

std::string to_lines(const wire::accepted_change& change)
{
    auto text = absl::StrCat("revision ", change.revision, " by ", change.author, " at ",
                             time_text(change.made_at), " (", change.id, ")\n");
    for (const auto& step : change.steps) {
        if (step.before || step.after) {
            absl::StrAppend(&text, "  ", to_line(step), "\n");
        }
    }
    return text;
}

nlohmann::ordered_json to_json(const wire::setting_value& value)
{
    return std::visit(
        [](const auto& held) -> nlohmann::ordered_json {
            if constexpr (std::is_same_v<std::decay_t<decltype(held)>, wire::branch_mark>) {
                return nlohmann::ordered_json::object();
            }
            else {
                return held;
            }
        },
        value);
}

nlohmann::ordered_json to_json(const wire::accepted_change& change)
{
    auto keys = nlohmann::ordered_json::array();
    for (const auto& step : change.steps) {
        keys.push_back({{"key", configuration::to_string(step.path)},
                        {"before", step.before ? to_json(*step.before) : nullptr},
                        {"after", step.after ? to_json(*step.after) : nullptr}});
    }
    return {{"revision", change.revision},
            {"author", change.author},
            {"at", time_text(change.made_at)},
            {"change_id", change.id},
            {"keys", std::move(keys)}};
}

std::string to_lines(const std::vector<configuration::problem>& problems, std::string_view file)
{
    std::string text;
    for (const auto& each : problems) {
        absl::StrAppend(&text, configuration::to_line(each, file), "\n");
    }
    return text;
}

} // namespace azureshore::ctl
