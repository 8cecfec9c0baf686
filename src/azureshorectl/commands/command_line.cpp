#include "azureshorectl/commands/command_line.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/program_options.hpp>

#include <cstdlib>
#include <sstream>

namespace azureshore::ctl {

namespace {

namespace po = boost::program_options;

std::string user_name()
{
    const char* name = std::getenv("USER");
    return name == nullptr ? "unknown" : name;
}

po::options_description visible_options()
{
    const options defaults;
    const auto seconds_of = [](duration span) {
        return std::chrono::duration<double>(span).count();
    };
    po::options_description all("options");
    all.add_options()("help,h", "show this help")("version", "show the version")(
        "log", po::value<std::string>()->value_name("HOST:PORT"), "the platform's log")(
        "daemon", po::value<std::vector<std::string>>()->composing()->value_name("HOST:PORT[,...]"),
        "admin addresses of daemons to wait for")(
        "wait",
        po::value<double>()->default_value(seconds_of(defaults.wait))->value_name("SECONDS"),
        "longest wait until a change is in force on the daemons")(
        "timeout",
        po::value<double>()->default_value(seconds_of(defaults.timeout))->value_name("SECONDS"),
        "longest time to read the log or to settle a lost acknowledgement")(
        "base", po::value<std::uint64_t>()->value_name("REVISION"),
        "the revision that the change was made against")(
        "author", po::value<std::string>()->default_value(user_name())->value_name("NAME"),
        "who makes the change")("change-id", po::value<std::string>()->value_name("ID"),
                                "the id of an earlier try, to settle or repeat it")(
        "json", "print JSON where the command has it");
    return all;
}

duration seconds_in(const po::variables_map& values, const char* name)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(values[name].as<double>()));
}

// Fills in one address; says what is wrong with it otherwise.
std::string take_address(const std::string& text, address& into)
{
    const auto parsed = parse_address(text);
    if (!parsed.ok()) {
        return absl::StrCat(text, " is not HOST:PORT");
    }
    into = *parsed;
    return {};
}

std::string take_addresses(const po::variables_map& values, command_line& line)
{
    if (values.contains("log")) {
        auto wrong = take_address(values["log"].as<std::string>(), line.log.emplace());
        if (!wrong.empty()) {
            return wrong;
        }
    }
    if (!values.contains("daemon")) {
        return {};
    }
    for (const auto& list : values["daemon"].as<std::vector<std::string>>()) {
        for (const auto& each : absl::StrSplit(list, ',', absl::SkipEmpty())) {
            auto wrong = take_address(std::string(each), line.given.daemons.emplace_back());
            if (!wrong.empty()) {
                return wrong;
            }
        }
    }
    return {};
}

void take_options(const po::variables_map& values, options& given)
{
    given.wait = seconds_in(values, "wait");
    given.wait_given = !values["wait"].defaulted();
    given.timeout = seconds_in(values, "timeout");
    given.author = values["author"].as<std::string>();
    given.json = values.contains("json");
    if (values.contains("base")) {
        given.base = values["base"].as<std::uint64_t>();
    }
    if (values.contains("change-id")) {
        given.change_id = values["change-id"].as<std::string>();
    }
}

std::string take_command(const std::vector<std::string>& words, command_line& line)
{
    const auto* found = find_command(words);
    if (found == nullptr) {
        return words.empty() ? "no command" : "no such command";
    }
    const std::size_t selecting = found->verb.empty() ? 1 : 2;
    line.given.arguments.assign(words.begin() + static_cast<std::ptrdiff_t>(selecting),
                                words.end());
    const auto count = line.given.arguments.size();
    if (count < found->least_arguments || count > found->most_arguments) {
        return absl::StrCat(found->group, " ", found->verb, " takes ",
                            found->arguments.empty() ? "no argument" : found->arguments);
    }
    if (found->needs_log && !line.log) {
        return absl::StrCat(found->group, " ", found->verb, " needs --log HOST:PORT");
    }
    line.chosen = found;
    return {};
}

po::variables_map parse(const std::vector<std::string>& words)
{
    po::options_description all = visible_options();
    all.add_options()("words", po::value<std::vector<std::string>>());
    po::positional_options_description positions;
    positions.add("words", -1);
    po::variables_map values;
    po::store(po::command_line_parser(words).options(all).positional(positions).run(), values);
    return values;
}

} // namespace

command_line read_command_line(const std::vector<std::string>& words)
{
    command_line line;
    po::variables_map values;
    try {
        values = parse(words);
    }
    catch (const po::error& error) {
        line.wrong = error.what();
        return line;
    }
    line.help = values.contains("help");
    line.version = values.contains("version");
    if (line.help || line.version) {
        return line;
    }
    take_options(values, line.given);
    line.wrong = take_addresses(values, line);
    if (line.wrong.empty()) {
        const auto command_words = values.contains("words")
                                       ? values["words"].as<std::vector<std::string>>()
                                       : std::vector<std::string>{};
        line.wrong = take_command(command_words, line);
    }
    return line;
}

std::string usage()
{
    constexpr std::size_t help_column = 36;
    std::ostringstream text;
    text << "usage: azureshorectl COMMAND [OPTION...]\n\ncommands:\n";
    for (const auto& each : commands()) {
        auto words = absl::StrCat("  ", each.group, each.verb.empty() ? "" : " ", each.verb, " ",
                                  each.arguments);
        words.resize(std::max(words.size() + 1, help_column), ' ');
        text << words << each.help << '\n';
    }
    text << '\n'
         << visible_options()
         << "\nexit status: 0 accepted, and in force on the daemons; 1 failed; 2 wrong use; "
            "3 conflict;\n  4 not known whether accepted; 5 accepted but not in force everywhere\n";
    return text.str();
}

} // namespace azureshore::ctl
