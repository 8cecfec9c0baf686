// RECOVER: all processes are killed after a bound in the settings has become a fraction.
#include "harness-3/harness.h"

using namespace review;

namespace {

constexpr int gateway_count = 3;
constexpr int server_count = 4;
constexpr double requests_per_s = 10;
constexpr double calm_s = 8;
constexpr double recovery_s = 15;
constexpr double after_s = 10;
constexpr double restart_delay_s = 0.5;

std::mutex lock;
struct outcome {
    double at;
    int status;
};
std::vector<outcome> outcomes;
std::map<int, int> own_ends;

double share_served(double from, double until, int* sent)
{
    int served = 0;
    *sent = 0;
    for (const auto& each : outcomes) {
        if (each.at >= from && each.at < until) {
            ++*sent;
            served += each.status == 200 ? 1 : 0;
        }
    }
    return *sent == 0 ? 0 : static_cast<double>(served) / *sent;
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
        const service_plan plan{"shop", "shop.example", "/shop/"};
        std::vector<std::unique_ptr<backend>> servers;
        for (int each = 1; each <= server_count; ++each) {
            servers.push_back(std::make_unique<backend>());
            auto& server = *servers.back();
            server.id = "i-" + std::to_string(each);
            server.service = "shop";
            server.ip = "127.0.2." + std::to_string(each);
            server.run = [](const message& request, backend& self) {
                note("run " + request.field("x-request-id") + " by " + self.id);
                return reply{};
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
        pause_s(4);

        const double begin = now();
        const double changed_at = begin + calm_s / 2;
        const double killed_at = begin + calm_s;
        const double back_at = killed_at + restart_delay_s;
        const double end = back_at + recovery_s + after_s;
        std::thread platform([&] {
            wait_until(changed_at);
            if (trouble()) {
                // What the template makes of grace_period_s = 6.5.
                place.stop_within = "6.5000";
            }
            for (const auto& each : place.gateways) {
                place.write_settings(*each, false);
                note("settings of " + each->name + " change, SIGHUP");
                each->process.send(SIGHUP);
            }
            wait_until(killed_at);
            for (const auto& each : place.gateways) {
                note("SIGKILL to " + each->name);
                each->process.send(SIGKILL);
            }
            for (const auto& each : place.gateways) {
                each->process.wait_end(2);
            }
            wait_until(back_at);
            for (const auto& each : place.gateways) {
                place.start(*each, false);
            }
            // A process that ends by itself is started again after a short delay.
            while (now() < end) {
                for (std::size_t each = 0; each < place.gateways.size(); ++each) {
                    auto& which = *place.gateways[each];
                    if (which.process.ended() && now() < end) {
                        note(which.name + text(" has ended by itself, status %d",
                                               WEXITSTATUS(which.process.status)));
                        ++own_ends[static_cast<int>(each)];
                        pause_s(restart_delay_s);
                        place.start(which, false);
                    }
                }
                pause_s(0.05);
            }
        });
        std::vector<std::thread> clients;
        for (int number = 0; begin + number / requests_per_s < end; ++number) {
            wait_until(begin + number / requests_per_s);
            clients.emplace_back([&place, number] {
                const auto id = text("q%d", number);
                auto& to = *place.gateways[static_cast<std::size_t>(number % gateway_count)];
                const double at = now();
                const auto answer = ask(
                    to.ip, place.callers_port(),
                    request_text("GET", "shop.example", "/shop/" + id, id, 1500), 1.5);
                const int status = answer ? answer->status() : 0;
                note("sent " + id + " to " + to.name + text(", answered %d", status));
                const std::lock_guard hold(lock);
                outcomes.push_back({at, status});
            });
        }
        for (auto& each : clients) {
            each.join();
        }
        platform.join();
        int before_sent = 0;
        int after_sent = 0;
        const double before = share_served(begin, killed_at, &before_sent);
        const double after = share_served(back_at + recovery_s, end, &after_sent);
        int ends = 0;
        for (const auto& [which, count] : own_ends) {
            ends += count;
        }
        say(text("served before the kill: %.2f of %d requests; later than %.0f s after the machines "
                 "were back: %.2f of %d; processes that ended by themselves: %d",
                 before, before_sent, recovery_s, after, after_sent, ends));
        if (before < 0.25) {
            return exit_not_run;
        }
        return after < 0.25 ? exit_broken : exit_held;
    });
}
