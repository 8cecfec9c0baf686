#include "azureshore/balance/traffic_configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::balance;

namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix)
{
    route created;
    created.name = name;
    created.host = host;
    created.path_prefix = prefix;
    return created;
}

std::string route_name(const traffic_configuration& configuration, const std::string& host,
                       const std::string& path)
{
    const auto* route = configuration.find_route(host, path);
    return route == nullptr ? "" : route->name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routes)

BOOST_AUTO_TEST_CASE(the_longest_matching_prefix_of_the_host_is_chosen)
{
    traffic_configuration configuration;
    configuration.routes = {make_route("short", "a.example", "/x/"),
                            make_route("long", "a.example", "/x/y/"),
                            make_route("other", "b.example", "/x/y/z/")};
    BOOST_TEST(route_name(configuration, "a.example", "/x/y/1") == "long");
    BOOST_TEST(route_name(configuration, "a.example", "/x/1") == "short");
    BOOST_TEST(route_name(configuration, "A.Example:8080", "/x/") == "short");
    BOOST_TEST(route_name(configuration, "a.example", "/x") == "");
    BOOST_TEST(route_name(configuration, "a.example", "/xy/") == "");
    BOOST_TEST(route_name(configuration, "c.example", "/x/1") == "");
}

BOOST_AUTO_TEST_SUITE_END()
