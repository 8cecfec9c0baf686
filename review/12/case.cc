// REFUSED: servers that run requests and then fail them with 503.
#include "harness-3/harness.h"

using namespace review;

namespace {

constexpr int gateway_count = 2;
constexpr int server_count = 4;
constexpr double failing_share = 0.4;
constexpr int request_count = 100;
constexpr double requests_per_s = 10;

std::mutex lock;
std::map<std::string, int> runs;
std::map<std::string, int> answered;

int judge()
{
    int broken = 0;
    int twice = 0;
    std::map<int, int> ends;
    for (const auto& [id, status] : answered) {
        ++ends[status];
        const bool promise = status == 429 || status == 503 || status == 408 || status == 421;
        if (promise && runs.contains(id)) {
            ++broken;
            note(id + text(" was answered %d and has run", status));
        }
    }
    for (const auto& [id, count] : runs) {
        twice += count > 1 ? 1 : 0;
    }
    for (const auto& [status, count] : ends) {
        say(text("answers with %d: %d", status, count));
    }
    say(text("requests that are not idempotent: %zu; run: %zu; run twice: %d; answered with a promise "
             "not to have run though they had: %d",
             answered.size(), runs.size(), twice, broken));
    return broken > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int, char** arguments)
{
    return run_case(arguments[1], [] {
        deployment_options options;
        options.gateways = gateway_count;
        deployment place(options);
        if (place.base_port == 0 || !place.start_store()) {
            return exit_not_run;
        }
        service_plan plan{"orders", "orders.example", "/orders/"};
        plan.safe = false;
        std::vector<std::unique_ptr<backend>> servers;
        std::mt19937 random(std::random_device{}());
        for (int each = 1; each <= server_count; ++each) {
            servers.push_back(std::make_unique<backend>());
            auto& server = *servers.back();
            server.id = "i-" + std::to_string(each);
            server.service = "orders";
            server.ip = "127.0.2." + std::to_string(each);
            server.run = [&random](const message& request, backend& self) {
                const auto id = request.field("x-request-id");
                const std::lock_guard hold(lock);
                ++runs[id];
                reply made;
                const bool fails =
                    trouble() && std::uniform_real_distribution<>(0, 1)(random) < failing_share;
                made.status = fails ? 503 : 200;
                note("run " + id + " by " + self.id + text(", ends with %d", made.status));
                return made;
            };
            if (!server.start() || !place.enlist(server)) {
                return exit_not_run;
            }
        }
        if (!place.put("keyed.op", "config", configuration(7, {plan}))) {
            return exit_not_run;
        }
        place.add_gateways(true);
        if (!place.wait_all_ready(15)) {
            return exit_not_run;
        }
        pause_s(2);
        const double begin = now();
        std::vector<std::thread> clients;
        for (int number = 0; number < request_count; ++number) {
            wait_until(begin + number / requests_per_s);
            clients.emplace_back([&place, number] {
                const auto id = text("q%d", number);
                auto& to = *place.gateways[static_cast<std::size_t>(number % gateway_count)];
                const auto answer =
                    ask(to.ip, place.callers_port(),
                        request_text("POST", "orders.example", "/orders/" + id, id, 1500, "order"),
                        2);
                const int status = answer ? answer->status() : 0;
                note("sent " + id + " to " + to.name + text(", answered %d", status));
                const std::lock_guard hold(lock);
                answered[id] = status;
            });
        }
        for (auto& each : clients) {
            each.join();
        }
        return judge();
    });
}
