// Compares the transcript of a session's logged decisions with the approved file.
// AZURESHORE_APPROVE=1 rewrites the file.

#include "support/routing_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace azureshore;
using namespace azureshore::fakes;

BOOST_AUTO_TEST_SUITE(routing_transcripts)

BOOST_AUTO_TEST_CASE(a_backend_server_restarts_and_a_data_centre_leaves)
{
    cluster_setup setup;
    setup.vms = 3;
    setup.backends = 3;
    cluster service(setup);
    std::ostringstream transcript;
    const auto start = service.clock.now();
    service.log = [&](int vm, const observe::decision& decision) {
        // Tickets start at a random number.
        auto logged = decision;
        std::erase_if(logged.fields, [](const auto& field) { return field.key == "ticket"; });
        transcript << to_milliseconds(service.clock.now() - start) << " ms vm-" << vm << ' '
                   << observe::to_line(logged) << '\n';
    };
    const auto run_requests = [&](int count) {
        for (int i = 0; i < count; ++i) {
            service.begin(i % 3, "lesson", milliseconds(5), seconds(1));
            service.clock.run_for(milliseconds(1));
        }
        service.clock.run_for(milliseconds(500));
    };
    service.publish();
    run_requests(4);
    service.backends[1]->crash();
    run_requests(4);
    transcript << "maadi out of service\n";
    service.set_out_of_service("maadi", true);
    run_requests(2);
    transcript << "all data centres out of service\n";
    service.set_out_of_service("shubra", true);
    service.set_out_of_service("khan-el-khalili", true);
    run_requests(1);
    const std::string path = AZURESHORE_SOURCE_DIR "/tests/routing/approved/restart_and_leave.txt";
    if (std::getenv("AZURESHORE_APPROVE") != nullptr) {
        std::ofstream(path) << transcript.str();
    }
    std::ifstream file(path);
    const std::string approved{std::istreambuf_iterator<char>(file), {}};
    BOOST_TEST(transcript.str() == approved);
}

BOOST_AUTO_TEST_SUITE_END()
