#pragma once

#include "azureshore/net/http_client.hpp"
#include "azureshore/outcomes/attempt.hpp"

#include <string_view>
#include <vector>

namespace azureshore::proxy {

// Names of the header fields that azureshore gives a meaning.
namespace field_name {
// Names a request that may be sent again but must run at most once.
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
// Time left until the request's deadline, in milliseconds.
inline constexpr std::string_view deadline = "Azureshore-Deadline-Ms";
// Groups the requests of one caller for fair queueing.
inline constexpr std::string_view caller = "Azureshore-Caller";
// Names one attempt; the backend server's answer repeats it.
inline constexpr std::string_view attempt = "Azureshore-Attempt";
// One run of a backend server's process.
inline constexpr std::string_view instance = "Azureshore-Instance";
// A backend server's running requests and slots.
inline constexpr std::string_view load = "Azureshore-Load";
// What a refusal says about the request: not-run or unknown.
inline constexpr std::string_view run = "Azureshore-Run";
inline constexpr std::string_view proxy_status = "Proxy-Status";
inline constexpr std::string_view retry_after = "Retry-After";
} // namespace field_name

// The value of Azureshore-Run by which a backend server or azureshore says that nothing ran.
inline constexpr std::string_view run_not_run = "not-run";
inline constexpr std::string_view run_unknown = "unknown";

// The fields that go on to the other side: without those of one connection (RFC 9110, section
// 7.6.1) and without azureshore's own.
std::vector<outcomes::header> passed_on(const std::vector<net::field>& fields);

} // namespace azureshore::proxy
