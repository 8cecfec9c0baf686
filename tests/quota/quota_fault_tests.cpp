#include "quota/quota_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace azureshore;
using namespace std::chrono_literals;
using test::quota_simulation;

namespace {

constexpr std::size_t gateways = 12;
constexpr int seeds = 40;

balance::client_account account(const std::string& name, double rate, double burst)
{
    balance::client_account made;
    made.name = {name};
    made.rate = rate;
    made.burst = burst;
    return made;
}

const std::vector<balance::client_account> accounts{
    account("large", 260, 130), account("middle", 40, 80), account("small", 1, 2)};

// Random faults of one run, with accounts at six times their quota.
class faulty_fleet {
public:
    explicit faulty_fleet(std::uint64_t seed)
        : fleet(gateways, seed, accounts), random(seeded_random(seed + 1000))
    {
        this->fleet.loss = 0.1 * uniform(this->random);
        this->fleet.delayed = 0.1 * uniform(this->random);
        const auto end = this->fleet.clock.now() + 60s;
        for (const auto& each : accounts) {
            this->fleet.load(each.name, 6 * each.rate, end, false);
        }
        for (auto at = this->fleet.clock.now() + 4s; at < end; at += this->up_to(6s)) {
            this->fleet.clock.at(at, [this] { this->fault(); });
        }
        this->fleet.clock.run_until(end + 2s);
    }

    quota_simulation fleet;

private:
    duration up_to(duration longest)
    {
        return std::chrono::duration_cast<duration>(longest * uniform(this->random));
    }

    void fault()
    {
        const auto gateway = uniform_index(this->random, gateways);
        switch (uniform_index(this->random, 5)) {
        case 0:
            this->fleet.kill(gateway);
            this->fleet.clock.after(this->up_to(5s), [=, this] { this->start(gateway); });
            this->update_views(8s);
            break;
        case 1:
            this->fleet.pause(gateway, this->up_to(8s));
            break;
        case 2:
            this->differ(gateway);
            break;
        case 3:
            this->restart_all();
            break;
        default:
            this->cut();
            break;
        }
    }

    // A gateway that starts while links are cut finds out soon.
    void start(std::size_t gateway)
    {
        this->fleet.start(gateway);
        this->started_at[gateway] = this->fleet.clock.now();
        this->fleet.clock.after(1500ms, [=, this] {
            if (this->is_cut) {
                this->set_contact(gateway, this->share_of(gateway));
            }
        });
    }

    [[nodiscard]] double share_of(std::size_t gateway) const
    {
        const auto& groups = this->fleet.group;
        return static_cast<double>(std::count(groups.begin(), groups.end(), groups[gateway])) /
               static_cast<double>(gateways);
    }

    // For less than the time that new owners wait, a gateway takes half of the others for gone.
    void differ(std::size_t gateway)
    {
        std::set<std::size_t> view{gateway};
        for (std::size_t i = 0; i < gateways; ++i) {
            if (uniform(this->random) < 0.5) {
                view.insert(i);
            }
        }
        this->set_view(gateway, view);
        this->update_views(4500ms);
    }

    void restart_all()
    {
        for (std::size_t i = 0; i < gateways; ++i) {
            this->fleet.kill(i);
            this->fleet.clock.after(1300ms + this->up_to(1s), [=, this] { this->start(i); });
        }
    }

    // Gateways are cut apart. Each notices the loss of contact within four seconds and takes the
    // others for gone later; after the end, the views are whole again before the contact rises.
    void cut()
    {
        if (this->is_cut) {
            return;
        }
        this->is_cut = true;
        const auto size = 1 + uniform_index(this->random, gateways - 1);
        for (std::size_t i = 0; i < gateways; ++i) {
            this->fleet.group[i] = i < size ? 1 : 0;
        }
        for (std::size_t i = 0; i < gateways; ++i) {
            this->fleet.clock.after(
                4s, [=, share = this->share_of(i), this] { this->set_contact(i, share); });
            std::set<std::size_t> view;
            for (std::size_t other = 0; other < gateways; ++other) {
                if (this->fleet.group[other] == this->fleet.group[i]) {
                    view.insert(other);
                }
            }
            this->fleet.clock.after(4s + this->up_to(3s), [=, this] { this->set_view(i, view); });
        }
        const auto end = 8s + this->up_to(10s);
        this->fleet.clock.after(end, [this] {
            std::fill(this->fleet.group.begin(), this->fleet.group.end(), 0);
            this->update_views(3s);
        });
        this->fleet.clock.after(end + 3s, [this] {
            this->is_cut = false;
            for (std::size_t i = 0; i < gateways; ++i) {
                this->set_contact(i, 1);
            }
        });
    }

    // All gateways get the whole view after random times.
    void update_views(duration longest)
    {
        std::set<std::size_t> all;
        for (std::size_t i = 0; i < gateways; ++i) {
            all.insert(i);
        }
        for (std::size_t i = 0; i < gateways; ++i) {
            this->fleet.clock.after(this->up_to(longest), [=, this] {
                if (this->fleet.group == std::vector<int>(gateways)) {
                    this->set_view(i, all);
                }
            });
        }
    }

    // The gateways that start together are assumed to agree after their first second.
    void set_view(std::size_t gateway, const std::set<std::size_t>& view)
    {
        const auto now = this->fleet.clock.now();
        if (this->fleet.is_alive(gateway) && now >= this->started_at[gateway] + 1s) {
            this->fleet.set_view(gateway, view);
        }
    }

    void set_contact(std::size_t gateway, double share)
    {
        if (this->fleet.is_alive(gateway)) {
            this->fleet.set_contact(gateway, share);
        }
    }

    random_source random;
    std::map<std::size_t, time_point> started_at;
    bool is_cut = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(quota_with_faults)

// Guards against faults, alone or together, by which an account gets more than the bound in any
// window: lost and late datagrams, killed, paused and cut-off gateways, differing views of who owns
// a quota, and a restart of all gateways.
BOOST_AUTO_TEST_CASE(the_bound_holds_in_every_window)
{
    double worst = 0;
    for (int seed = 0; seed < seeds; ++seed) {
        const faulty_fleet run(static_cast<std::uint64_t>(seed));
        for (const auto& each : accounts) {
            BOOST_TEST_CONTEXT("seed " << seed << ", account " << each.name)
            {
                const auto most = run.fleet.worst_window(each.name);
                worst = std::max(worst, most);
                BOOST_TEST(most <= 1);
                BOOST_TEST(run.fleet.decided.at(each.name).granted > 0);
            }
        }
    }
    BOOST_TEST_MESSAGE("most sends in a window: " << worst << " of the bound");
}

// Guards against requests that wait longer than the promised 300 ms, when an owner is dead.
BOOST_AUTO_TEST_CASE(requests_are_decided_in_time_without_owners)
{
    quota_simulation fleet(gateways, 7, {account("large", 260, 130)});
    fleet.clock.run_for(3s);
    for (std::size_t i = 1; i < gateways; ++i) {
        fleet.kill(i);
    }
    const auto end = fleet.clock.now() + 5s;
    fleet.load({"large"}, 100, end, false);
    fleet.clock.run_until(end + 1s);
    BOOST_TEST((fleet.decided[{"large"}].longest_wait <= 300ms));
}

BOOST_AUTO_TEST_SUITE_END()
