#pragma once

#include "azureshore/net/http_server.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace azureshore::standin {

// A request target taken apart: its path, and the values of its query.
struct target_parts {
    std::string path;
    std::map<std::string, std::string> query;

    // The value of `name` as a number, or `fallback` when it is absent or no number.
    [[nodiscard]] std::int64_t number(const std::string& name, std::int64_t fallback) const;
};

target_parts split_target(std::string_view target);

// An answer with a JSON body.
net::http_answer json_answer(int status, std::string body);

} // namespace azureshore::standin
