// One gateway of three, the one that reads the store for all, is partitioned from the store for
// some seconds. Soon after the path is back, a backend server that never reports draining leaves:
// its entry is removed, and it serves on for a moment.
#include "harness.h"

using namespace review;

namespace {

constexpr int rounds = 3;
constexpr double cut_s = 5.5;
constexpr double removed_after_s = 0.7;
constexpr double contact_s = 3;
constexpr double drain_timeout_s = 2;
// The backend server serves for drain_timeout_ms and a little longer, and then ends.
constexpr double serves_on_s = 3.0;

// Forwards connections to the store. While cut, it resets them.
class store_link {
public:
    store_link(place to, const std::string& host) : target(std::move(to))
    {
        this->at = {host, 0};
        this->listener = listen_at(this->at);
        if (this->listener < 0) {
            cannot_run("the link to the store can't listen");
        }
        this->moving = std::thread([this] { this->move(); });
    }

    ~store_link()
    {
        this->over = true;
        this->moving.join();
        close(this->listener);
        for (const auto& [from, to] : this->pairs) {
            close(from);
        }
    }

    place at;
    std::atomic<bool> is_cut = false;
    // How often bytes went either way.
    std::atomic<long> passed = 0;

private:
    void move()
    {
        while (!this->over) {
            if (this->is_cut) {
                this->refuse();
                continue;
            }
            std::vector<pollfd> all{{this->listener, POLLIN, 0}};
            for (const auto& [from, to] : this->pairs) {
                all.push_back({from, POLLIN, 0});
            }
            poll(all.data(), all.size(), 5);
            if (this->is_cut) {
                continue;
            }
            if ((all[0].revents & POLLIN) != 0) {
                this->accept_one();
            }
            for (std::size_t i = 1; i < all.size(); ++i) {
                if (all[i].revents != 0 && this->pairs.contains(all[i].fd)) {
                    this->forward(all[i].fd);
                }
            }
        }
    }

    // Resets all connections and those that come.
    void refuse()
    {
        for (const auto& [from, to] : std::exchange(this->pairs, {})) {
            shut(from, true);
        }
        pollfd one{this->listener, POLLIN, 0};
        if (poll(&one, 1, 2) == 1) {
            shut(accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC), true);
        }
    }

    void accept_one()
    {
        const int from = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        const int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto where = socket_address(this->target);
        if (from < 0 || connect(to, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
            close(from);
            close(to);
            return;
        }
        this->pairs[from] = to;
        this->pairs[to] = from;
    }

    void forward(int from)
    {
        char bytes[65536];
        const int to = this->pairs[from];
        const auto got = recv(from, bytes, sizeof bytes, 0);
        ++this->passed;
        if (got > 0 && send(to, bytes, static_cast<std::size_t>(got), MSG_NOSIGNAL) == got) {
            return;
        }
        this->pairs.erase(from);
        this->pairs.erase(to);
        close(from);
        close(to);
    }

    place target;
    int listener = -1;
    std::map<int, int> pairs;
    std::atomic<bool> over = false;
    std::thread moving;
};

} // namespace

