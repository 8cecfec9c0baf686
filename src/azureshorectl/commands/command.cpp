#include "azureshorectl/commands/command.hpp"

namespace azureshore::ctl {

const std::vector<command>& commands()
{
    static const std::vector<command> all{
        make_config_check(),   make_config_diff(),    make_config_apply(), make_config_get(),
        make_config_explain(), make_config_history(), make_config_watch(), make_data_centre_out(),
        make_data_centre_in(), make_vm_out(),         make_vm_in(),        make_status(),
        make_explain(),        make_accounts(),
    };
    return all;
}

const command* find_command(const std::vector<std::string>& words)
{
    for (const auto& each : commands()) {
        const bool group = !words.empty() && words[0] == each.group;
        if (group && (each.verb.empty() || (words.size() > 1 && words[1] == each.verb))) {
            return &each;
        }
    }
    return nullptr;
}

} // namespace azureshore::ctl
