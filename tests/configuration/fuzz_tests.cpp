#include "azureshore/configuration/fold.hpp"
#include "azureshore/configuration/tree_text.hpp"
#include "support/configuration_cluster.hpp"
#include "support/environment.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <set>
#include <sstream>

using namespace azureshore;
using namespace azureshore::configuration;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::int64_t most_slots = 9;
constexpr std::size_t services = 3;
constexpr duration in_force_limit = seconds(3);

// Instrumented builds run a tenth of the schedules in the same time.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t schedules_by_default = 2'000;
#else
constexpr std::uint64_t schedules_by_default = 20'000;
#endif

wire::setting_path slots_of(std::size_t service)
{
    return {"services", "s" + std::to_string(service), "slots"};
}

using slot_values = std::array<std::int64_t, services>;

// What operators were promised: the changes that were accepted, in order, and nothing else. Knows
// neither trees nor offsets' gaps; judges a change by its author's base and the accepted ones.
class oracle {
public:
    struct accepted {
        std::uint64_t revision = 0;
        std::set<std::size_t> touched;
        slot_values after{};
    };

    struct wish {
        std::string id;
        std::uint64_t base = 0;
        std::map<std::size_t, std::int64_t> slots;
    };

    oracle() { this->list.push_back({1, {0, 1, 2}, {1, 1, 1}}); }

    void judge(std::uint64_t offset, const wish& asked)
    {
        auto after = this->list.back().after;
        bool good = asked.base <= this->list.back().revision;
        good = this->judged.insert(asked.id).second && good;
        accepted made{offset + 1, {}, {}};
        for (const auto& [service, value] : asked.slots) {
            good = good && value >= 1 && value <= most_slots;
            for (const auto& each : this->list) {
                const bool later = each.revision > asked.base && each.touched.contains(service);
                good = good && !(later && after[service] != value);
            }
            made.touched.insert(service);
        }
        for (const auto& [service, value] : asked.slots) {
            after[service] = value;
        }
        if (good) {
            made.after = after;
            this->list.push_back(made);
        }
    }

    std::vector<accepted> list;

private:
    std::set<std::string> judged;
};

// One random schedule against a small cluster.
class schedule {
public:
    explicit schedule(std::uint64_t seed)
        : random(seeded_random(seed)),
          cluster(2 + uniform_index(this->random, 4), this->random(), rules())
    {
        this->append(first_tree());
        this->cluster.clock.run_for(milliseconds(20));
    }

    void run()
    {
        const auto steps = 10 + uniform_index(this->random, 30);
        for (std::size_t i = 0; i < steps; ++i) {
            this->step();
            this->cluster.clock.run_for(milliseconds(uniform_index(this->random, 200)));
            this->check_in_force();
        }
        this->converge(false);
        this->converge(true);
    }

    // Empty while nothing is wrong.
    std::string fault;

private:
    static replica_settings rules()
    {
        replica_settings made;
        // Small, so that schedules reach what large ones reach in days.
        made.kept_records = 6;
        made.max_pending_records = 12;
        made.snapshot_interval = seconds(1);
        made.snapshot_spread = milliseconds(500);
        made.snapshot_records = 8;
        made.append_retry = milliseconds(300);
        return made;
    }

    static std::string first_tree()
    {
        // Limits that the oracle's range of slots stays within.
        const auto settings = *parse_tree("[defaults]\nconnections = 9\n[regions.r]\n"
                                          "[data_centres.d]\nregion = \"r\"\n"
                                          "[services.s0]\nslots = 1\n[services.s1]\nslots = 1\n"
                                          "[services.s2]\nslots = 1\n");
        return wire::encode_record(
            wire::configuration_change{"first", "", {}, 0, difference({}, settings)});
    }

    void fail(const std::string& what)
    {
        if (this->fault.empty()) {
            this->fault = what;
        }
    }

    bool chance(double share) { return uniform(this->random) < share; }

    std::size_t any_vm() { return uniform_index(this->random, this->cluster.vms.size()); }

    // Appends what an operator or a broken writer sends; a refused append leaves no record.
    void append(const std::string& bytes)
    {
        this->cluster.log.append(bytes, [](const auto& /*result*/) {});
    }

    void append_wish(const oracle::wish& asked)
    {
        std::vector<wire::setting_edit> edits;
        for (const auto& [service, value] : asked.slots) {
            edits.push_back({slots_of(service), value});
        }
        if (!this->cluster.log.up) {
            return;
        }
        this->promised.judge(this->cluster.log.records.size(), asked);
        this->append(wire::encode_record(
            wire::configuration_change{asked.id, "", {}, asked.base, std::move(edits)}));
    }

    // A change against a revision that some VM shows, which may be behind, and now and then one
    // against a revision that never was.
    void change()
    {
        oracle::wish asked;
        asked.id = std::to_string(++this->ids);
        asked.base = this->cluster.revision_of(this->any_vm());
        if (this->chance(0.05)) {
            asked.base += 1000;
        }
        const auto keys = 1 + uniform_index(this->random, 2);
        for (std::size_t i = 0; i < keys; ++i) {
            asked.slots[uniform_index(this->random, services)] = static_cast<std::int64_t>(
                uniform_index(this->random, this->chance(0.1) ? 12 : most_slots) + 1);
        }
        this->last = asked;
        this->append_wish(asked);
        if (this->chance(0.2)) {
            this->append_wish(asked);
        }
    }

    void junk()
    {
        auto bytes = wire::encode_record(wire::configuration_snapshot{});
        if (this->chance(0.5)) {
            bytes.at(1) = static_cast<char>(wire::record_format + 1);
        }
        else {
            bytes.resize(uniform_index(this->random, bytes.size()));
        }
        this->append(bytes);
    }

