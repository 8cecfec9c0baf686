// The commands that take a file: config check, diff and apply.

#include "azureshorectl/commands/command.hpp"
#include "azureshorectl/commands/print.hpp"
#include "azureshorectl/commands/publish.hpp"
#include "azureshorectl/commands/tree_file.hpp"

#include <ostream>

namespace azureshore::ctl {

namespace {

exit_status run_check(environment& world, const options& given)
{
    if (!read_tree_file(world, given.arguments.front()).ok()) {
        return exit_status::failed;
    }
    *world.out << given.arguments.front() << ": no problems\n";
    return exit_status::done;
}

// Reads the file and the log, and runs `then` on what the file changes.
template <class Then>
exit_status with_file_change(environment& world, const options& given, Then then)
{
    const auto file = read_tree_file(world, given.arguments.front());
    if (!file.ok()) {
        return exit_status::failed;
    }
    log_session session(world, given.timeout);
    const auto loaded = session.load(world.now() + given.timeout);
    if (!loaded.ok()) {
        *world.err << "failed: " << loaded.message() << '\n';
        return exit_status::failed;
    }
    const auto change = compare(given, *file, session.state());
    if (!change.ok()) {
        *world.err << "refused: " << change.status().message()
                   << "; get the tree anew and make the change again\n";
        return exit_status::conflict;
    }
    return then(session, *change);
}

exit_status run_diff(environment& world, const options& given)
{
    return with_file_change(
        world, given, [&world](const log_session& session, const file_change& change) {
            const auto before = session.state().settings_at(change.base);
            *world.out << "against revision " << change.base << ", in force is revision "
                       << session.state().revision() << '\n';
            for (const auto& edit : change.edits) {
                const auto at = before->find(edit.path);
                *world.out << to_line(wire::setting_step{
                                  edit.path,
                                  at == before->end() ? std::nullopt : std::optional(at->second),
                                  edit.value})
                           << '\n';
            }
            return exit_status::done;
        });
}

exit_status run_apply(environment& world, const options& given)
{
    return with_file_change(world, given, [&](log_session& session, const file_change& change) {
        return publish(world, given, session, change.base, change.edits);
    });
}

} // namespace

command make_config_check()
{
    return {"config", "check", "FILE", 1, 1, "check a tree without the log", false, run_check};
}

command make_config_diff()
{
    return {"config", "diff",  "FILE", 1, 1, "show what applying a file would change",
            true,     run_diff};
}

command make_config_apply()
{
    return {"config", "apply", "FILE", 1, 1, "publish what a file changes", true, run_apply};
}

} // namespace azureshore::ctl
