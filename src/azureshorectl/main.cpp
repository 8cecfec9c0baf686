#include "azureshore/core/failure.hpp"
#include "azureshore/daemon/version.hpp"
#include "azureshore/net/http_client.hpp"
#include "azureshore/platform/log_client.hpp"
#include "azureshorectl/commands/command_line.hpp"

#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

using namespace azureshore;

namespace {

constexpr auto longest_poll = std::chrono::milliseconds(20);
constexpr auto status_timeout = std::chrono::seconds(1);
constexpr std::size_t max_status_bytes = 4UL * 1024UL * 1024UL;

absl::StatusOr<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return make_status(failure::settings_unreadable, "cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string random_id()
{
    std::random_device source;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", source(), source(), source(), source());
}

absl::StatusOr<ctl::vm_status> read_status(const net::http_result& result)
{
    constexpr int status_ok = 200;
    if (result.why != failure::none || result.status != status_ok) {
        return make_status(failure::connection_failed, "the daemon does not answer");
    }
    try {
        const auto body = nlohmann::json::parse(result.body);
        ctl::vm_status status{body.at("vm"), body.at("revision"), {}, result.body};
        for (const auto& each : body.value("vms", nlohmann::json::array())) {
            status.members.push_back(each.at("name"));
        }
        return status;
    }
    catch (const nlohmann::json::exception&) {
        return make_status(failure::message_malformed, "the daemon's status cannot be read");
    }
}

ctl::status_function make_status_function(net::http_client& http)
{
    return [&http](const address& daemon,
                   std::function<void(absl::StatusOr<ctl::vm_status>)> done) {
        net::http_request request;
        request.where = daemon;
        request.target = "/status";
        request.timeout = status_timeout;
        request.max_answer_body = max_status_bytes;
        http.start(std::move(request), [done = std::move(done)](const net::http_result& result) {
            done(read_status(result));
        });
    };
}

// Runs the executor until the condition holds or the moment is there.
bool run_until(asio::io_context& executor, const std::function<bool()>& condition, time_point until)
{
    while (!condition()) {
        const auto left = until - steady_now();
        if (left <= duration::zero()) {
            return false;
        }
        executor.restart();
        executor.run_for(std::min<duration>(left, longest_poll));
    }
    return true;
}

int run_command(const ctl::command_line& line)
{
    asio::io_context executor;
    const auto work = asio::make_work_guard(executor);
    net::http_client http(executor);
    ctl::environment world;
    if (line.log) {
        world.log = platform::make_log_client(http, *line.log, line.given.timeout);
    }
    world.fetch_status = make_status_function(http);
    world.now = steady_now;
    world.run_until = [&executor](const auto& condition, time_point until) {
        return run_until(executor, condition, until);
    };
    world.wall_clock = [] {
        return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
    };
    world.make_change_id = random_id;
    world.read_file = read_file;
    world.out = &std::cout;
    world.err = &std::cerr;
    return static_cast<int>(line.chosen->run(world, line.given));
}

int run(const std::vector<std::string>& words)
{
    const auto line = ctl::read_command_line(words);
    if (line.help) {
        std::cout << ctl::usage();
        return 0;
    }
    if (line.version) {
        std::cout << "azureshorectl " << daemon::version << '\n';
        return 0;
    }
    if (line.chosen == nullptr) {
        std::cerr << "azureshorectl: " << line.wrong << "; --help shows how to use it\n";
        return static_cast<int>(ctl::exit_status::wrong_use);
    }
    return run_command(line);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run({argv + 1, argv + argc});
    }
    catch (const std::exception& error) {
        std::cerr << "azureshorectl: " << error.what() << '\n';
        return static_cast<int>(ctl::exit_status::failed);
    }
}
