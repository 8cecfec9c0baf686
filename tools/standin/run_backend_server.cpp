#include "backend_server.hpp"
#include "run.hpp"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>
#include <memory>

namespace azureshore::standin {

namespace {

namespace options = boost::program_options;

constexpr int exit_wrong_use = 2;
// As sysexits.h names an internal software error.
constexpr int exit_crashed = 70;

options::options_description known_options(backend_plan& plan, std::string& listen,
                                           double& mean_milliseconds)
{
    options::options_description known("azureshore-standin backend-server");
    auto add = known.add_options();
    add("help", "shows this text");
    add("listen", options::value(&listen)->default_value("127.0.0.1:0"), "HOST:PORT");
    add("name", options::value(&plan.name)->default_value(plan.name), "name of the server");
    add("instance", options::value(&plan.instance), "name of this run; NAME-1 if absent");
    add("service", options::value(&plan.service), "service that it serves");
    add("slots", options::value(&plan.slots)->default_value(plan.slots),
        "requests that run at once");
    add("cold-window", options::value(&plan.cold_window)->default_value(plan.cold_window),
        "requests that it bears while cold");
    add("warm-after", options::value(&plan.warm_after)->default_value(plan.warm_after),
        "requests finished until it is warm; 0 starts it warm");
    add("connections", options::value(&plan.connections)->default_value(plan.connections),
        "requests that run or wait before it refuses");
    add("service-time", options::value(&mean_milliseconds)->default_value(2),
        "mean time that a request runs, in ms");
    add("spread", options::value(&plan.spread)->default_value(plan.spread),
        "spread of the log-normal time");
    add("seed", options::value(&plan.seed)->default_value(plan.seed), "seed of the times");
    return known;
}

} // namespace

int run_backend_server(const std::vector<std::string>& arguments)
{
    backend_plan plan;
    std::string listen;
    double mean_milliseconds = 0;
    const auto known = known_options(plan, listen, mean_milliseconds);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(arguments).options(known).run(), values);
        options::notify(values);
    }
    catch (const options::error& error) {
        std::cerr << error.what() << '\n';
        return exit_wrong_use;
    }
    if (values.count("help") > 0) {
        std::cout << known;
        return 0;
    }
    plan.mean_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(mean_milliseconds));
    auto timers = std::make_unique<delays>();
    backend_server server(
        plan,
        [&timers](duration span, std::function<void()> action) {
            timers->after(span, std::move(action));
        },
        [] { std::_Exit(exit_crashed); });
    net::http_server_hooks hooks;
    hooks.call = [&server](const net::http_call& call, const net::responder& respond) {
        server.handle(call, respond);
    };
    hooks.gone = [&server](net::call_number call) {
        server.gone(call);
    };
    const int status = serve("backend-server", listen, std::move(hooks));
    // Ends the timers' thread, which calls the server.
    timers.reset();
    return status;
}

} // namespace azureshore::standin
