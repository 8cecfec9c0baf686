#include "azureshorectl/commands/publish.hpp"

#include "azureshore/configuration/check.hpp"
#include "azureshorectl/commands/in_force.hpp"
#include "azureshorectl/commands/print.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <ostream>

namespace azureshore::ctl {

namespace {

using configuration::verdict;

constexpr auto settle_wait = std::chrono::milliseconds(500);
constexpr auto retry_interval = std::chrono::milliseconds(300);

// How far an append came.
struct settled {
    // Set once the fold's verdict is known.
    std::optional<configuration::fold_outcome> outcome;
    // Set when the log acknowledged the record.
    std::optional<std::uint64_t> offset;
    // Whether every append is known to have written nothing.
    bool never_written = true;
};

bool holds_all(const configuration::tree& settings, const std::vector<wire::setting_edit>& edits)
{
    return std::all_of(edits.begin(), edits.end(), [&settings](const auto& edit) {
        const auto at = settings.find(edit.path);
        return edit.value ? at != settings.end() && at->second == *edit.value
                          : at == settings.end();
    });
}

// Appends until one acknowledgement or verdict is there: a copy of a record that took effect
// changes nothing, because it has the same id.
settled settle(environment& world, log_session& session, const wire::configuration_change& change,
               time_point until)
{
    const auto bytes = wire::encode_record(change);
    settled so_far;
    while (true) {
        if (!so_far.offset) {
            const auto result = session.append(bytes);
            if (result.outcome == platform::append_outcome::accepted) {
                so_far.offset = result.offset;
            }
            so_far.never_written =
                so_far.never_written && result.outcome == platform::append_outcome::refused;
        }
        if (!so_far.never_written && session.follow(settle_wait).ok()) {
            if (const auto* outcome = session.outcome_of(change.id)) {
                so_far.outcome = *outcome;
                return so_far;
            }
        }
        if (world.now() >= until) {
            return so_far;
        }
        world.run_until([] { return false; }, std::min(until, world.now() + retry_interval));
    }
}

void print_conflict(std::ostream& err, const configuration::fold_outcome& outcome)
{
    err << "refused: conflict with what others changed meanwhile\n";
    for (const auto& path : outcome.conflicts) {
        err << "  " << configuration::to_string(path) << " was changed by others too\n";
    }
    err << to_lines(outcome.problems, {});
    err << "changed meanwhile:\n";
    for (const auto& each : outcome.meanwhile) {
        err << to_lines(each);
    }
    err << "get the tree anew, make the change again and apply it\n";
}

exit_status tell_refused(std::ostream& err, const configuration::fold_outcome& outcome)
{
    switch (outcome.made) {
    case verdict::conflict:
        print_conflict(err, outcome);
        return exit_status::conflict;
    case verdict::base_forgotten:
        err << "refused: the change was made against a revision so old that conflicts with it are "
               "no longer known; get the tree anew\n";
        return exit_status::conflict;
    default:
        err << "refused: " << to_string(outcome.made) << '\n' << to_lines(outcome.problems, {});
        return exit_status::failed;
    }
}

exit_status tell_unknown(environment& world, const options& given, const std::string& change_id,
                         const settled& so_far)
{
    if (so_far.never_written) {
        *world.err << "failed: the log took nothing, the change is not accepted\n";
        return exit_status::failed;
    }
    // A revision is one more than its record's offset, so it names this very change.
    if (so_far.offset && is_in_force_somewhere(world, given, *so_far.offset + 1)) {
        return tell_in_force(world, given, *so_far.offset + 1);
    }
    *world.err << "not known whether the change is accepted: the log cannot be read\n"
               << "to settle it, repeat the command with --change-id " << change_id << '\n';
    return exit_status::not_known;
}

// A change id that was judged before, by an earlier run of the command; nothing when it was not.
std::optional<exit_status> tell_judged_before(environment& world, const options& given,
                                              const configuration::folded_state& state)
{
    for (const auto& each : state.recent()) {
        if (each.id == given.change_id) {
            return tell_in_force(world, given, each.revision);
        }
    }
    const auto& refused = state.refused();
    if (std::find(refused.begin(), refused.end(), given.change_id) != refused.end()) {
        *world.err << "refused: the change of this id was refused before\n";
        return exit_status::conflict;
    }
    return std::nullopt;
}

bool print_problems(environment& world, const configuration::tree& before,
                    const std::vector<wire::setting_edit>& edits)
{
    auto changed = before;
    configuration::apply_edits(changed, edits);
    const auto problems = configuration::check(changed);
    *world.err << to_lines(problems, {});
    return !problems.empty();
}

} // namespace

exit_status tell_in_force(environment& world, const options& given, std::uint64_t revision)
{
    in_force_report report;
    if (!given.daemons.empty() && given.wait > duration::zero()) {
        report = wait_in_force(world, given, revision);
    }
    if (given.json) {
        *world.out << nlohmann::ordered_json{{"revision", revision},
                                             {"in_force", report.in_force},
                                             {"lacking", report.lacking},
                                             {"not_asked", report.not_asked}}
                          .dump()
                   << '\n';
    }
    else {
        *world.out << "accepted: revision " << revision << '\n';
    }
    if (report.everywhere()) {
        if (!given.json && !report.in_force.empty()) {
            *world.out << "in force on " << absl::StrJoin(report.in_force, ", ") << '\n';
        }
        return exit_status::done;
    }
    if (!report.lacking.empty()) {
        *world.err << "not yet in force on " << absl::StrJoin(report.lacking, ", ") << '\n';
    }
    if (!report.not_asked.empty()) {
        *world.err << "not asked: " << absl::StrJoin(report.not_asked, ", ") << '\n';
    }
    return exit_status::not_everywhere;
}

exit_status publish(environment& world, const options& given, log_session& session,
                    std::uint64_t base, const std::vector<wire::setting_edit>& edits)
{
    if (const auto before = tell_judged_before(world, given, session.state())) {
        return *before;
    }
    if (holds_all(session.state().settings(), edits)) {
        *world.err << "nothing to change\n";
        return tell_in_force(world, given, session.state().revision());
    }
    const auto own_base = session.state().settings_at(base);
    if (own_base.ok() && print_problems(world, *own_base, edits)) {
        return exit_status::failed;
    }
    const wire::configuration_change change{given.change_id.empty() ? world.make_change_id()
                                                                    : given.change_id,
                                            given.author, world.wall_clock(), base, edits};
    if (wire::encode_record(change).size() > wire::max_record_bytes) {
        *world.err << "the change is too large for one record\n";
        return exit_status::failed;
    }
    const auto so_far = settle(world, session, change, world.now() + given.timeout);
    if (!so_far.outcome) {
        return tell_unknown(world, given, change.id, so_far);
    }
    if (so_far.outcome->made != verdict::accepted) {
        return tell_refused(*world.err, *so_far.outcome);
    }
    for (const auto& each : session.state().recent()) {
        if (each.id == change.id) {
            return tell_in_force(world, given, each.revision);
        }
    }
    return tell_in_force(world, given, session.state().revision());
}

} // namespace azureshore::ctl
