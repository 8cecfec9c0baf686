// Measures what membership costs and how fast it sees a kill, in virtual time.

#include "azureshore/wire/message.hpp"
#include "azureshore/wire/seal.hpp"
#include "support/member_network.hpp"

#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <string>

namespace {

using namespace azureshore;
using azureshore::test_support::member_network;
using std::chrono::seconds;

constexpr auto warm_up = seconds(30);
constexpr auto steady_span = seconds(60);
constexpr auto kill_span = seconds(30);
constexpr int kills = 5;
constexpr double lossy = 0.01;
constexpr std::uint64_t seed = 1;

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Starts `count` VMs that all read a full list.
std::unique_ptr<member_network> start(std::size_t count)
{
    auto network = std::make_unique<member_network>(seed);
    for (std::size_t i = 0; i < count; ++i) {
        network->vm_list.push_back(member_network::vm_entry_at(i));
    }
    for (const auto& entry : network->vm_list) {
        network->start(entry);
    }
    network->run_for(warm_up);
    return network;
}

struct cost {
    double messages = 0;
    double bytes = 0;
    double processor_share = 0;
};

// Each message is encoded, sealed, opened and decoded, as between processes. The processor time
// includes the simulated network's.
cost steady_cost(member_network& network, std::size_t count)
{
    wire::sealer sealer({"vm-100"}, 1, {});
    wire::opener opener({"vm-101"}, {wire::seal_key{}});
    std::uint64_t bytes = 0;
    network.on_send = [&](const wire::envelope& sent) {
        const auto sealed = sealer.seal({"vm-101"}, wire::encode(sent));
        bytes += sealed.size();
        if (!wire::decode(opener.open(sealed)->bytes).ok()) {
            std::abort();
        }
    };
    network.messages = 0;
    const auto before = processor_seconds();
    network.run_for(steady_span);
    const auto spent = processor_seconds() - before;
    network.on_send = nullptr;
    const auto vm_seconds =
        static_cast<double>(count) * static_cast<double>(seconds(steady_span).count());
    return {static_cast<double>(network.messages) / vm_seconds,
            static_cast<double>(bytes) / vm_seconds, spent / vm_seconds};
}

// How often a live VM left a view while 1% of the messages were lost.
std::uint64_t false_detections(member_network& network, std::size_t count)
{
    std::uint64_t lost = 0;
    network.on_view_change = [&](const vm_id&, const membership::view_pointer& view) {
        lost += view->members.size() < count ? 1 : 0;
    };
    network.faults.loss = lossy;
    network.run_for(steady_span);
    network.faults.loss = 0;
    network.on_view_change = nullptr;
    return lost;
}

// From each kill to each other VM's view without the killed one, sorted.
std::vector<double> detection_seconds(member_network& network, std::size_t count)
{
    std::vector<double> taken;
    for (int i = 0; i < kills; ++i) {
        const auto victim =
            member_network::vm_entry_at(count / 2 + static_cast<std::size_t>(i)).name;
        const auto killed_at = network.now;
        network.on_view_change = [&](const vm_id&, const membership::view_pointer& view) {
            const bool gone =
                std::none_of(view->members.begin(), view->members.end(),
                             [&](const membership::member& each) { return each.name == victim; });
            if (gone) {
                taken.push_back(to_milliseconds(network.now - killed_at) / 1000);
            }
        };
        network.kill(victim);
        network.run_for(kill_span);
    }
    network.on_view_change = nullptr;
    std::sort(taken.begin(), taken.end());
    return taken;
}

void measure(std::size_t count)
{
    auto network = start(count);
    const auto steady = steady_cost(*network, count);
    const auto lost = false_detections(*network, count);
    const auto taken = detection_seconds(*network, count);
    std::size_t expected = 0;
    for (int i = 1; i <= kills; ++i) {
        expected += count - static_cast<std::size_t>(i);
    }
    std::cout << std::fixed << std::setw(7) << count << std::setw(12) << std::setprecision(2)
              << steady.messages << std::setw(10) << std::setprecision(0) << steady.bytes
              << std::setw(14) << std::setprecision(4) << steady.processor_share * 100
              << std::setw(13) << std::setprecision(1) << taken.at(taken.size() / 2)
              << std::setw(10) << taken.back() << std::setw(9) << lost << std::setw(9)
              << taken.size() << '/' << expected << '\n';
}

// The cost of sealing and of opening one heartbeat.
void measure_seal()
{
    constexpr int rounds = 200000;
    wire::sealer sealer({"vm-100"}, 1, {});
    wire::opener opener({"vm-101"}, {wire::seal_key{}});
    const std::string bytes(300, 'x');
    std::vector<std::string> sealed;
    sealed.reserve(rounds);
    const auto start = processor_seconds();
    for (int i = 0; i < rounds; ++i) {
        sealed.push_back(sealer.seal({"vm-101"}, bytes));
    }
    const auto middle = processor_seconds();
    for (const auto& each : sealed) {
        if (!opener.open(each).ok()) {
            std::abort();
        }
    }
    const auto end = processor_seconds();
    const auto microseconds = 1e6 / rounds;
    std::cout << std::setprecision(2) << "seal " << (middle - start) * microseconds << " us, open "
              << (end - middle) * microseconds << " us for 300 bytes, "
              << sealed.front().size() - bytes.size() << " bytes more\n";
}

} // namespace

int main()
{
    std::cout
        << "members  messages/s   bytes/s  processor in %  kill seen s   worst s  false  seen\n";
    for (const std::size_t count : {10, 30, 100, 300, 1000}) {
        measure(count);
    }
    measure_seal();
}
