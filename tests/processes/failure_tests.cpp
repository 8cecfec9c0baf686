#include "processes/http_calls.hpp"
#include "processes/whole_path.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <map>

using namespace azureshore;
using namespace azureshore::testing;
using nlohmann::json;

namespace {

path_plan two_services()
{
    path_plan plan;
    plan.services = {{"catalogue", 3}, {"foundry", 3}};
    plan.tree = R"([regions.cairo]
[data_centres.khan-el-khalili]
region = "cairo"
[data_centres.shubra]
region = "cairo"
[data_centres.maadi]
region = "cairo"
[services.catalogue]
[services.foundry]
require_key = true
deadline_ms = 5000
)";
    return plan;
}

json runs_of(const backend_vm& backend)
{
    return json::parse(get(backend.where, "/standin/runs").body);
}

// What all backend servers ran, added up by key.
struct run_count {
    std::uint64_t runs = 0;
    std::uint64_t most_by_key = 0;
    std::uint64_t most_cold = 0;
};

run_count count_runs(const whole_path& path, const std::string& service)
{
    run_count sum;
    std::map<std::string, std::uint64_t> by_key;
    for (const auto& backend : path.backends) {
        if (backend.service != service) {
            continue;
        }
        const auto told = runs_of(backend);
        sum.runs += told.at("runs").get<std::uint64_t>();
        sum.most_cold = std::max(sum.most_cold, told.at("most_at_once_cold").get<std::uint64_t>());
        for (const auto& [key, count] : told.at("by_key").items()) {
            by_key[key] += count.get<std::uint64_t>();
            sum.most_by_key = std::max(sum.most_by_key, by_key[key]);
        }
    }
    return sum;
}

child_process start_load(const address& target, const std::string& path, double orders, int seed)
{
    return child_process("tools/load/azureshore-load",
                         {"--target", to_string(target), "--path", path, "--rate", "60",
                          "--seconds", "2", "--orders", std::to_string(orders), "--seed",
                          std::to_string(seed)});
}

json end_load(child_process& load)
{
    auto told = json::parse(load.read_rest());
    load.wait();
    return told;
}

std::uint64_t answered(const json& load)
{
    return load.at("statuses").value("200", std::uint64_t{0});
}

net::http_result order(const entry_vm& entry, const std::string& key)
{
    return send("POST", entry.callers, "/foundry/orders", "one plate", {{"Idempotency-Key", key}});
}

