#include "azureshorectl/commands/in_force.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>

namespace azureshore::ctl {

namespace {

constexpr auto poll_interval = std::chrono::milliseconds(200);
constexpr auto longest_poll = std::chrono::seconds(1);

in_force_report report_on(const statuses& known, const std::vector<address>& daemons,
                          std::uint64_t revision)
{
    in_force_report report;
    std::set<std::string> asked;
    std::set<std::string> members;
    for (std::size_t i = 0; i < known.size(); ++i) {
        if (!known[i]) {
            report.lacking.push_back(absl::StrCat(to_string(daemons[i]), " (no answer)"));
            continue;
        }
        const auto& status = *known[i];
        asked.insert(status.vm);
        members.insert(status.members.begin(), status.members.end());
        if (status.revision >= revision) {
            report.in_force.push_back(status.vm);
        }
        else {
            report.lacking.push_back(
                absl::StrCat(status.vm, " (has revision ", status.revision, ")"));
        }
    }
    std::set_difference(members.begin(), members.end(), asked.begin(), asked.end(),
                        std::back_inserter(report.not_asked));
    return report;
}

} // namespace

statuses ask_all(environment& world, const std::vector<address>& daemons)
{
    struct answers {
        statuses known;
        std::size_t ended = 0;
    };
    const auto got = std::make_shared<answers>();
    got->known.resize(daemons.size());
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        world.fetch_status(daemons[i], [got, i](absl::StatusOr<vm_status> status) {
            ++got->ended;
            if (status.ok()) {
                got->known[i] = *std::move(status);
            }
        });
    }
    world.run_until([got] { return got->ended == got->known.size(); }, world.now() + longest_poll);
    return got->known;
}

in_force_report wait_in_force(environment& world, const options& given, std::uint64_t revision)
{
    const auto until = world.now() + given.wait;
    while (true) {
        auto report = report_on(ask_all(world, given.daemons), given.daemons, revision);
        if (report.lacking.empty() || world.now() >= until) {
            return report;
        }
        world.run_until([] { return false; }, std::min(until, world.now() + poll_interval));
    }
}

bool is_in_force_somewhere(environment& world, const options& given, std::uint64_t revision)
{
    if (given.daemons.empty()) {
        return false;
    }
    const auto known = ask_all(world, given.daemons);
    return std::any_of(known.begin(), known.end(),
                       [revision](const auto& each) { return each && each->revision == revision; });
}

} // namespace azureshore::ctl