    // Retention passes what the first VM has, which stays up throughout: what no VM has and no
    // log keeps is truly lost.
    void trim()
    {
        auto& log = this->cluster.log;
        const auto most = std::min<std::uint64_t>(this->cluster.vms[0].replica->next_offset(),
                                                  log.records.size());
        if (this->cluster.vms[0].replica->current() && most > log.first) {
            log.first += uniform_index(this->random, most - log.first + 1);
        }
    }

    void restart()
    {
        if (this->cluster.vms.size() > 1) {
            this->cluster.start(1 + uniform_index(this->random, this->cluster.vms.size() - 1));
        }
    }

    void step()
    {
        auto& log = this->cluster.log;
        auto& network = this->cluster.network;
        switch (uniform_index(this->random, 12)) {
        case 0:
            log.set_up(!log.up);
            break;
        case 1:
            log.stale_reads = this->chance(0.5) ? 0 : uniform(this->random);
            break;
        case 2:
            log.lost_acknowledgements = this->chance(0.5) ? 0 : uniform(this->random);
            break;
        case 3:
            network.lost = this->chance(0.5) ? 0 : uniform(this->random) / 2;
            network.doubled = this->chance(0.5) ? 0 : uniform(this->random) / 2;
            network.most_delay = milliseconds(1 + uniform_index(this->random, 500));
            break;
        case 4:
            this->trim();
            break;
        case 5:
            this->restart();
            break;
        case 6: {
            auto& vm = this->cluster.vms[this->any_vm()];
            (this->chance(0.5) ? vm.cut : vm.reads_log) = this->chance(0.5);
            break;
        }
        case 7:
            this->junk();
            break;
        case 8:
            this->append_wish(this->last);
            break;
        default:
            this->change();
        }
    }

    // On every VM, revisions only grow and each is a promised one with the promised values.
    void check_in_force()
    {
        for (auto& vm : this->cluster.vms) {
            std::uint64_t last_revision =
                vm.run == this->checked[&vm].first ? this->checked[&vm].second : 0;
            for (const auto& made : vm.in_force) {
                if (made->revision <= last_revision) {
                    this->fail("a revision came after a later one");
                }
                last_revision = made->revision;
                this->check_values(*made);
            }
            this->checked[&vm] = {vm.run, last_revision};
            vm.in_force.clear();
        }
    }

    void check_values(const effective_configuration& made)
    {
        for (const auto& each : this->promised.list) {
            if (each.revision == made.revision) {
                for (std::size_t i = 0; i < services; ++i) {
                    const auto& config = made.services.at({"s" + std::to_string(i)});
                    if (config->cells.at({"d"}).slots != each.after[i]) {
                        this->fail("a value in force is not the promised one");
                    }
                }
                return;
            }
        }
        this->fail("a revision in force was never accepted");
    }

    // All faults end, but the log may stay down: then VMs have what any of them has.
    void converge(bool log_up)
    {
        auto& log = this->cluster.log;
        this->cluster.network = {};
        log.stale_reads = 0;
        log.lost_acknowledgements = 0;
        log.set_up(log_up);
        std::uint64_t expected = 0;
        for (std::size_t i = 0; i < this->cluster.vms.size(); ++i) {
            this->cluster.vms[i].cut = false;
            this->cluster.vms[i].reads_log = true;
            expected = std::max(expected, this->cluster.revision_of(i));
        }
        if (log_up) {
            expected = this->promised.list.back().revision;
        }
        this->cluster.clock.run_for(in_force_limit);
        this->check_in_force();
        for (std::size_t i = 0; i < this->cluster.vms.size(); ++i) {
            if (this->cluster.revision_of(i) < expected) {
                std::ostringstream what;
                what << "VM " << i << " has " << this->cluster.revision_of(i) << " of " << expected
                     << (log_up ? " with the log up" : " with the log down");
                this->fail(what.str());
            }
        }
        this->check_equal_snapshots();
    }

    void check_equal_snapshots()
    {
        std::map<std::uint64_t, std::string> by_offset;
        for (const auto& vm : this->cluster.vms) {
            const auto bytes = vm.replica->snapshot();
            const auto body = wire::decode_record(bytes);
            const auto next = std::get<wire::configuration_snapshot>(*body).next_offset;
            if (by_offset.emplace(next, bytes).first->second != bytes) {
                this->fail("two VMs have different states at one offset");
            }
        }
    }

    random_source random;
    test::configuration_cluster cluster;
    oracle promised;
    oracle::wish last{"none", 1, {}};
    std::uint64_t ids = 0;
    std::map<const test::configuration_vm*, std::pair<unsigned, std::uint64_t>> checked;
};

} // namespace

BOOST_AUTO_TEST_SUITE(fuzz)

// AZURESHORE_SCHEDULES sets the number of schedules, AZURESHORE_SEED the first seed.
BOOST_AUTO_TEST_CASE(random_schedules_keep_what_operators_were_promised)
{
    const auto schedules = test_support::number_from("AZURESHORE_SCHEDULES", schedules_by_default);
    const auto first_seed = test_support::number_from("AZURESHORE_SEED", 1);
    BOOST_TEST_MESSAGE("seeds " << first_seed << " to " << first_seed + schedules - 1);
    std::size_t shown = 0;
    constexpr std::size_t most_shown = 5;
    for (std::uint64_t i = 0; i < schedules && shown < most_shown; ++i) {
        schedule each(first_seed + i);
        each.run();
        BOOST_TEST(each.fault.empty(),
                   "AZURESHORE_SEED=" << first_seed + i
                                      << " AZURESHORE_SCHEDULES=1: " << each.fault);
        shown += each.fault.empty() ? 0 : 1;
    }
}

BOOST_AUTO_TEST_SUITE_END()