int main(int count, char** words)
{
    record.open(count > 1 ? words[1] : "record.txt");
    store platform(host_number(1));
    platform.put("keyed.op", "config",
                 configuration(1, {{"/orders/", "foundry", "unsafe", 2000, 800, 2}}, {"foundry"}));
    std::vector<std::unique_ptr<backend>> servers;
    const auto add_server = [&](int number) {
        servers.push_back(std::make_unique<backend>(
            platform, backend_settings{"foundry", number % 2 == 0 ? "maadi" : "shubra",
                                       host_number(100 + number), 4, 4, 290, "", 0}));
    };
    for (int i = 0; i < 6; ++i) {
        add_server(i);
    }
    auto gateways = make_gateways(3, {"maadi", "shubra", "khan-el-khalili"}, platform.at);
    std::vector<std::unique_ptr<store_link>> paths;
    for (auto& each : gateways) {
        paths.push_back(std::make_unique<store_link>(
            platform.at, host_number(2 + static_cast<int>(paths.size()))));
        each->store_at = paths.back()->at;
        each->start(true);
    }
    for (auto& each : gateways) {
        each->await_ready();
    }
    sleep_ms(3000);
    for (auto& each : paths) {
        each->passed = 0;
    }
    sleep_ms(3000);
    std::size_t reader = 0;
    for (std::size_t i = 0; i < paths.size(); ++i) {
        record.line("path     %s: %ld", gateways[i]->name.c_str(), paths[i]->passed.load());
        reader = paths[i]->passed > paths[reader]->passed ? i : reader;
    }
    auto& one = *gateways[reader];
    auto& path = *paths[reader];

    std::mutex lock;
    std::vector<attempt> attempts;
    std::atomic<bool> over = false;
    std::vector<std::thread> callers;
    for (int i = 0; i < 20; ++i) {
        callers.emplace_back([&, i] {
            std::mt19937 random(static_cast<unsigned>(i + 1));
            stream on;
            while (!over) {
                if ((!on.open() || on.stale()) && !on.connect_to(one.callers, 1)) {
                    sleep_ms(50);
                    continue;
                }
                const auto made =
                    ask_on(on, one.name, "POST", "/orders/" + std::to_string(i), 2000);
                {
                    const std::lock_guard hold(lock);
                    attempts.push_back(made);
                }
                sleep_ms(static_cast<int>(random() % 200));
            }
        });
    }
    struct left {
        std::string id;
        double healed = 0;
        double acknowledged = 0;
    };
    std::vector<left> gone;
    for (int round = 0; round < rounds; ++round) {
        sleep_ms(2000);
        if (trouble()) {
            record.line("cut      %s from the store", one.name.c_str());
            path.is_cut = true;
        }
        sleep_ms(static_cast<int>(cut_s * 1000));
        path.is_cut = false;
        left now{servers.front()->id, now_s(), 0};
        record.line("healed   %s", one.name.c_str());
        sleep_until_s(now.healed + removed_after_s);
        servers.front()->remove_entry();
        now.acknowledged = now_s();
        record.line("removed  %s, %.3f s after the path was back", now.id.c_str(),
                    now.acknowledged - now.healed);
        gone.push_back(now);
        sleep_until_s(now.acknowledged + serves_on_s);
        record.line("exit     %s", now.id.c_str());
        servers.front()->exit_for_good();
        servers.erase(servers.begin());
        add_server(round + 6);
    }
    over = true;
    for (auto& each : callers) {
        each.join();
    }

    std::map<std::string, attempt> sent;
    for (const auto& each : attempts) {
        sent[each.id] = each;
    }
    int late = 0;
    int lost = 0;
    std::set<std::string> rounds_broken;
    for (const auto& each : backend::runs()) {
        for (const auto& from : gone) {
            const bool in_touch = !trouble() || sent[each.id].sent > from.healed + contact_s;
            if (each.backend != from.id || !in_touch ||
                each.arrived <= from.acknowledged + drain_timeout_s) {
                continue;
            }
            ++late;
            rounds_broken.insert(from.id);
            lost += each.began > 0 && each.end != "200" ? 1 : 0;
            record.line("late     %s sent %.3f s after the path was back, reached %s %.3f s after "
                        "the acknowledgement; its run ended: %s; the caller got %d",
                        each.id.c_str(), sent[each.id].sent - from.healed, from.id.c_str(),
                        each.arrived - from.acknowledged, each.end.c_str(), sent[each.id].status);
        }
    }
    record.say("%zu requests, %d rounds; in %zu rounds %d requests reached the backend server that "
               "left later than drain_timeout_ms after the acknowledgement, sent by a machine in "
               "touch; %d of these were running when it ended",
               attempts.size(), rounds, rounds_broken.size(), late, lost);
    finish(late > 0);
}
