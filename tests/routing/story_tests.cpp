// A session told by its decisions, compared with the approved one. AZURESHORE_APPROVE=1 rewrites
// it.

#include "support/routing_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace azureshore;
using namespace azureshore::fakes;

BOOST_AUTO_TEST_SUITE(stories)

BOOST_AUTO_TEST_CASE(a_backend_server_restarts_and_a_data_centre_leaves)
{
    cluster_setup setup;
    setup.vms = 3;
    setup.backends = 3;
    cluster service(setup);
    std::ostringstream story;
    const auto begun = service.clock.now();
    service.log = [&](int vm, const observe::decision& made) {
        // Tickets start at a random number.
        auto shown = made;
        std::erase_if(shown.fields, [](const auto& field) { return field.key == "ticket"; });
        story << to_milliseconds(service.clock.now() - begun) << " ms vm-" << vm << ' '
              << observe::to_line(shown) << '\n';
    };
    const auto ask = [&](int count) {
        for (int i = 0; i < count; ++i) {
            service.begin(i % 3, "lesson", milliseconds(5), seconds(1));
            service.clock.run_for(milliseconds(1));
        }
        service.clock.run_for(milliseconds(500));
    };
    service.publish();
    ask(4);
    service.backends[1]->crash();
    ask(4);
    story << "maadi out of service\n";
    service.set_out_of_service("maadi", true);
    ask(2);
    story << "all out of service\n";
    service.set_out_of_service("shubra", true);
    service.set_out_of_service("khan-el-khalili", true);
    ask(1);
    const std::string path = AZURESHORE_SOURCE_DIR "/tests/routing/approved/restart_and_leave.txt";
    if (std::getenv("AZURESHORE_APPROVE") != nullptr) {
        std::ofstream(path) << story.str();
    }
    std::ifstream file(path);
    const std::string approved{std::istreambuf_iterator<char>(file), {}};
    BOOST_TEST(story.str() == approved);
}

BOOST_AUTO_TEST_SUITE_END()
