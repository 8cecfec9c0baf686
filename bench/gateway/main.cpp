// What a gateway adds: the same requests sent to a backend server directly and through a gateway,
// by turns in one run, and the processor time of the gateway's process.

#include "deployment/caller.hpp"
#include "deployment/local_deployment.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <thread>

using namespace azureshore;
using namespace azureshore::testing;

namespace {

constexpr std::size_t callers = 4;
constexpr std::size_t usual_requests = 4000;
constexpr std::size_t warm_up = 100;
constexpr auto deadline = std::chrono::milliseconds(2000);
constexpr int status_ok = 200;
constexpr double median = 0.5;
constexpr double percentile_99 = 0.99;

struct measured {
    std::vector<double> direct_ms;
    std::vector<double> through_ms;
    std::size_t failed = 0;
};

std::optional<double> timed(caller& self, const address& to, const http1::request& request)
{
    const auto began = std::chrono::steady_clock::now();
    const auto answer = self.ask(to, request, deadline);
    if (!answer || answer->status != status_ok) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - began;
    return took.count();
}

measured call(judge& watch, const address& backend, const address& gateway, std::size_t number,
              std::size_t requests)
{
    measured found;
    caller to_backend;
    caller to_gateway;
    for (std::size_t i = 0; i < requests + warm_up; ++i) {
        for (const bool direct : {true, false}) {
            const auto id = fmt::format("{}-{}-{}", number, i, direct ? "direct" : "through");
            const auto request = make_request(id, "/plates/" + id, true, deadline);
            watch.sent(id, true, request.target);
            const auto took =
                timed(direct ? to_backend : to_gateway, direct ? backend : gateway, request);
            if (!took) {
                ++found.failed;
            }
            else if (i >= warm_up) {
                (direct ? found.direct_ms : found.through_ms).push_back(*took);
            }
        }
    }
    return found;
}

double quantile(std::vector<double>& of, double share)
{
    const auto place =
        of.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(of.size() - 1));
    std::nth_element(of.begin(), place, of.end());
    return *place;
}

void print(measured& all, std::chrono::milliseconds spent)
{
    fmt::print("{:<10} {:>9} {:>9} {:>9}\n", "", "p50 ms", "p99 ms", "requests");
    const auto row = [](const char* name, std::vector<double>& of) {
        fmt::print("{:<10} {:>9.3f} {:>9.3f} {:>9}\n", name, quantile(of, median),
                   quantile(of, percentile_99), of.size());
    };
    row("direct", all.direct_ms);
    row("through", all.through_ms);
    const auto requests = all.through_ms.size() + warm_up * callers;
    const std::chrono::duration<double, std::micro> processor = spent;
    fmt::print("added: {:.3f} ms at p50, {:.3f} ms at p99; {:.0f} us of processor time a request; "
               "{} failed\n",
               quantile(all.through_ms, median) - quantile(all.direct_ms, median),
               quantile(all.through_ms, percentile_99) - quantile(all.direct_ms, percentile_99),
               processor.count() / static_cast<double>(requests), all.failed);
}

} // namespace

int main(int argc, char** argv)
{
    const std::size_t requests = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : usual_requests;
    judge watch;
    deployment_plan plan;
    plan.gateways = 1;
    plan.backends = 1;
    plan.slots = 2 * callers;
    plan.work = std::chrono::milliseconds(2);
    local_deployment place(plan, watch);
    if (!place.wait_until_all_ready()) {
        fmt::print(stderr, "the gateway did not become ready\n");
        return 1;
    }
    const auto& vm = place.gateways.front();
    const auto before = vm.process->processor_time();
    std::vector<measured> parts(callers);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            parts[i] = call(watch, place.backends.front()->direct_address(), vm.callers, i,
                            requests / callers);
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    measured all;
    for (const auto& each : parts) {
        all.direct_ms.insert(all.direct_ms.end(), each.direct_ms.begin(), each.direct_ms.end());
        all.through_ms.insert(all.through_ms.end(), each.through_ms.begin(), each.through_ms.end());
        all.failed += each.failed;
    }
    print(all, vm.process->processor_time() - before);
    return all.failed == 0 && watch.faults().empty() ? 0 : 1;
}
