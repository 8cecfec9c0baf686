#include "outcomes/cluster.hpp"
#include "support/environment.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>

using namespace azureshore;
using namespace azureshore::outcomes;
using namespace azureshore::outcomes::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t default_schedules = 20'000;
constexpr std::uint64_t default_first_seed = 1;
constexpr duration busy_time = 1500ms;
constexpr duration settling_time = 5s;

// In long schedules the orders are sent in separate periods, and the log's retention ends for the
// earlier ones.
constexpr duration order_time = 4s;
constexpr duration short_retention = 7s;

// Draws a random schedule from a seed: the number of VMs, the faults, and who sends what when.
class schedule {
public:
    explicit schedule(std::uint64_t seed) : random(seeded_random(seed)) {}

    std::uint64_t pick(std::uint64_t count) { return this->random() % count; }

    duration random_duration(duration limit)
    {
        return duration(
            static_cast<duration::rep>(uniform(this->random) * static_cast<double>(limit.count())));
    }

    // Each fault is absent from most schedules, so that it occurs alone as well as with others.
    double fault_rate(double max_rate)
    {
        return this->pick(3) == 0 ? max_rate * uniform(this->random) : 0;
    }

    configuration::service_limits draw_limits()
    {
        configuration::service_limits limits;
        limits.hedge = this->pick(2) == 0;
        limits.deadline = 800ms;
        return limits;
    }

    run_once_limits draw_log_limits()
    {
        run_once_limits limits;
        this->is_long = this->pick(8) == 0;
        limits.retention = this->is_long ? short_retention : duration(24h);
        limits.partitions = 1 + static_cast<std::uint32_t>(this->pick(2));
        limits.group_on_one_vm = this->pick(2) == 0;
        limits.appends_per_second = this->pick(4) == 0 ? 20 : 300;
        limits.max_record_bytes = this->pick(4) == 0 ? 100 : 64UL * 1024UL;
        limits.max_stored_answer = this->pick(4) == 0 ? 0 : 4096;
        return limits;
    }

    void draw_faults(cluster& vms)
    {
        auto& network = vms.faults;
        network.lost_message = this->fault_rate(0.5);
        network.refused_permit = this->fault_rate(0.5);
        network.never_connected = this->fault_rate(0.6);
        network.backend_refused = this->fault_rate(0.6);
        network.lost_before_run = this->fault_rate(0.5);
        network.lost_after_run = this->fault_rate(0.5);
        network.no_answer = this->fault_rate(0.5);
        network.duplicate_report = this->fault_rate(1);
        network.service_time = this->pick(4) == 0 ? 300ms : 10ms;
        auto& log = vms.log.faults;
        log.lost_acknowledgement = this->fault_rate(0.8);
        log.late_effect = this->fault_rate(0.6);
        log.lost_append = this->fault_rate(0.6);
        log.refused_append = this->fault_rate(0.6);
        log.stale_read = this->fault_rate(0.8);
        log.retention = this->is_long ? short_retention : duration(24h);
        log.append_time = this->pick(4) == 0 ? 200ms : 2ms;
        log.read_time = this->pick(6) == 0 ? 100ms : 1ms;
    }

    sending_plan draw_sending()
    {
        sending_plan plan;
        const auto kind = this->pick(8);
        plan.order = this->pick(3);
        plan.idempotent = kind == 0;
        plan.key = kind < 2 ? "" : "key-" + std::to_string(plan.order);
        // Keyed, plain and idempotent orders are different work.
        plan.order += kind == 0 ? 20 : kind == 1 ? 10 : 0;
        plan.poison = plan.order % 10 == 2 && kind < 2;
        plan.time_left = 100ms + this->random_duration(900ms);
        return plan;
    }

    [[nodiscard]] bool has_long_pauses() const { return this->is_long; }

    // Returns the earliest time at which a sending of this plan's order is made.
    [[nodiscard]] duration earliest(const sending_plan& plan) const
    {
        return this->is_long ? (plan.order % 10) * order_time : 20ms;
    }

    [[nodiscard]] duration whole_time() const
    {
        return busy_time + settling_time +
               (this->is_long ? 2 * order_time + 2 * short_retention : 0s);
    }

