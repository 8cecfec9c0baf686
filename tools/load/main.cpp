#include "load_run.hpp"

#include <boost/program_options.hpp>

#include <iostream>
#include <string>

namespace {

namespace options = boost::program_options;
using azureshore::load::load_plan;

constexpr int exit_failed = 1;
constexpr int exit_wrong_use = 2;
constexpr double longest_seconds = 600;
constexpr std::size_t most_connections = 1000;

// Numbers of the command line that the plan holds in other types.
struct raw_numbers {
    std::string target;
    double seconds = 1;
    std::int64_t timeout_milliseconds = 5000;
};

options::options_description known_options(load_plan& plan, raw_numbers& raw)
{
    options::options_description known("azureshore-load");
    auto add = known.add_options();
    add("help", "shows this text");
    add("target", options::value(&raw.target)->required(), "HOST:PORT, on loopback");
    add("path", options::value(&plan.path)->default_value(plan.path), "path of the requests");
    add("rate", options::value(&plan.rate)->default_value(0),
        "requests started a second; 0 starts one when one has ended");
    add("seconds", options::value(&raw.seconds)->default_value(1), "length, at most 600");
    add("count", options::value(&plan.count)->default_value(plan.count), "requests at most");
    add("connections", options::value(&plan.connections)->default_value(plan.connections),
        "requests under way at most, up to 1000");
    add("orders", options::value(&plan.orders)->default_value(0),
        "share of requests that are POST with an Idempotency-Key");
    add("timeout-ms", options::value(&raw.timeout_milliseconds)->default_value(5000),
        "longest time of a request");
    add("seed", options::value(&plan.seed)->default_value(plan.seed), "seed of the mix");
    add("check", options::value(&plan.check_answers)->default_value(true),
        "whether each answer must hold what its request sent");
    add("keep", options::value(&plan.keep_connections)->default_value(true),
        "whether GET requests may use a connection again");
    return known;
}

// Empty when the plan may run.
std::string fault_of(load_plan& plan, const raw_numbers& raw)
{
    const auto target = azureshore::parse_address(raw.target);
    if (!target.ok() || !target->host.starts_with("127.")) {
        return "--target is HOST:PORT with a loopback IP number";
    }
    if (raw.seconds <= 0 || raw.seconds > longest_seconds) {
        return "--seconds is above 0 and at most 600";
    }
    if (plan.connections == 0 || plan.connections > most_connections) {
        return "--connections is from 1 to 1000";
    }
    plan.target = *target;
    plan.length = std::chrono::duration_cast<azureshore::duration>(
        std::chrono::duration<double>(raw.seconds));
    plan.timeout = std::chrono::milliseconds(raw.timeout_milliseconds);
    return {};
}

} // namespace

int main(int argc, char** argv)
{
    load_plan plan;
    raw_numbers raw;
    const auto known = known_options(plan, raw);
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, known), values);
        if (values.count("help") > 0) {
            std::cout << known;
            return 0;
        }
        options::notify(values);
    }
    catch (const options::error& error) {
        std::cerr << error.what() << '\n';
        return exit_wrong_use;
    }
    if (const auto fault = fault_of(plan, raw); !fault.empty()) {
        std::cerr << fault << '\n';
        return exit_wrong_use;
    }
    const auto report = azureshore::load::run_load(plan);
    std::cout << to_json(report) << '\n';
    return report.wrong_answers == 0 ? 0 : exit_failed;
}
