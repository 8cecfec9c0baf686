// Runs random schedules of requests, lost, duplicated and late messages, pauses, killed VMs,
// restarts and wrong member views, and checks the invariants of permits with an oracle that counts
// the requests on each backend server.

#include "support/environment.hpp"
#include "support/routing_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <mutex>
#include <thread>

using namespace azureshore;
using namespace azureshore::fakes;

namespace {

constexpr double probes_per_second = 20;
constexpr double bucket_size = 2;

class schedule {
public:
    explicit schedule(std::uint64_t seed) : random(seeded_random(seed)), service(make_setup()) {}

    // Runs the schedule and returns the violated invariant, or an empty text.
    std::string run()
    {
        this->inject_network_faults();
        for (auto& each : this->service.backends) {
            if (this->chance(0.5)) {
                each->start_cold();
            }
        }
        this->service.publish();
        const auto steps = 20 + this->random_below(60);
        for (std::size_t i = 0; i < steps; ++i) {
            this->service.clock.run_for(microseconds(this->random_below(40000)));
            this->step();
        }
        this->service.clock.run_for(seconds(1));
        this->restore_network();
        this->service.clock.run_for(seconds(2));
        return this->violated_invariant();
    }

private:
    cluster_setup make_setup()
    {
        cluster_setup setup;
        setup.seed = this->random();
        setup.vms = 1 + static_cast<unsigned>(this->random_below(5));
        setup.backends = 1 + static_cast<unsigned>(this->random_below(3));
        setup.traits.slots = 1 + static_cast<unsigned>(this->random_below(3));
        setup.traits.cold_concurrency_limit =
            1 + static_cast<unsigned>(this->random_below(setup.traits.slots));
        setup.traits.cold_time = milliseconds(200 + this->random_below(2000));
        setup.traits.restart_time = milliseconds(this->random_below(100));
        setup.limits.slots = setup.traits.slots;
        setup.limits.cold_window = setup.traits.cold_concurrency_limit;
        setup.limits.deadline = milliseconds(800);
        setup.limits.probes_per_second = probes_per_second;
        return setup;
    }

    void step()
    {
        const auto vm = static_cast<int>(this->random_below(this->service.setup.vms));
        const auto backend = this->random_below(this->service.backends.size());
        switch (this->random_below(24)) {
        case 0:
            this->service.pause_vm(vm, milliseconds(this->random_below(500)));
            break;
        case 1:
            if (this->service.dead.size() + 1 < this->service.setup.vms) {
                this->service.kill_vm(vm);
            }
            break;
        case 2:
            this->service.publish();
            break;
        case 3:
            this->service.backends[backend]->crash();
            break;
        case 4:
            this->send_incomplete_members(vm);
            break;
        case 5:
            this->service.leaving_backends = {backend};
            this->service.publish();
            this->service.leaving_backends.clear();
            break;
        default:
            for (std::size_t i = 0; i <= this->random_below(4); ++i) {
                this->start_request();
            }
        }
    }

    void start_request()
    {
        const auto vm = static_cast<int>(this->random_below(this->service.setup.vms));
        if (!this->service.dead.contains(vm)) {
            this->service.begin(
                vm, "caller-" + std::to_string(this->random_below(3)),
                microseconds(1000 + this->random_below(this->chance(0.1) ? 600000 : 20000)),
                milliseconds(20 + this->random_below(780)));
        }
    }

    // Sends one VM a member view that lacks another VM. All wrong views of a schedule lack the same
    // VM: a leader's quorum does not protect against views that together lack a third of the VMs.
    void send_incomplete_members(int vm)
    {
        auto view = this->service.members();
        if (view.members.size() >= 4) {
            std::erase_if(view.members, [this](const membership::member& each) {
                return each.name == this->omitted_vm;
            });
        }
        this->service.send_members(vm, std::make_shared<membership::member_view>(view));
    }

