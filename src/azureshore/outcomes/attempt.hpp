#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/wire/permit_messages.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::outcomes {

// One HTTP field line.
struct header {
    std::string name;
    std::string value;

    bool operator==(const header&) const = default;
};

// The whole request of a caller; shared by all attempts of the request.
struct request_content {
    std::string method;
    // Path and query as the caller sent them.
    std::string target;
    std::vector<header> headers;
    std::string body;
};

using content_pointer = std::shared_ptr<const request_content>;

// The whole answer of a backend server.
struct answer_content {
    int status = 0;
    std::vector<header> headers;
    std::string body;

    bool operator==(const answer_content&) const = default;
};

// What is known about an attempt that has ended.
enum class attempt_end : std::uint8_t {
    // A complete answer to this attempt was received.
    answered,
    // It is proved that the backend server did not run the request.
    not_run,
    // The backend server may have run the request.
    unknown,
};

// The observation that determined the end of an attempt.
enum class attempt_proof : std::uint8_t {
    whole_answer,
    // The connection was never established, so no byte of the request was sent.
    never_connected,
    // The backend server stated that it refused the request before running it.
    backend_refused,
    connection_lost,
    answer_cut,
    wrong_echo,
    timed_out,
    cancelled,
    answer_too_large,
};

std::string_view to_string(attempt_end end);
std::string_view to_string(attempt_proof proof);

// One attempt to run a request on a backend server, as the proxy is asked to make it.
struct attempt_request {
    attempt_number attempt;
    request_number request;
    backend_id backend;
    address endpoint;
    content_pointer content;
    // A request that is not idempotent is sent on a connection that has not been used before.
    bool idempotent = false;
    // Time left until the request's deadline; it is passed on to the backend server.
    duration time_left{};
    std::size_t max_answer_body = 0;
};

// How one attempt ended.
struct attempt_report {
    attempt_number attempt;
    attempt_end end = attempt_end::unknown;
    attempt_proof proof = attempt_proof::connection_lost;
    // Set when the attempt was answered.
    std::optional<answer_content> answer;
    instance_id instance;
    std::optional<wire::load_report> load;
    duration latency{};
};

} // namespace azureshore::outcomes
