#pragma once

#include "azureshore/net/http_client.hpp"
#include "azureshore/outcomes/attempt.hpp"

#include <string_view>

namespace azureshore::proxy::detail {

// What is proved by the result of the attempt of that name.
outcomes::attempt_report judge(attempt_number attempt, std::string_view name,
                               net::http_result result);

} // namespace azureshore::proxy::detail