    // Incidents are spread over the whole of a long schedule; pauses may then exceed the retention.
    duration incident_time()
    {
        return this->random_duration(busy_time + (this->is_long ? 2 * order_time : 0s));
    }
    duration pause_time()
    {
        return this->random_duration(this->is_long ? 2 * short_retention : 800ms);
    }

private:
    random_source random;
    bool is_long = false;
};

void schedule_incidents(schedule& drawn, cluster& vms, std::size_t vm_count)
{
    for (auto remaining = drawn.pick(4); remaining > 0; --remaining) {
        const auto vm = drawn.pick(vm_count);
        const auto when = drawn.incident_time();
        switch (drawn.pick(4)) {
        case 0:
            vms.time.after(when, [&vms, vm] { vms.kill(vm); });
            break;
        case 1: {
            const auto span = drawn.pause_time();
            vms.time.after(when, [&vms, vm, span] { vms.pause(vm, span); });
            break;
        }
        default: {
            const auto span = drawn.random_duration(600ms);
            vms.time.after(when, [&vms] { vms.log.unavailable = true; });
            vms.time.after(when + span, [&vms] { vms.log.unavailable = false; });
            break;
        }
        }
    }
}

void schedule_sendings(schedule& drawn, cluster& vms, std::size_t vm_count)
{
    const auto count = 3 + drawn.pick(8);
    const bool long_pauses = drawn.has_long_pauses();
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto plan = drawn.draw_sending();
        const auto vm = drawn.pick(vm_count);
        const bool disconnects = drawn.pick(6) == 0;
        const auto caller_timeout = drawn.random_duration(300ms);
        vms.time.after(drawn.earliest(plan) + drawn.random_duration(busy_time), [=, &vms] {
            // A paused VM could read the request only after its key has expired, as a new request.
            if (long_pauses && vms.paused(vm)) {
                return;
            }
            const auto sending = vms.send(vm, plan);
            if (disconnects) {
                vms.time.after(caller_timeout, [&vms, sending] { vms.disconnect_caller(sending); });
            }
        });
    }
}

// Runs the schedule of one seed, adds its responses to `responses` and returns the violations.
std::vector<std::string> violations_of(std::uint64_t seed,
                                       std::map<std::string, unsigned>& responses)
{
    schedule drawn(seed);
    const std::size_t vm_count = 2 + drawn.pick(2);
    const auto limits = drawn.draw_limits();
    const auto log_limits = drawn.draw_log_limits();
    cluster vms(seed, vm_count, 2 + drawn.pick(2), limits, log_limits);
    drawn.draw_faults(vms);
    if (std::getenv("AZURESHORE_TRACE") != nullptr) {
        vms.on_decision = [&vms](const vm_id& vm, const std::string& line) {
            std::clog << to_milliseconds(vms.time.now().time_since_epoch() - 1h) << " ms " << vm
                      << ' ' << line << '\n';
        };
    }
    schedule_incidents(drawn, vms, vm_count);
    schedule_sendings(drawn, vms, vm_count);
    try {
        vms.time.run_until(vms.time.now() + drawn.whole_time());
    }
    catch (const std::exception& error) {
        vms.invariant_checker.violations.emplace_back(error.what());
    }
    vms.invariant_checker.finish();
    for (const auto& [response, count] : vms.responses) {
        responses[response] += count;
    }
    return vms.invariant_checker.violations;
}

} // namespace

BOOST_AUTO_TEST_SUITE(schedules)

BOOST_AUTO_TEST_CASE(no_schedule_violates_an_invariant)
{
    const auto count = test_support::number_from("AZURESHORE_SCHEDULES", default_schedules);
    const auto first = test_support::number_from("AZURESHORE_SEED", default_first_seed);
    std::map<std::string, unsigned> responses;
    unsigned violation_count = 0;
    for (auto seed = first; seed < first + count && violation_count < 5; ++seed) {
        for (const auto& violation : violations_of(seed, responses)) {
            BOOST_ERROR("AZURESHORE_SEED=" << seed << " AZURESHORE_SCHEDULES=1: " << violation);
            ++violation_count;
        }
    }
    unsigned total = 0;
    for (const auto& [response, count_of_response] : responses) {
        BOOST_TEST_MESSAGE(response << ": " << count_of_response);
        total += count_of_response;
    }
    // The invariants would also hold if no request were answered.
    BOOST_TEST(responses["answered"] > total / 4);
}

BOOST_AUTO_TEST_SUITE_END()
