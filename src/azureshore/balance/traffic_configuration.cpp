#include "azureshore/balance/traffic_configuration.hpp"

#include <algorithm>
#include <cctype>

namespace azureshore::balance {

namespace {

// Returns the host name of a Host field, which may include a port.
std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

bool same_host(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

} // namespace

const route* traffic_configuration::find_route(std::string_view host, std::string_view path) const
{
    const auto host_name = without_port(host);
    const route* best = nullptr;
    for (const auto& each : this->routes) {
        if (same_host(each.host, host_name) && path.starts_with(each.path_prefix) &&
            (best == nullptr || each.path_prefix.size() > best->path_prefix.size())) {
            best = &each;
        }
    }
    return best;
}

const service_traits* traffic_configuration::find_service(const service_id& name) const
{
    const auto found = std::find_if(this->services.begin(), this->services.end(),
                                    [&](const service_traits& each) { return each.name == name; });
    return found == this->services.end() ? nullptr : &*found;
}

const std::vector<client_account>& traffic_configuration::listed_accounts() const
{
    static const std::vector<client_account> none;
    return this->accounts ? *this->accounts : none;
}

} // namespace azureshore::balance
