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
constexpr unsigned threads = 4;
constexpr auto convergence_limit = seconds(90);

std::uint64_t schedule_count()
{
    return test_support::number_from("AZURESHORE_SCHEDULES", default_schedules);
}

// One random schedule and the promises checked on it.
class schedule {
public:
    explicit schedule(std::uint64_t seed) : network(seed), random(seeded_random(~seed)) {}

    // Empty if every promise held.
    std::string run()
    {
        this->network.on_view_change = [this](const vm_id& name, const view_pointer& view) {
            this->check_view(name, *view);
        };
        this->start_all();
        this->network.faults = {uniform(this->random) * 0.05, uniform(this->random) * 0.05,
                                std::chrono::microseconds(300), milliseconds(1 + this->below(60))};
        const auto steps = 3 + this->below(8);
        for (std::size_t i = 0; i < steps; ++i) {
            this->step();
            this->network.run_for(milliseconds(this->below(4000)));
        }
        this->stop_faults();
        this->wait_for_convergence();
        return this->broken.str();
    }

private:
    std::size_t below(std::size_t limit) { return uniform_index(this->random, limit); }
    vm_id any() { return member_network::vm_entry_at(this->below(this->count)).name; }

    void start_all()
    {
        this->count = 3 + this->below(5);
        for (std::size_t i = 0; i < this->count; ++i) {
            this->network.vm_list.push_back(member_network::vm_entry_at(i));
            this->healthy.insert(member_network::vm_entry_at(i).name);
        }
        for (const auto& entry : this->network.vm_list) {
            this->network.start(entry);
        }
        this->network.run_for(milliseconds(this->below(3000)));
    }

    void step()
    {
        const auto name = this->any();
        switch (this->below(7)) {
        case 0:
            this->spoil(name);
            this->network.kill(name);
            break;
        case 1:
            this->spoil(name);
            this->network.pause(name);
            break;
        case 2:
            this->network.resume(name);
            break;
        case 3:
            this->restart(name);
            break;
        case 4:
            this->cut_link(name, this->any());
            break;
        case 5:
            this->network.publish_vm_list(this->lagging_list());
            break;
        default:
            this->leave(name);
            break;
        }
    }

    // From now on nothing is promised about this VM until the faults stop.
    void spoil(const vm_id& name) { this->healthy.erase(name); }

    void restart(const vm_id& name)
    {
        this->spoil(name);
        this->leavers.erase(name);
        this->versions.erase(name);
        for (std::size_t i = 0; i < this->count; ++i) {
            if (member_network::vm_entry_at(i).name == name) {
                this->network.start(member_network::vm_entry_at(i));
            }
        }
    }

    void cut_link(const vm_id& from, const vm_id& to)
    {
        this->spoil(from);
        this->spoil(to);
        this->network.cut_link(from, to);
    }

    void leave(const vm_id& name)
    {
        if (auto* table = this->network.table(name)) {
            table->leave(this->network.now);
            this->leavers.insert(name);
        }
    }

    // Any VM may be missing from the list or be shown as it is not.
    std::vector<platform::vm_entry> lagging_list()
    {
        std::vector<platform::vm_entry> entries;
        for (std::size_t i = 0; i < this->count; ++i) {
            if (this->below(4) != 0) {
                entries.push_back(member_network::vm_entry_at(i));
            }
        }
        return entries;
    }

    void check_view(const vm_id& name, const member_view& view)
    {
        const auto [last, fresh] = this->versions.try_emplace(name, view);
        if (!fresh && view.version > last->second.version) {
            const auto& before = last->second;
            this->check(view.members != before.members || view.listed_dead != before.listed_dead,
                        "a new version without a change");
        }
        last->second = view;
        this->check(has(view, name), "a VM is missing from its own view");
        for (const auto& each : this->healthy) {
            std::size_t missing = 0;
            for (const auto& observer : this->healthy) {
                const auto seen = this->versions.find(observer);
                missing += seen != this->versions.end() && !has(seen->second, each) ? 1 : 0;
            }
            this->check(2 * missing <= this->healthy.size(), "most lost a healthy VM");
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
        this->check(this->converged(), "views differ long after the last fault");
    }

    bool converged()
    {
        std::vector<member> expected;
        for (const auto& name : this->network.running()) {
            const auto place = static_cast<std::size_t>(std::stoul(name.value.substr(3)));
            const auto entry = member_network::vm_entry_at(place);
            const bool leaving = this->leavers.count(name) > 0;
            expected.push_back({name, entry.data_centre, entry.where,
                                leaving ? member_state::leaving : member_state::live});
        }
        const auto running = this->network.running();
        return std::all_of(running.begin(), running.end(), [&](const vm_id& each) {
            return this->network.table(each)->view()->members == expected;
        });
    }

    static bool has(const member_view& view, const vm_id& name)
    {
        return std::any_of(view.members.begin(), view.members.end(),
                           [&](const member& each) { return each.name == name; });
    }

    void check(bool promise, const char* otherwise)
    {
        if (!promise) {
            this->broken << otherwise << "; ";
        }
    }

    member_network network;
    random_source random;
    std::size_t count = 0;
    std::set<vm_id> healthy;
    std::set<vm_id> leavers;
    std::map<vm_id, member_view> versions;
    std::ostringstream broken;
};

// The broken promises of all schedules, by seed.
std::map<std::uint64_t, std::string> run_all(std::uint64_t count)
{
    std::map<std::uint64_t, std::string> failures;
    std::mutex mutex;
    std::vector<std::thread> workers;
    for (unsigned worker = 0; worker < threads; ++worker) {
        workers.emplace_back([&, worker] {
            for (auto seed = first_seed + worker; seed < first_seed + count; seed += threads) {
                const auto broken = schedule(seed).run();
                const std::lock_guard lock(mutex);
                if (!broken.empty()) {
                    failures.emplace(seed, broken);
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

BOOST_AUTO_TEST_CASE(random_schedules_keep_every_promise)
{
    const auto count = schedule_count();
    BOOST_TEST_MESSAGE("schedules " << count << ", seeds from " << first_seed);
    const auto failures = run_all(count);
    for (const auto& [seed, broken] : failures) {
        BOOST_TEST_MESSAGE("seed " << seed << ": " << broken);
    }
    BOOST_TEST(failures.empty());
}

BOOST_AUTO_TEST_SUITE_END()