// Waits until each VM has read the log's history and takes orders.
void wait_for_orders(const whole_path& path)
{
    for (const auto& entry : path.entries) {
        BOOST_REQUIRE(
            eventually([&] { return order(entry, "first-" + entry.name).status == 200; }));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(failures_as_processes)

BOOST_AUTO_TEST_CASE(a_planned_stop_under_load_cuts_off_nothing)
{
    whole_path path(two_services());
    auto& stopping = path.entries.front();
    wait_for_orders(path);
    auto load = start_load(stopping.callers, "/foundry/orders", 1, 1);
    BOOST_REQUIRE(eventually([&] { return count_runs(path, "foundry").runs > 10; }));
    stopping.process.signal(SIGTERM);
    BOOST_TEST(stopping.process.wait() == 0);
    const auto told = end_load(load);
    const auto ran = count_runs(path, "foundry");
    BOOST_TEST_MESSAGE(told.dump());
    // One order of each VM came before the load.
    BOOST_TEST(ran.runs == answered(told) + path.entries.size());
    BOOST_TEST(ran.most_by_key == 1);
}

BOOST_AUTO_TEST_CASE(a_second_signal_ends_at_once_with_status_1)
{
    whole_path path(two_services());
    auto& stopping = path.entries.front();
    stopping.process.signal(SIGTERM);
    BOOST_REQUIRE(eventually([&] { return get(stopping.admin, "/readyz").status == 503; }));
    stopping.process.signal(SIGTERM);
    BOOST_TEST(stopping.process.wait() == 1);
}

BOOST_AUTO_TEST_CASE(orders_go_on_and_run_once_when_a_vm_is_killed)
{
    whole_path path(two_services());
    wait_for_orders(path);
    auto load = start_load(path.entries[0].callers, "/foundry/orders", 1, 2);
    BOOST_REQUIRE(eventually([&] { return count_runs(path, "foundry").runs > 10; }));
    path.entries[1].process.signal(SIGKILL);
    const auto told = end_load(load);
    const auto ran = count_runs(path, "foundry");
    BOOST_TEST_MESSAGE(told.dump());
    BOOST_TEST(answered(told) == told.at("sent").get<std::uint64_t>());
    BOOST_TEST(ran.most_by_key == 1);
    BOOST_TEST(ran.most_cold <= 1);
}

BOOST_AUTO_TEST_CASE(a_vm_paused_past_every_lease_and_back_does_no_harm)
{
    whole_path path(two_services());
    wait_for_orders(path);
    for (std::size_t paused = 1; paused < path.entries.size(); ++paused) {
        const auto seed = static_cast<int>(paused) * 10;
        path.entries[paused].process.signal(SIGSTOP);
        auto during = start_load(path.entries[0].callers, "/foundry/orders", 1, seed);
        const auto told = end_load(during);
        path.entries[paused].process.signal(SIGCONT);
        auto after = start_load(path.entries[paused].callers, "/foundry/orders", 1, seed + 1);
        const auto told_after = end_load(after);
        BOOST_TEST_MESSAGE(told.dump());
        BOOST_TEST(answered(told) == told.at("sent").get<std::uint64_t>());
        BOOST_TEST(answered(told_after) == told_after.at("sent").get<std::uint64_t>());
    }
    const auto ran = count_runs(path, "foundry");
    BOOST_TEST(ran.most_by_key == 1);
    BOOST_TEST(ran.most_cold <= 1);
}

BOOST_AUTO_TEST_CASE(while_the_log_is_down_orders_are_refused_and_lookups_go_on)
{
    whole_path path(two_services());
    const auto& entry = path.entries.front();
    BOOST_REQUIRE(eventually([&] { return order(entry, "before").status == 200; }));
    send("POST", path.log, "/standin/faults?outage=1", "");
    const auto refused = order(entry, "during");
    BOOST_TEST(refused.status == 503);
    // The VM can't tell whether an earlier sending of this key ran.
    BOOST_TEST(refused.header("Azureshore-Run") == "unknown");
    BOOST_TEST(get(entry.callers, "/catalogue/plates/1").status == 200);
    send("POST", path.log, "/standin/faults?outage=0", "");
    BOOST_TEST(eventually([&] { return order(entry, "during").status == 200; }));
    BOOST_TEST(count_runs(path, "foundry").most_by_key == 1);
}

BOOST_AUTO_TEST_CASE(a_data_centre_out_of_service_gets_no_new_work_until_it_is_back)
{
    whole_path path(two_services());
    auto load = start_load(path.entries[0].callers, "/catalogue/plates", 0, 3);
    const auto out = path.control({"data-centre", "out", "maadi"});
    BOOST_TEST(out.status == 0, out.output);
    const auto& away = path.backends[2];
    BOOST_REQUIRE(away.data_centre == "maadi");
    const auto told = end_load(load);
    const auto before = runs_of(away).at("runs").get<std::uint64_t>();
    auto second = start_load(path.entries[1].callers, "/catalogue/plates", 0, 4);
    const auto told_second = end_load(second);
    BOOST_TEST(answered(told) == told.at("sent").get<std::uint64_t>());
    BOOST_TEST(answered(told_second) == told_second.at("sent").get<std::uint64_t>());
    BOOST_TEST(runs_of(away).at("runs").get<std::uint64_t>() == before);
    const auto in = path.control({"data-centre", "in", "maadi"});
    BOOST_TEST(in.status == 0, in.output);
    BOOST_TEST(eventually([&] {
        get(path.entries[0].callers, "/catalogue/plates/1");
        return runs_of(away).at("runs").get<std::uint64_t>() > before;
    }));
}

BOOST_AUTO_TEST_CASE(of_two_operators_who_race_for_one_key_one_is_refused)
{
    whole_path path(two_services());
    const auto first = path.control({"data-centre", "out", "maadi", "--base", "1"});
    const auto second =
        path.control({"data-centre", "out", "maadi", "--base", "1", "--author", "other"});
    BOOST_TEST(first.status == 0, first.output);
    BOOST_TEST_MESSAGE(second.output);
    BOOST_TEST((second.status == 0 || second.status == 3));
    const auto third = path.control({"data-centre", "in", "maadi", "--base", "1"});
    BOOST_TEST(third.status == 3, third.output);
}

BOOST_AUTO_TEST_SUITE_END()
