// A gateway is partitioned from the store for some seconds. Soon after the path is back, a backend
// server that never reports draining leaves: its entry is removed, and it serves on.
#include "harness.h"

using namespace review;

namespace {

constexpr double cut_s = 5.5;
constexpr double removed_after_s = 1.4;
constexpr double contact_s = 3;
constexpr double drain_timeout_s = 2;
// The backend server serves for drain_timeout_ms and a little longer, and then ends.
constexpr double serves_on_s = 2.4;

// Forwards connections to the store. While cut, bytes and new connections wait, without a reset.
class store_link {
public:
    explicit store_link(place to) : target(std::move(to))
    {
        this->at = {host_number(2), 0};
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

private:
    void move()
    {
        while (!this->over) {
            if (this->is_cut) {
                sleep_ms(2);
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
    store_link path(platform.at);
    platform.put("keyed.op", "config",
                 configuration(1, {{"/orders/", "foundry", "unsafe", 2000, 800, 2}}, {"foundry"}));
    std::vector<std::unique_ptr<backend>> servers;
    for (int i = 0; i < 6; ++i) {
        servers.push_back(std::make_unique<backend>(
            platform, backend_settings{"foundry", i % 2 == 0 ? "maadi" : "shubra",
                                       host_number(100 + i), 4, 4, 290, "", 0}));
    }
    auto gateways = make_gateways(1, {"maadi"}, path.at);
    auto& one = *gateways.front();
    one.start(true);
    one.await_ready();
    sleep_ms(3000);

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
    sleep_ms(2000);
    if (trouble()) {
        record.line("cut      the gateway from the store");
        path.is_cut = true;
    }
    sleep_ms(static_cast<int>(cut_s * 1000));
    path.is_cut = false;
    const double healed = now_s();
    record.line("healed");
    sleep_until_s(healed + removed_after_s);
    auto& leaving = *servers.front();
    const auto left_id = leaving.id;
    leaving.remove_entry();
    const double acknowledged = now_s();
    record.line("removed  %s, %.3f s after the path was back", left_id.c_str(),
                acknowledged - healed);
    sleep_until_s(acknowledged + serves_on_s);
    record.line("exit     %s", left_id.c_str());
    leaving.exit_for_good();
    sleep_ms(4000);
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
    double last = 0;
    int all = 0;
    for (const auto& each : backend::runs()) {
        if (each.backend != left_id || each.arrived < acknowledged) {
            continue;
        }
        ++all;
        last = std::max(last, each.arrived - acknowledged);
        const bool in_touch = !trouble() || sent[each.id].sent > healed + contact_s;
        if (in_touch && each.arrived > acknowledged + drain_timeout_s) {
            ++late;
            lost += each.began > 0 && each.end != "200" ? 1 : 0;
            record.line("late     %s sent %.3f s after the path was back, reached %s %.3f s after "
                        "the acknowledgement; its run ended: %s; the caller got %d",
                        each.id.c_str(), sent[each.id].sent - healed, left_id.c_str(),
                        each.arrived - acknowledged, each.end.c_str(), sent[each.id].status);
        }
    }
    record.say("%zu requests; %d reached the backend server that left after the acknowledgement, "
               "the last one %.3f s after it; %d of them later than drain_timeout_ms, sent by a "
               "machine in touch, and %d of these were running when it ended",
               attempts.size(), all, last, late, lost);
    finish(late > 0);
}
