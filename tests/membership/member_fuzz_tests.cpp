#include "support/environment.hpp"
#include "support/member_network.hpp"

#include <boost/test/unit_test.hpp>

#include <mutex>
#include <sstream>
#include <thread>

using namespace azureshore;
using namespace azureshore::membership;
using azureshore::test_support::member_network;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

#ifdef NDEBUG
constexpr std::uint64_t default_schedules = 20000;
#else
constexpr std::uint64_t default_schedules = 1000;
#endif
constexpr std::uint64_t first_seed = 1;
constexpr unsigned thread_count = 4;
constexpr auto convergence_limit = seconds(90);

std::uint64_t schedule_count()
{
    return test_support::number_from("AZURESHORE_SCHEDULES", default_schedules);
}

// Runs one random schedule of faults and checks the invariants of the views.
class schedule {
public:
    explicit schedule(std::uint64_t seed) : network(seed), random(seeded_random(~seed)) {}

    // Returns the violated invariants; empty if all hold.
    std::string run()
    {
        this->network.on_view_change = [this](const vm_id& name, const view_pointer& view) {
            this->check_view(name, *view);
        };
        this->start_all();
        this->network.faults = {uniform(this->random) * 0.05, uniform(this->random) * 0.05,
                                std::chrono::microseconds(300),
                                milliseconds(1 + this->random_below(60))};
        const auto steps = 3 + this->random_below(8);
        for (std::size_t i = 0; i < steps; ++i) {
            this->step();
            this->network.run_for(milliseconds(this->random_below(4000)));
        }
        this->stop_faults();
        this->wait_for_convergence();
        return this->violations.str();
    }

private:
    std::size_t random_below(std::size_t limit) { return uniform_index(this->random, limit); }
    vm_id random_vm() { return member_network::vm_entry_at(this->random_below(this->count)).name; }

    void start_all()
    {
        this->count = 3 + this->random_below(5);
        for (std::size_t i = 0; i < this->count; ++i) {
            this->network.vm_list.push_back(member_network::vm_entry_at(i));
            this->healthy.insert(member_network::vm_entry_at(i).name);
        }
        for (const auto& entry : this->network.vm_list) {
            this->network.start(entry);
        }
        this->network.run_for(milliseconds(this->random_below(3000)));
    }

    void step()
    {
        const auto name = this->random_vm();
        switch (this->random_below(7)) {
        case 0:
            this->mark_faulty(name);
            this->network.kill(name);
            break;
        case 1:
            this->mark_faulty(name);
            this->network.pause(name);
            break;
        case 2:
            this->network.resume(name);
            break;
        case 3:
            this->restart(name);
            break;
        case 4:
            this->cut_link(name, this->random_vm());
            break;
        case 5:
            this->network.publish_vm_list(this->lagging_list());
            break;
        default:
            this->leave(name);
            break;
        }
    }

    // Excludes a VM that a fault affects from the checks of healthy VMs.
    void mark_faulty(const vm_id& name) { this->healthy.erase(name); }

    void restart(const vm_id& name)
    {
        this->mark_faulty(name);
        this->leaving_vms.erase(name);
        this->last_views.erase(name);
        for (std::size_t i = 0; i < this->count; ++i) {
            if (member_network::vm_entry_at(i).name == name) {
                this->network.start(member_network::vm_entry_at(i));
            }
        }
    }

    void cut_link(const vm_id& from, const vm_id& to)
    {
        this->mark_faulty(from);
        this->mark_faulty(to);
        this->network.cut_link(from, to);
    }

    void leave(const vm_id& name)
    {
        if (auto* table = this->network.table(name)) {
            table->leave(this->network.now);
            this->leaving_vms.insert(name);
        }
    }

    // Returns a list from which any VM may be missing, also a running one. It may also contain VMs
    // that do not run.
    std::vector<platform::vm_entry> lagging_list()
    {
        std::vector<platform::vm_entry> entries;
        for (std::size_t i = 0; i < this->count; ++i) {
            if (this->random_below(4) != 0) {
                entries.push_back(member_network::vm_entry_at(i));
            }
        }
        return entries;
    }

