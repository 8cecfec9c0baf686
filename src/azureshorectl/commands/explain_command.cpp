// The command that tells a request's story from the logs of gateways: explain.

#include "azureshorectl/commands/command.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <utility>

namespace azureshore::ctl {

namespace {

// Events of a backend server that a request was sent to are told if they are as near as this: a
// registration that lapses is noticed within a few heartbeats.
constexpr std::int64_t near_ms = 5'000;
constexpr std::size_t most_logs = 1'000;

// One line of a log: `time=MS event=NAME key=value ...`.
struct log_line {
    std::int64_t time_ms = 0;
    std::string event;
    std::map<std::string, std::string> fields;
    // The line without its time and event.
    std::string rest;

    [[nodiscard]] std::string field(const std::string& key) const
    {
        const auto found = this->fields.find(key);
        return found == this->fields.end() ? "" : found->second;
    }
};

// What a gateway believed at one moment.
struct belief {
    std::string version = "none";
    std::string store = "reachable";
    std::string daemons = "unknown";
    std::set<std::string> out_of_service;

    void learn(const log_line& from)
    {
        if (from.event == "start") {
            *this = {};
        }
        else if (from.event == "configuration_in_force") {
            this->version = from.field("version");
        }
        else if (from.event == "store_lost") {
            this->store = "away";
        }
        else if (from.event == "store_back") {
            this->store = "reachable";
        }
        else if (from.event == "members_changed") {
            this->daemons = from.field("serving");
        }
        else if (from.event == "data_centre" && from.field("in_service") == "false") {
            this->out_of_service.insert(from.field("data_centre"));
        }
        else if (from.event == "data_centre") {
            this->out_of_service.erase(from.field("data_centre"));
        }
    }

    [[nodiscard]] std::string text() const
    {
        std::string out;
        for (const auto& each : this->out_of_service) {
            out += (out.empty() ? "" : ",") + each;
        }
        return fmt::format("configuration {}, store {}, {} daemons, out of service: {}",
                           this->version, this->store, this->daemons, out.empty() ? "none" : out);
    }
};

struct told_line {
    log_line line;
    std::string vm;
    std::string believed;
};

std::optional<log_line> parse_line(const std::string& text)
{
    log_line line;
    for (const auto& word : absl::StrSplit(text, ' ', absl::SkipEmpty())) {
        const std::pair<std::string, std::string> field =
            absl::StrSplit(word, absl::MaxSplits('=', 1));
        if (field.first == "time") {
            if (!absl::SimpleAtoi(field.second, &line.time_ms)) {
                return std::nullopt;
            }
        }
        else if (field.first == "event") {
            line.event = field.second;
        }
        else {
            line.rest += ' ' + std::string(word);
            line.fields.insert(field);
        }
    }
    return line.time_ms == 0 || line.event.empty() ? std::nullopt : std::optional(line);
}

std::vector<log_line> parse_log(const std::string& text)
{
    std::vector<log_line> lines;
    for (const auto& each : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
        if (auto line = parse_line(std::string(each))) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

// The lines of one log that tell of the request, and those near it that tell of the backend
// servers that it was sent to.
std::vector<told_line> lines_about(const std::vector<log_line>& log, const std::string& request,
                                   const std::string& file)
{
    std::set<std::string> backends;
    std::int64_t first = 0;
    std::int64_t last = 0;
    for (const auto& each : log) {
        if (each.field("request") == request) {
            first = first == 0 ? each.time_ms : first;
            last = each.time_ms;
            backends.insert(each.field("backend"));
        }
    }
    std::vector<told_line> about;
    std::string vm = file;
    belief now;
    for (const auto& each : log) {
        now.learn(each);
        if (each.event == "start") {
            vm = each.field("vm");
        }
        const bool of_backend = each.field("request").empty() && !each.field("backend").empty() &&
                                backends.contains(each.field("backend")) &&
                                each.time_ms >= first - near_ms && each.time_ms <= last + near_ms;
        const bool lines_lost = first != 0 && each.event == "log_lines_dropped" &&
                                each.time_ms >= first && each.time_ms <= last + near_ms;
        if (each.field("request") == request || of_backend || lines_lost) {
            about.push_back({each, vm, now.text()});
        }
    }
    return about;
}

exit_status explain(environment& world, const options& given)
{
    const auto& request = given.arguments.front();
    std::vector<told_line> story;
    for (std::size_t i = 1; i < given.arguments.size(); ++i) {
        const auto text = world.read_file(given.arguments[i]);
        if (!text.ok()) {
            *world.err << given.arguments[i] << ": " << text.status().message() << '\n';
            return exit_status::failed;
        }
        const auto about = lines_about(parse_log(*text), request, given.arguments[i]);
        story.insert(story.end(), about.begin(), about.end());
    }
    if (story.empty()) {
        *world.err << "no line tells of " << request
                   << ": it reached none of these daemons, or its lines were beyond the bound\n";
        return exit_status::failed;
    }
    std::stable_sort(story.begin(), story.end(), [](const told_line& left, const told_line& right) {
        return left.line.time_ms < right.line.time_ms;
    });
    std::map<std::string, std::string> told_belief;
    for (const auto& each : story) {
        *world.out << fmt::format("{:+7} ms  {}  {}{}\n",
                                  each.line.time_ms - story.front().line.time_ms, each.vm,
                                  each.line.event, each.line.rest);
        if (std::exchange(told_belief[each.vm], each.believed) != each.believed) {
            *world.out << fmt::format("            {} believed: {}\n", each.vm, each.believed);
        }
    }
    return exit_status::done;
}

} // namespace

command make_explain()
{
    command made;
    made.group = "explain";
    made.arguments = "REQUEST LOG...";
    made.least_arguments = 2;
    made.most_arguments = most_logs;
    made.help = "tell what became of a request, from the logs of gateways";
    made.needs_log = false;
    made.run = explain;
    return made;
}

} // namespace azureshore::ctl
