#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/settings/schema.hpp"

#include <cstddef>

namespace azureshore::settings {

// Where the value of a rule goes; the target must outlive the rule.
using assigner = std::function<void(const found_value&)>;

template <class Id>
assigner to_id(Id& target)
{
    return [&target](const found_value& found) {
        target = Id{found.text};
    };
}

inline assigner to_address(address& target)
{
    return [&target](const found_value& found) {
        target = found.where;
    };
}

inline assigner to_size(std::size_t& target)
{
    return [&target](const found_value& found) {
        target = static_cast<std::size_t>(found.number);
    };
}

inline assigner to_duration(duration& target)
{
    return [&target](const found_value& found) {
        target = found.span;
    };
}

inline assigner to_fraction(double& target)
{
    return [&target](const found_value& found) {
        target = found.fraction;
    };
}

// Takes a fraction without what stands behind its point.
inline assigner to_whole_part(std::size_t& target)
{
    return [&target](const found_value& found) {
        target = static_cast<std::size_t>(found.fraction);
    };
}

inline assigner to_list(std::vector<std::string>& target)
{
    return [&target](const found_value& found) {
        target = found.list;
    };
}

inline assigner to_addresses(std::vector<address>& target)
{
    return [&target](const found_value& found) {
        target = found.addresses;
    };
}

inline assigner to_flag(bool& target)
{
    return [&target](const found_value& value) {
        target = value.flag;
    };
}

} // namespace azureshore::settings
