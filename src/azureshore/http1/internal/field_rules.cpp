#include "azureshore/http1/internal/field_rules.hpp"

#include <algorithm>
#include <string>
#include <string_view>

namespace azureshore::http1::detail {

void trim_values(std::vector<net::field>& fields)
{
    for (auto& each : fields) {
        each.value = std::string(net::trimmed(each.value));
    }
}

bool has_spaced_name(const std::vector<net::field>& fields)
{
    return std::any_of(fields.begin(), fields.end(), [](const net::field& each) {
        return each.name.find_first_of(" \t") != std::string::npos;
    });
}

bool is_framed_safely(const std::vector<net::field>& fields)
{
    bool chunked = false;
    bool sized = false;
    for (const auto& each : fields) {
        if (net::same_name(each.name, "Transfer-Encoding")) {
            if (chunked || !net::same_name(each.value, "chunked")) {
                return false;
            }
            chunked = true;
        }
        sized = sized || net::same_name(each.name, "Content-Length");
    }
    return !(chunked && sized);
}

} // namespace azureshore::http1::detail
