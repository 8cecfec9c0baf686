#include "azureshore/core/failure.hpp"
#include "azureshorectl/commands/command.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <sstream>

using namespace azureshore;
using namespace azureshore::ctl;

namespace {

// The logs of two daemons: one took the request, the other one another.
const std::map<std::string, std::string> logs{
    {"a.log", "time=1000 event=start vm=vm-1 version=0.1.0\n"
              "time=1001 event=members_changed serving=2 rank=0\n"
              "time=1002 event=configuration_in_force version=4\n"
              "time=9000 event=send request=r-1 route=orders attempt=7 backend=i-1 cost=1.50\n"
              "time=9004 event=data_centre data_centre=maadi in_service=false\n"
              "time=9010 event=attempt_ended request=r-1 backend=i-1 end=unknown status=0\n"
              "time=9010 event=refuse request=r-1 cause=outcome_unknown status=502\n"
              "time=9500 event=backend_removed backend=i-1 why=lapsed\n"
              "time=30000 event=backend_removed backend=i-1 why=unregistered\n"},
    {"b.log", "not a line of a log\n"
              "time=2000 event=start vm=vm-2\n"
              "time=9001 event=refuse request=r-2 cause=no_route status=404\n"}};

struct explain_run {
    exit_status status = exit_status::failed;
    std::string output;
};

explain_run run(std::vector<std::string> arguments)
{
    std::ostringstream out;
    environment world;
    world.out = &out;
    world.err = &out;
    world.read_file = [](const std::string& path) -> absl::StatusOr<std::string> {
        const auto found = logs.find(path);
        if (found == logs.end()) {
            return make_status(failure::settings_unreadable, "cannot be read");
        }
        return found->second;
    };
    options given;
    given.arguments = std::move(arguments);
    const auto ended = find_command({"explain"})->run(world, given);
    return {ended, out.str()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(explain_command)

BOOST_AUTO_TEST_CASE(it_tells_a_requests_story_and_what_its_daemon_believed)
{
    const auto told = run({"r-1", "a.log", "b.log"});
    BOOST_TEST((told.status == exit_status::done));
    BOOST_TEST(
        told.output ==
        "     +0 ms  vm-1  send request=r-1 route=orders attempt=7 backend=i-1 cost=1.50\n"
        "            vm-1 believed: configuration 4, store reachable, 2 daemons, out of service: "
        "none\n"
        "    +10 ms  vm-1  attempt_ended request=r-1 backend=i-1 end=unknown status=0\n"
        "            vm-1 believed: configuration 4, store reachable, 2 daemons, out of service: "
        "maadi\n"
        "    +10 ms  vm-1  refuse request=r-1 cause=outcome_unknown status=502\n"
        "   +500 ms  vm-1  backend_removed backend=i-1 why=lapsed\n");
}

BOOST_AUTO_TEST_CASE(a_request_that_no_log_names_fails_the_command)
{
    const auto told = run({"r-3", "a.log", "b.log"});
    BOOST_TEST((told.status == exit_status::failed));
    BOOST_TEST(told.output.starts_with("no line tells of r-3"));
}

BOOST_AUTO_TEST_CASE(a_log_that_cannot_be_read_fails_the_command)
{
    BOOST_TEST((run({"r-1", "c.log"}).status == exit_status::failed));
}

BOOST_AUTO_TEST_SUITE_END()
