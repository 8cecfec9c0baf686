// BUDGET: a request that crashes servers comes again while gateways are restarted in turn.
#include "harness-3/harness.h"

using namespace review;

namespace {

constexpr int gateway_count = 4;
constexpr int server_count = 8;
constexpr int rolls = 2;
constexpr double roll_gap_s = 5;
constexpr double contact_s = 3;
// How long after its start a gateway gets the request that crashes servers.
constexpr double poison_after_s = 4;
// How long a server is away after a crash, and how long its entry stays: three heartbeats.
constexpr double away_s = 2;
constexpr double entry_s = 4.5;
constexpr int most_retries = 3;

struct arrival {
    double at;
    std::string id;
};

std::mutex lock;
std::vector<arrival> poisoned;
std::map<std::string, int> sent_to;
std::map<int, int> ends;
std::deque<std::pair<double, std::function<void()>>> later;

// When a gateway was last started or told to stop, by its index.
std::array<std::vector<double>, gateway_count> disturbed;

bool in_touch(int gateway_index, double at)
{
    const auto& all = disturbed[static_cast<std::size_t>(gateway_index)];
    return std::none_of(all.begin(), all.end(),
                        [at](double each) { return each <= at && each > at - contact_s; });
}

int judge()
{
    if (poisoned.size() < 3) {
        say(text("%zu servers crashed", poisoned.size()));
        return exit_held;
    }
    const double from = poisoned[2].at + contact_s;
    std::set<std::string> seen;
    int runs = 0;
    int retries = 0;
    for (const auto& each : poisoned) {
        const bool again = !seen.insert(each.id).second;
        if (each.at > from && in_touch(sent_to.at(each.id), each.at)) {
            ++runs;
            retries += again ? 1 : 0;
        }
    }
    say(text("the request crashed %zu servers, the third at %.1f s; later than %.1f s, gateways in "
             "touch sent it to servers %d times, of which %d were second sends of one client "
             "attempt; allowed %d",
             poisoned.size(), poisoned[2].at, from, runs, retries, most_retries));
    return retries > most_retries ? exit_broken : exit_held;
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
        int last_server = 0;
        std::atomic<bool> over{false};
        // Called by one thread at a time.
        std::function<bool()> add_server = [&] {
            auto made = std::make_unique<backend>();
            auto& server = *made;
            server.id = "i-" + std::to_string(++last_server);
            server.service = "shop";
            server.ip = "127.0.2." + std::to_string(last_server);
            server.run = [&](const message& request, backend& self) {
                const auto id = request.field("x-request-id");
                reply made;
                if (request.word(1) != "/shop/poison") {
                    note("run " + id + " by " + self.id);
                    return made;
                }
                made.reset = true;
                made.work_s = 0;
                self.ended = true;
                note("run " + id + " by " + self.id + ", which crashes");
                const std::lock_guard hold(lock);
                poisoned.push_back({now(), id});
                later.push_back({now(), [&self] { self.stop(); }});
                later.push_back({now() + away_s, [&add_server] { add_server(); }});
                later.push_back({now() + entry_s, [&place, &self] {
                                     place.put("keyed.servers", self.id, std::nullopt);
                                 }});
                return made;
            };
            if (!server.start() || !place.enlist(server)) {
                return false;
            }
            servers.push_back(std::move(made));
            return true;
        };
        for (int each = 0; each < server_count; ++each) {
            if (!add_server()) {
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
        std::thread platform([&] {
            while (!over) {
                std::function<void()> due;
                {
                    const std::lock_guard hold(lock);
                    const auto found = std::find_if(later.begin(), later.end(), [](const auto& each) {
                        return each.first <= now();
                    });
                    if (found != later.end()) {
                        due = std::move(found->second);
                        later.erase(found);
                    }
                }
                if (due) {
                    due();
                }
                else {
                    pause_s(0.01);
                }
            }
        });
        pause_s(8);

        const auto send = [&](const std::string& id, const std::string& path, int to) {
            {
                const std::lock_guard hold(lock);
                sent_to[id] = to;
            }
            auto& which = *place.gateways[static_cast<std::size_t>(to)];
            const auto answer =
                ask(which.ip, place.callers_port(),
                    request_text("GET", "shop.example", path, id, 1500), 1.5);
            const int status = answer ? answer->status() : 0;
            note("sent " + id + " to " + which.name + text(", answered %d", status));
            const std::lock_guard hold(lock);
            ++ends[status];
        };
        std::thread others([&] {
            for (int number = 0; !over; ++number) {
                send(text("q%d", number), text("/shop/%d", number), number % gateway_count);
                pause_s(0.1);
            }
        });
        int poison = 0;
        std::vector<std::thread> work;
        for (int each = 0; each < gateway_count; ++each) {
            send(text("p%d", ++poison), "/shop/poison", each);
            pause_s(1);
        }
        pause_s(3);
        const double begin = now();
        for (int step = 0; step < rolls * gateway_count; ++step) {
            wait_until(begin + step * roll_gap_s);
            const int each = step % gateway_count;
            const auto id = text("p%d", ++poison);
            work.emplace_back([&, each, id] {
                auto& which = *place.gateways[static_cast<std::size_t>(each)];
                if (trouble()) {
                    note("SIGTERM to " + which.name);
                    disturbed[static_cast<std::size_t>(each)].push_back(now());
                    which.process.send(SIGTERM);
                    if (!which.process.wait_end(6)) {
                        which.process.send(SIGKILL);
                        which.process.wait_end(2);
                    }
                    note("end of " + which.name);
                    place.start(which, false);
                    disturbed[static_cast<std::size_t>(each)].push_back(now());
                }
                pause_s(poison_after_s);
                send(id, "/shop/poison", each);
            });
        }
        for (auto& each : work) {
            each.join();
        }
        pause_s(1);
        over = true;
        others.join();
        platform.join();
        for (const auto& [status, count] : ends) {
            say(text("answers with %d: %d", status, count));
        }
        return judge();
    });
}
