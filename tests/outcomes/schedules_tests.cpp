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

// In long schedules each order has a time of its own, and the log forgets the earlier ones.
constexpr duration order_time = 4s;
constexpr duration short_retention = 7s;

// Draws a schedule from a seed: how many VMs, which faults, who sends what and when.
class schedule {
public:
    explicit schedule(std::uint64_t seed) : random(seeded_random(seed)) {}

    std::uint64_t pick(std::uint64_t count) { return this->random() % count; }

    duration moment(duration within)
    {
        return duration(static_cast<duration::rep>(uniform(this->random) *
                                                   static_cast<double>(within.count())));
    }

    // A fault is absent from most schedules, so that each shows alone as well as with others.
    double maybe(double most) { return this->pick(3) == 0 ? most * uniform(this->random) : 0; }

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
        network.lost_message = this->maybe(0.5);
        network.refused_permit = this->maybe(0.5);
        network.never_connected = this->maybe(0.6);
        network.backend_refused = this->maybe(0.6);
        network.lost_before = this->maybe(0.5);
        network.lost_after = this->maybe(0.5);
        network.no_answer = this->maybe(0.5);
        network.doubled_report = this->maybe(1);
        network.service_time = this->pick(4) == 0 ? 300ms : 10ms;
        auto& log = vms.log.faults;
        log.lost_acknowledgement = this->maybe(0.8);
        log.late_effect = this->maybe(0.6);
        log.lost_append = this->maybe(0.6);
        log.refused = this->maybe(0.6);
        log.stale_read = this->maybe(0.8);
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
        plan.time_left = 100ms + this->moment(900ms);
        return plan;
    }

    [[nodiscard]] bool has_long_pauses() const { return this->is_long; }

    // When the orders of this plan are sent, at the earliest.
    [[nodiscard]] duration earliest(const sending_plan& plan) const
    {
        return this->is_long ? (plan.order % 10) * order_time : 20ms;
    }

    [[nodiscard]] duration whole_time() const
    {
        return busy_time + settling_time +
               (this->is_long ? 2 * order_time + 2 * short_retention : 0s);
    }

    // Mishaps fall into the whole of a long schedule; pauses may then outlast the retention.
    duration mishap_time()
    {
        return this->moment(busy_time + (this->is_long ? 2 * order_time : 0s));
    }
    duration pause_time() { return this->moment(this->is_long ? 2 * short_retention : 800ms); }

private:
    random_source random;
    bool is_long = false;
};

void plan_mishaps(schedule& drawn, cluster& vms, std::size_t vm_count)
{
    for (auto left = drawn.pick(4); left > 0; --left) {
        const auto vm = drawn.pick(vm_count);
        const auto when = drawn.mishap_time();
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
            const auto span = drawn.moment(600ms);
            vms.time.after(when, [&vms] { vms.log.down = true; });
            vms.time.after(when + span, [&vms] { vms.log.down = false; });
            break;
        }
        }
    }
}

void plan_sendings(schedule& drawn, cluster& vms, std::size_t vm_count)
{
    const auto count = 3 + drawn.pick(8);
    const bool long_pauses = drawn.has_long_pauses();
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto plan = drawn.draw_sending();
        const auto vm = drawn.pick(vm_count);
        const bool hangs_up = drawn.pick(6) == 0;
        const auto patience = drawn.moment(300ms);
        vms.time.after(drawn.earliest(plan) + drawn.moment(busy_time), [=, &vms] {
            // A sending that lay unread for longer than its key's lifetime would be a new one.
            if (long_pauses && vms.paused(vm)) {
                return;
            }
            const auto sending = vms.send(vm, plan);
            if (hangs_up) {
                vms.time.after(patience, [&vms, sending] { vms.hang_up(sending); });
            }
        });
    }
}

// Runs the schedule of one seed and adds up the words that callers got.
std::vector<std::string> faults_of(std::uint64_t seed, std::map<std::string, unsigned>& words)
{
    schedule drawn(seed);
    const std::size_t vm_count = 2 + drawn.pick(2);
    const auto limits = drawn.draw_limits();
    const auto log_limits = drawn.draw_log_limits();
    cluster vms(seed, vm_count, 2 + drawn.pick(2), limits, log_limits);
    drawn.draw_faults(vms);
    if (std::getenv("AZURESHORE_TRACE") != nullptr) {
        vms.listener = [&vms](const vm_id& vm, const std::string& line) {
            std::clog << to_milliseconds(vms.time.now().time_since_epoch() - 1h) << " ms " << vm
                      << ' ' << line << '\n';
        };
    }
    plan_mishaps(drawn, vms, vm_count);
    plan_sendings(drawn, vms, vm_count);
    try {
        vms.time.run_until(vms.time.now() + drawn.whole_time());
    }
    catch (const std::exception& thrown) {
        vms.judge.faults.emplace_back(thrown.what());
    }
    vms.judge.finish();
    for (const auto& [word, count] : vms.words) {
        words[word] += count;
    }
    return vms.judge.faults;
}

} // namespace

BOOST_AUTO_TEST_SUITE(schedules)

BOOST_AUTO_TEST_CASE(no_schedule_breaks_a_promise)
{
    const auto count = test_support::number_from("AZURESHORE_SCHEDULES", default_schedules);
    const auto first = test_support::number_from("AZURESHORE_SEED", default_first_seed);
    std::map<std::string, unsigned> words;
    unsigned red = 0;
    for (auto seed = first; seed < first + count && red < 5; ++seed) {
        for (const auto& fault : faults_of(seed, words)) {
            BOOST_ERROR("AZURESHORE_SEED=" << seed << " AZURESHORE_SCHEDULES=1: " << fault);
            ++red;
        }
    }
    unsigned total = 0;
    for (const auto& [word, said] : words) {
        BOOST_TEST_MESSAGE(word << ": " << said);
        total += said;
    }
    // A promise is easily kept by answering nobody.
    BOOST_TEST(words["answered"] > total / 4);
}

BOOST_AUTO_TEST_SUITE_END()
