#include "http_tools.hpp"
#include "keyed_store.hpp"
#include "log_service.hpp"
#include "run.hpp"
#include "vm_list_service.hpp"

#include <boost/program_options.hpp>

#include <iostream>
#include <optional>

namespace azureshore::standin {

namespace {

namespace options = boost::program_options;

constexpr int exit_wrong_use = 2;

// Reads the command line; an exit status when there is nothing left to do.
std::optional<int> parse(const std::vector<std::string>& arguments,
                         const options::options_description& known, options::variables_map& values)
{
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
    return std::nullopt;
}

} // namespace

int run_log_service(const std::vector<std::string>& arguments)
{
    std::string listen;
    log_limits limits;
    std::int64_t retained_seconds = 0;
    options::options_description known("azureshore-standin log");
    known.add_options()("help", "shows this text")(
        "listen", options::value(&listen)->default_value("127.0.0.1:0"), "HOST:PORT")(
        "retained-records",
        options::value(&limits.retained_records)->default_value(limits.retained_records),
        "records kept in each stream")("retained-seconds",
                                       options::value(&retained_seconds)->default_value(86400),
                                       "how long records are kept")(
        "appends-per-second",
        options::value(&limits.appends_per_second)->default_value(limits.appends_per_second),
        "appends taken in a second");
    options::variables_map values;
    if (const auto status = parse(arguments, known, values)) {
        return *status;
    }
    limits.retained_for = std::chrono::seconds(retained_seconds);
    timed_service<log_service> timed(limits);
    return serve("log", listen, [&timed](const net::http_call& call, net::responder respond) {
        timed.service.handle(call, std::move(respond));
    });
}

int run_keyed_store(const std::vector<std::string>& arguments)
{
    std::string listen;
    store_limits limits;
    options::options_description known("azureshore-standin store");
    known.add_options()("help", "shows this text")(
        "listen", options::value(&listen)->default_value("127.0.0.1:0"), "HOST:PORT")(
        "writes-per-second",
        options::value(&limits.writes_per_second)->default_value(limits.writes_per_second),
        "writing calls taken in a second")(
        "reads-per-second",
        options::value(&limits.reads_per_second)->default_value(limits.reads_per_second),
        "reading calls taken in a second");
    options::variables_map values;
    if (const auto status = parse(arguments, known, values)) {
        return *status;
    }
    timed_service<keyed_store> timed(limits);
    return serve("store", listen, [&timed](const net::http_call& call, net::responder respond) {
        timed.service.handle(call, std::move(respond));
    });
}

int run_vm_list_service(const std::vector<std::string>& arguments)
{
    std::string listen;
    options::options_description known("azureshore-standin vm-list");
    known.add_options()("help", "shows this text")(
        "listen", options::value(&listen)->default_value("127.0.0.1:0"), "HOST:PORT");
    options::variables_map values;
    if (const auto status = parse(arguments, known, values)) {
        return *status;
    }
    vm_list_service service;
    return serve("vm-list", listen,
                 [&service](const net::http_call& call, const net::responder& respond) {
                     service.handle(call, respond);
                 });
}

} // namespace azureshore::standin