    void check_view(const vm_id& name, const member_view& view)
    {
        const auto [last, inserted] = this->last_views.try_emplace(name, view);
        if (!inserted && view.version > last->second.version) {
            const auto& previous = last->second;
            this->check(view.members != previous.members ||
                            view.listed_dead != previous.listed_dead,
                        "the view has a new version but the same content");
        }
        last->second = view;
        this->check(contains(view, name), "a VM is missing from its own view");
        for (const auto& each : this->healthy) {
            std::size_t missing = 0;
            for (const auto& observer : this->healthy) {
                const auto observed = this->last_views.find(observer);
                missing +=
                    observed != this->last_views.end() && !contains(observed->second, each) ? 1 : 0;
            }
            this->check(2 * missing <= this->healthy.size(),
                        "a healthy VM is missing from the views of most healthy VMs");
        }
    }

    void stop_faults()
    {
        this->network.faults = {};
        this->network.heal_links();
        this->network.vm_list.clear();
        for (std::size_t i = 0; i < this->count; ++i) {
            this->network.resume(member_network::vm_entry_at(i).name);
            this->network.vm_list.push_back(member_network::vm_entry_at(i));
        }
        this->network.publish_vm_list(this->network.vm_list);
    }

    void wait_for_convergence()
    {
        const auto end = this->network.now + convergence_limit;
        while (!this->converged() && this->network.now < end) {
            this->network.run_for(seconds(2));
        }
        this->check(this->converged(), "views have not converged after the last fault");
    }

    bool converged()
    {
        std::vector<member> expected;
        for (const auto& name : this->network.running()) {
            const auto index = static_cast<std::size_t>(std::stoul(name.value.substr(3)));
            const auto entry = member_network::vm_entry_at(index);
            const bool leaving = this->leaving_vms.count(name) > 0;
            expected.push_back({name, entry.data_centre, entry.where,
                                leaving ? member_state::leaving : member_state::live});
        }
        const auto running = this->network.running();
        return std::all_of(running.begin(), running.end(), [&](const vm_id& each) {
            return this->network.table(each)->view()->members == expected;
        });
    }

    static bool contains(const member_view& view, const vm_id& name)
    {
        return std::any_of(view.members.begin(), view.members.end(),
                           [&](const member& each) { return each.name == name; });
    }

    void check(bool holds, const char* violation)
    {
        if (!holds) {
            this->violations << violation << "; ";
        }
    }

    member_network network;
    random_source random;
    std::size_t count = 0;
    std::set<vm_id> healthy;
    std::set<vm_id> leaving_vms;
    std::map<vm_id, member_view> last_views;
    std::ostringstream violations;
};

// Runs `count` schedules and returns the violated invariants by seed.
std::map<std::uint64_t, std::string> run_all(std::uint64_t count)
{
    std::map<std::uint64_t, std::string> failures;
    std::mutex mutex;
    std::vector<std::thread> workers;
    for (unsigned worker = 0; worker < thread_count; ++worker) {
        workers.emplace_back([&, worker] {
            for (auto seed = first_seed + worker; seed < first_seed + count; seed += thread_count) {
                const auto violations = schedule(seed).run();
                const std::lock_guard lock(mutex);
                if (!violations.empty()) {
                    failures.emplace(seed, violations);
                }
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    return failures;
}

} // namespace

BOOST_AUTO_TEST_SUITE(member_fuzz)

BOOST_AUTO_TEST_CASE(views_keep_their_invariants_in_random_schedules)
{
    const auto count = schedule_count();
    BOOST_TEST_MESSAGE("schedules " << count << ", seeds from " << first_seed);
    const auto failures = run_all(count);
    for (const auto& [seed, violations] : failures) {
        BOOST_TEST_MESSAGE("seed " << seed << ": " << violations);
    }
    BOOST_TEST(failures.empty());
}

BOOST_AUTO_TEST_SUITE_END()
