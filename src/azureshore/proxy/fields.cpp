#include "azureshore/proxy/fields.hpp"

#include "azureshore/net/field_text.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace azureshore::proxy {

namespace {

constexpr std::array<std::string_view, 5> own_fields{
    field_name::attempt, field_name::deadline, field_name::instance,
    field_name::load,    field_name::run,
};

bool is_own(std::string_view name)
{
    return std::any_of(own_fields.begin(), own_fields.end(),
                       [&](std::string_view each) { return net::same_name(each, name); });
}

} // namespace

std::vector<outcomes::header> passed_on(const std::vector<net::field>& fields)
{
    std::vector<outcomes::header> passed;
    for (auto& each : net::end_to_end(fields)) {
        if (!is_own(each.name)) {
            passed.push_back({std::move(each.name), std::move(each.value)});
        }
    }
    return passed;
}

} // namespace azureshore::proxy
