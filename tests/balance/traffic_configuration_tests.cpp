#include "azureshore/balance/traffic_configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::balance;

namespace {

route route_of(const std::string& name, const std::string& host, const std::string& prefix)
{
    route made;
    made.name = name;
    made.host = host;
    made.path_prefix = prefix;
    return made;
}

std::string found(const traffic_configuration& in, const std::string& host, const std::string& path)
{
    const auto* route = in.find_route(host, path);
    return route == nullptr ? "" : route->name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routes)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_is_taken)
{
    traffic_configuration of;
    of.routes = {route_of("short", "a.example", "/x/"), route_of("long", "a.example", "/x/y/"),
                 route_of("other", "b.example", "/x/y/z/")};
    BOOST_TEST(found(of, "a.example", "/x/y/1") == "long");
    BOOST_TEST(found(of, "a.example", "/x/1") == "short");
    BOOST_TEST(found(of, "A.Example:8080", "/x/") == "short");
    BOOST_TEST(found(of, "a.example", "/x") == "");
    BOOST_TEST(found(of, "a.example", "/xy/") == "");
    BOOST_TEST(found(of, "c.example", "/x/1") == "");
}

BOOST_AUTO_TEST_SUITE_END()
