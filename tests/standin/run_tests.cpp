#include "run.hpp"
#include "service_tools.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

using namespace azureshore;
using namespace azureshore::standin;
using namespace std::chrono_literals;

namespace {

struct observed_actions {
    std::atomic<bool> started = false;
    std::atomic<bool> service_alive = true;
    std::atomic<bool> ran_without_service = false;
};

// Takes as long over an action as a read's time-out that meets a long list of waiting reads.
class slow_service {
public:
    slow_service(observed_actions* observer, const delay_function& after) : observed(observer)
    {
        this->start = [observer, after] {
            after(0ms, [observer] {
                observer->started = true;
                std::this_thread::sleep_for(100ms);
                observer->ran_without_service = !observer->service_alive;
            });
        };
    }
    ~slow_service() { this->observed->service_alive = false; }
    slow_service(const slow_service&) = delete;
    slow_service& operator=(const slow_service&) = delete;
    slow_service(slow_service&&) = delete;
    slow_service& operator=(slow_service&&) = delete;

    std::function<void()> start;

private:
    observed_actions* observed;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stand_in_timers)

BOOST_AUTO_TEST_CASE(a_service_outlives_the_action_of_a_timer_that_runs_at_its_end)
{
    observed_actions observed;
    auto timed = std::make_unique<timed_service<slow_service>>(&observed);
    timed->service.start();
    while (!observed.started) {
        std::this_thread::sleep_for(1ms);
    }
    timed.reset();
    BOOST_TEST(!observed.ran_without_service);
}

BOOST_AUTO_TEST_SUITE_END()