    void inject_network_faults()
    {
        const double lost = this->chance(0.5) ? 0 : 0.2 * uniform(this->random);
        const double duplicated = this->chance(0.5) ? 0 : 0.2 * uniform(this->random);
        const double late = this->chance(0.5) ? 0 : 0.3 * uniform(this->random);
        this->service.link = [this, lost, duplicated, late](int, int, const wire::message&) {
            std::vector<duration> arrivals;
            for (int copies = this->chance(duplicated) ? 2 : 1; copies > 0; --copies) {
                if (!this->chance(lost)) {
                    const auto longest = this->chance(late) ? 1200000 : 1000;
                    arrivals.push_back(microseconds(200 + this->random_below(longest)));
                }
            }
            return arrivals;
        };
    }

    void restore_network()
    {
        this->service.link = [this](int, int, const wire::message&) {
            return std::vector<duration>{this->service.setup.network_delay};
        };
    }

    [[nodiscard]] std::string violated_invariant()
    {
        const auto& counts = this->service.counts;
        for (const auto& each : this->service.backends) {
            // Until its first crash it is cold only from its first start, which every leader knows
            // of.
            const auto max_load =
                each->crashes == 0 ? each->max_load_after_cold_start : each->max_load_known_cold;
            if (max_load > each->traits.cold_concurrency_limit) {
                return "a cold backend server was overloaded: " + std::to_string(max_load) +
                       " where it bears " + std::to_string(each->traits.cold_concurrency_limit) +
                       " of " + std::to_string(each->traits.slots) + ", crashes " +
                       std::to_string(each->crashes);
            }
        }
        if (this->service.unfinished() != 0) {
            return "a request on a live VM never ended";
        }
        for (int vm = 0; vm < static_cast<int>(this->service.setup.vms); ++vm) {
            for (const auto& row : this->service.status_of(vm)) {
                if (row.running != 0 && !this->service.dead.contains(vm)) {
                    return "a permit was not returned";
                }
            }
        }
        for (std::size_t first = 0; first < counts.probes.size(); ++first) {
            for (auto last = first; last < counts.probes.size(); ++last) {
                const std::chrono::duration<double> span =
                    counts.probes[last] - counts.probes[first];
                const auto sent = static_cast<double>(last - first + 1);
                if (sent > probes_per_second * span.count() + bucket_size) {
                    return "more probes than the token bucket allows";
                }
            }
        }
        return {};
    }

    std::size_t random_below(std::size_t count) { return uniform_index(this->random, count); }
    bool chance(double share) { return uniform(this->random) < share; }

    random_source random;
    vm_id omitted_vm = cluster::vm_name(static_cast<int>(uniform_index(random, 4)));
    cluster service;
};

} // namespace

BOOST_AUTO_TEST_SUITE(permit_schedules)

BOOST_AUTO_TEST_CASE(no_schedule_violates_the_invariants_of_permits)
{
#ifdef __SANITIZE_ADDRESS__
    constexpr std::uint64_t default_schedules = 1000;
#else
    constexpr std::uint64_t default_schedules = 20000;
#endif
    constexpr unsigned threads = 4;
    const auto schedules = test_support::number_from("AZURESHORE_SCHEDULES", default_schedules);
    const auto first = test_support::number_from("AZURESHORE_SEED", 1);
    std::atomic<std::uint64_t> next{first};
    std::mutex lock;
    std::vector<std::string> violations;
    const auto work = [&] {
        for (auto seed = next++; seed < first + schedules; seed = next++) {
            const auto violation = schedule(seed).run();
            if (!violation.empty()) {
                const std::lock_guard guard(lock);
                violations.push_back("seed " + std::to_string(seed) + ": " + violation);
            }
        }
    };
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < threads; ++i) {
        workers.emplace_back(work);
    }
    for (auto& each : workers) {
        each.join();
    }
    BOOST_TEST_MESSAGE(schedules << " schedules from AZURESHORE_SEED=" << first);
    for (const auto& each : violations) {
        BOOST_ERROR(each);
    }
    BOOST_TEST(violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
