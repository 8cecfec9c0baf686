// CONFIG: a configuration that comes while both gateways of a deployment are being restarted.
#include "harness-3/harness.h"

using namespace review;

namespace {

constexpr int gateway_count = 2;
constexpr double requests_per_s = 60;
constexpr int deadline_ms = 800;
constexpr double roll_gap_s = 1.0;
// The new configuration is written this long after the first SIGTERM.
constexpr double change_after_s = 1.5;
constexpr double config_apply_s = 2;
constexpr double contact_s = 3;

struct sent_request {
    double at;
    int to;
};

std::mutex lock;
std::map<std::string, sent_request> sent;
std::vector<std::pair<std::string, std::string>> runs;
std::map<int, int> ends;
std::array<std::vector<double>, gateway_count> disturbed;
double acknowledged_at = 0;

bool in_touch(int gateway_index, double at)
{
    const auto& all = disturbed[static_cast<std::size_t>(gateway_index)];
    return std::none_of(all.begin(), all.end(),
                        [at](double each) { return each <= at && each > at - contact_s; });
}

int judge()
{
    int late = 0;
    double latest = 0;
    for (const auto& [id, service] : runs) {
        const auto& request = sent.at(id);
        if (service == "old" && request.at > acknowledged_at + config_apply_s &&
            in_touch(request.to, request.at)) {
            ++late;
            latest = std::max(latest, request.at - acknowledged_at);
            note(id + text(" was sent %.3f s after the acknowledgement to a gateway in touch, and "
                           "run by the old service",
                           request.at - acknowledged_at));
        }
    }
    say(text("requests that gateways in touch let the old service run, though they were sent later "
             "than %.1f s after the acknowledgement: %d, the last one %.1f s after it",
             config_apply_s, late, latest));
    return late > 0 ? exit_broken : exit_held;
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
        service_plan old_plan{"old", "shop.example", "/shop/"};
        service_plan new_plan{"new", "other.example", "/other/"};
        std::vector<std::unique_ptr<backend>> servers;
        for (int each = 1; each <= 6; ++each) {
            servers.push_back(std::make_unique<backend>());
            auto& server = *servers.back();
            server.id = "i-" + std::to_string(each);
            server.service = each <= 3 ? "old" : "new";
            server.ip = "127.0.2." + std::to_string(each);
            server.run = [](const message& request, backend& self) {
                const auto id = request.field("x-request-id");
                note("run " + id + " by " + self.id + " of " + self.service);
                const std::lock_guard hold(lock);
                runs.emplace_back(id, self.service);
                reply made;
                made.work_s = 0.25;
                return made;
            };
            if (!server.start() || !place.enlist(server)) {
                return exit_not_run;
            }
        }
        // The second version moves the route to the other service.
        const auto first_version = configuration(7, {old_plan, new_plan});
        auto second_version = configuration(9, {old_plan, new_plan});
        const std::string before = "\"service\":\"old\"";
        second_version.replace(second_version.find(before), before.size(), "\"service\":\"new\"");
        if (!place.put("keyed.op", "config", first_version)) {
            return exit_not_run;
        }
        place.add_gateways(true);
        if (!place.wait_all_ready(15)) {
            return exit_not_run;
        }
        pause_s(8);

        const double begin = now();
        const double roll_at = begin + 4;
        std::atomic<bool> over{false};
        // The platform's balancer: two refusals in a row take a gateway out, and while fewer than
        // half of a zone's gateways are in rotation, it uses all of them.
        std::array<std::atomic<int>, gateway_count> misses{};
        std::thread balancer([&] {
            while (!over) {
                for (std::size_t each = 0; each < gateway_count; ++each) {
                    misses[each] = place.is_ready(*place.gateways[each]) ? 0 : misses[each] + 1;
                }
                pause_s(1);
            }
        });
        std::vector<std::thread> restarts;
        std::thread operators([&] {
            for (int each = 0; trouble() && each < gateway_count; ++each) {
                wait_until(roll_at + each * roll_gap_s);
                restarts.emplace_back([&, each] {
                    auto& which = *place.gateways[static_cast<std::size_t>(each)];
                    note("SIGTERM to " + which.name);
                    disturbed[static_cast<std::size_t>(each)].push_back(now());
                    which.process.send(SIGTERM);
                    if (!which.process.wait_end(6)) {
                        which.process.send(SIGKILL);
                        which.process.wait_end(2);
                    }
                    note("end of " + which.name);
                    disturbed[static_cast<std::size_t>(each)].push_back(now());
                    place.start(which, false);
                });
            }
            wait_until(roll_at + change_after_s);
            if (place.put("keyed.op", "config", second_version)) {
                acknowledged_at = now();
                note("the store acknowledges the version that moves the route to another service");
            }
        });
        std::vector<std::thread> clients;
        std::mt19937 random(std::random_device{}());
        for (int number = 0; number < 16 * requests_per_s; ++number) {
            wait_until(begin + number / requests_per_s);
            std::vector<int> usable;
            for (int each = 0; each < gateway_count; ++each) {
                if (misses[static_cast<std::size_t>(each)] < 2) {
                    usable.push_back(each);
                }
            }
            if (2 * usable.size() < gateway_count) {
                usable = {0, 1};
            }
            const int to = usable[random() % usable.size()];
            clients.emplace_back([&place, number, to] {
                const auto id = text("q%d", number);
                auto& which = *place.gateways[static_cast<std::size_t>(to)];
                {
                    const std::lock_guard hold(lock);
                    sent[id] = {now(), to};
                }
                const auto answer =
                    ask(which.ip, place.callers_port(),
                        request_text("GET", "shop.example", "/shop/" + id, id, deadline_ms),
                        deadline_ms / 1000.0);
                const int status = answer ? answer->status() : 0;
                note("sent " + id + " to " + which.name + text(", answered %d", status));
                const std::lock_guard hold(lock);
                ++ends[status];
            });
        }
        for (auto& each : clients) {
            each.join();
        }
        operators.join();
        for (auto& each : restarts) {
            each.join();
        }
        over = true;
        balancer.join();
        for (const auto& [status, count] : ends) {
            say(text("answers with %d: %d", status, count));
        }
        if (acknowledged_at == 0) {
            return exit_not_run;
        }
        return judge();
    });
}
