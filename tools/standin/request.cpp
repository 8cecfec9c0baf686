#include "request.hpp"

#include "azureshore/net/http_client.hpp"

#include <asio/io_context.hpp>

#include <iostream>

namespace azureshore::standin {

namespace {

constexpr int exit_failed = 1;
constexpr int exit_wrong_use = 2;
constexpr int first_success = 200;
constexpr int first_beyond_success = 300;
constexpr std::size_t max_answer = 16UL * 1024UL * 1024UL;

net::http_result exchange(net::http_request request)
{
    asio::io_context context;
    net::http_client client(context);
    net::http_result result;
    bool ended = false;
    client.start(std::move(request), [&](net::http_result came) {
        result = std::move(came);
        ended = true;
    });
    while (!ended && context.run_one() > 0) {
    }
    return result;
}

} // namespace

int run_request(const std::vector<std::string>& arguments)
{
    const bool enough = arguments.size() == 2 || arguments.size() == 3;
    const auto slash = enough ? arguments[1].find('/') : std::string::npos;
    const auto where = slash == std::string::npos
                           ? absl::StatusOr<address>(absl::InvalidArgumentError(""))
                           : parse_address(arguments[1].substr(0, slash));
    if (!where.ok()) {
        std::cerr << "usage: azureshore-standin request METHOD HOST:PORT/PATH [BODY]\n";
        return exit_wrong_use;
    }
    net::http_request request;
    request.where = *where;
    request.method = arguments[0];
    request.target = arguments[1].substr(slash);
    request.body = arguments.size() == 3 ? arguments[2] : "";
    request.max_answer_body = max_answer;
    request.may_reuse_connection = false;
    const auto result = exchange(std::move(request));
    if (result.why != failure::none) {
        std::cerr << "no answer: " << to_string(result.why) << '\n';
        return exit_failed;
    }
    std::cout << result.status << ' ' << result.body << '\n';
    const bool success = result.status >= first_success && result.status < first_beyond_success;
    return success ? 0 : exit_failed;
}

} // namespace azureshore::standin
