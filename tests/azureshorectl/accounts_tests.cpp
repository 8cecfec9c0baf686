#include "azureshorectl/commands/command.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <sstream>

using namespace azureshore;
using namespace azureshore::ctl;

namespace {

struct accounts_run {
    exit_status ended = exit_status::failed;
    std::string out;
};

accounts_run run(const std::map<std::string, std::string>& pages)
{
    std::ostringstream out;
    std::ostringstream err;
    environment world;
    world.read_file = [&pages](const std::string& path) {
        return absl::StatusOr<std::string>(pages.at(path));
    };
    world.out = &out;
    world.err = &err;
    options given;
    for (const auto& [path, page] : pages) {
        given.arguments.push_back(path);
    }
    const auto ended = find_command({"accounts"})->run(world, given);
    return {ended, out.str()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(accounts_command)

// Guards against requests that are counted for one gateway alone, and quotas that are added up.
BOOST_AUTO_TEST_CASE(the_requests_of_all_pages_are_added_up_and_the_busiest_account_comes_first)
{
    const std::string one =
        "azureshore_account_quota_rate{account=\"a\"} 2.5\n"
        "azureshore_account_quota_burst{account=\"a\"} 4\n"
        "azureshore_account_requests_total{account=\"a\",outcome=\"answered\"} 3\n"
        "azureshore_account_requests_total{account=\"b\",outcome=\"answered\"} 5\n";
    const std::string two =
        "azureshore_account_quota_rate{account=\"a\"} 2.5\n"
        "azureshore_account_requests_total{account=\"a\",outcome=\"answered\"} 1\n"
        "azureshore_account_requests_total{account=\"a\",outcome=\"quota_exceeded\"} 6\n";
    const auto result = run({{"one", one}, {"two", two}});
    BOOST_TEST((result.ended == exit_status::done));
    std::istringstream lines(result.out);
    std::string line;
    std::getline(lines, line);
    std::getline(lines, line);
    std::istringstream fields(line);
    std::vector<std::string> row;
    for (std::string field; fields >> field;) {
        row.push_back(field);
    }
    BOOST_TEST((row == std::vector<std::string>{"a", "2.5", "4.0", "10", "4", "6", "0", "0"}));
}

// Guards against an empty list that looks like a deployment that needs no keys.
BOOST_AUTO_TEST_CASE(an_empty_list_of_accounts_is_told)
{
    const auto empty = run({{"one", "azureshore_accounts_listed 0\n"}});
    BOOST_TEST((empty.ended == exit_status::done));
    BOOST_TEST(empty.out.find("no key is accepted") != std::string::npos);
    const auto unused = run({{"one", "azureshore_accounts_listed 2\n"}});
    BOOST_TEST((unused.ended == exit_status::done));
    BOOST_TEST(unused.out.find("no key is accepted") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(pages_without_accounts_are_an_error)
{
    BOOST_TEST((run({{"one", "azureshore_requests_total 3\n"}}).ended == exit_status::failed));
}

BOOST_AUTO_TEST_SUITE_END()
