// A roll-out on gateways as processes, with the store's stand-in.

#include "deployment/small_deployment.hpp"
#include "platform/decode.hpp"

#include <atomic>
#include <thread>

using namespace azureshore;
using namespace azureshore::testing;

namespace {

constexpr std::chrono::seconds time_limit(24);

// Servers of two versions, and callers that ask the gateways all the time.
struct rollout_deployment : settled_deployment {
    rollout_deployment() : settled_deployment(3)
    {
        for (int i = 0; i < 2; ++i) {
            this->place.add_backend().set_version("v2");
        }
        this->place.heartbeat();
    }

    void set_new_servers(const std::function<void(local_backend&)>& change)
    {
        for (std::size_t i = 2; i < this->place.backends.size(); ++i) {
            change(*this->place.backends[i]);
        }
    }

    std::string state()
    {
        const auto answer =
            get(this->place.gateways[0].to_store->where(), "/log-newest?topic=keyed.status&part=0");
        const auto page = users_platform::read_newest(answer.body);
        if (!page || page->records.empty()) {
            return "";
        }
        return page->records.back().value.value_or("");
    }

    // Callers ask until the state has this text or the time limit has passed. Returns whether it
    // had.
    bool run_until_state(const std::string& text)
    {
        std::atomic<bool> ended = false;
        std::atomic<std::size_t> made = 0;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < 6; ++i) {
            callers.emplace_back([this, i, &ended, &made] {
                caller self;
                while (!ended) {
                    const auto id = "c-" + std::to_string(++made);
                    const auto& vm = this->place.gateways[i % this->place.gateways.size()];
                    this->watch.sent(id, true, "/plates/" + id);
                    const auto answer = self.ask(
                        vm.callers, make_request(id, "/plates/" + id, true, deadline), deadline);
                    this->unserved += !answer || answer->status != status_ok ? 1 : 0;
                }
            });
        }
        const auto until = steady_now() + time_limit;
        bool reached = false;
        while (!reached && steady_now() < until) {
            std::this_thread::sleep_for(milliseconds(500));
            this->place.heartbeat();
            reached = this->state().find(text) != std::string::npos;
        }
        ended = true;
        for (auto& each : callers) {
            each.join();
        }
        return reached;
    }

    std::atomic<std::size_t> unserved = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(rollout_processes)

// Guards against old servers that still get requests when they may stop.
BOOST_AUTO_TEST_CASE(a_good_version_is_completed_and_the_old_servers_get_no_more_requests)
{
    rollout_deployment of;
    of.place.order_rollout("v2", time_limit);
    BOOST_TEST(of.run_until_state("completed"));
    for (std::size_t i = 0; i < 2; ++i) {
        of.place.backends[i]->forbid_from(steady_now());
    }
    of.expect_served(milliseconds(1000));
    of.check();
    BOOST_TEST(of.unserved == 0U);
}

// Guards against a version that fails and still gets requests when it has been rolled back.
BOOST_AUTO_TEST_CASE(a_version_that_fails_is_rolled_back_and_gets_no_more_requests)
{
    rollout_deployment of;
    of.set_new_servers([](local_backend& each) { each.fail(0.5); });
    of.place.order_rollout("v2", time_limit);
    BOOST_TEST(of.run_until_state("rolled_back"));
    of.set_new_servers([](local_backend& each) { each.forbid_from(steady_now()); });
    of.expect_served(milliseconds(1000));
    of.check();
}

BOOST_AUTO_TEST_SUITE_END()
