// Another writer puts one entry under keyed.servers whose address is no IP address. No gateway may
// end because of it.
#include "harness.h"

using namespace review;

namespace {

constexpr int restart_delay_ms = 1000;
constexpr int callers_each = 20;
constexpr int watched_s = 20;

// The address is a host name, or with ENTRY=bytes text that can't be read.
std::string foreign_entry()
{
    const auto* kind = std::getenv("ENTRY");
    const bool bytes = kind != nullptr && std::string(kind) == "bytes";
    return R"({"address":")" + std::string(bytes ? R"(\u0007\u0013\u007f)" : "foundry-9.example") +
           R"(:8080","info":{"service":"foundry","version":"v1","zone":"maadi","slots":4},)"
           R"("status":{"state":"ready","sequence":1,"cold_remaining_ms":0}})";
}

} // namespace

int main(int count, char** words)
{
    record.open(count > 1 ? words[1] : "record.txt");
    store platform(host_number(1));
    platform.put("keyed.op", "config",
                 configuration(1, {{"/orders/", "foundry", "unsafe", 2000, 800, 2}}, {"foundry"}));
    std::vector<std::unique_ptr<backend>> servers;
    for (int i = 0; i < 8; ++i) {
        servers.push_back(std::make_unique<backend>(
            platform, backend_settings{"foundry", i % 2 == 0 ? "maadi" : "shubra",
                                       host_number(100 + i), 4, 4, 290, "", 0}));
    }
    auto gateways = make_gateways(3, {"maadi", "shubra", "khan-el-khalili"}, platform.at);
    for (auto& each : gateways) {
        each->start(true);
    }
    for (auto& each : gateways) {
        each->await_ready();
    }
    sleep_ms(2000);

    std::atomic<bool> over = false;
    std::vector<int> own_ends(gateways.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        threads.emplace_back([&, i] {
            while (!over) {
                sleep_ms(5);
                if (const auto status = gateways[i]->program.ended()) {
                    ++own_ends[i];
                    record.line("ended    %s by itself, %s %d", gateways[i]->name.c_str(),
                                WIFSIGNALED(*status) ? "signal" : "exit status",
                                WIFSIGNALED(*status) ? WTERMSIG(*status) : WEXITSTATUS(*status));
                    sleep_ms(restart_delay_ms);
                    gateways[i]->start(false);
                }
            }
        });
    }
    std::mutex lock;
    std::vector<attempt> attempts;
    for (int i = 0; i < callers_each * static_cast<int>(gateways.size()); ++i) {
        threads.emplace_back([&, i] {
            const auto& to = *gateways[static_cast<std::size_t>(i) % gateways.size()];
            std::mt19937 random(static_cast<unsigned>(i + 1));
            stream on;
            while (!over) {
                const bool kept = on.open() && !on.stale();
                if (!kept && !on.connect_to(to.callers, 1)) {
                    sleep_ms(100);
                    continue;
                }
                auto made = ask_on(on, to.name, "POST", "/orders/" + std::to_string(i), 2000);
                made.kept_connection = kept;
                {
                    const std::lock_guard hold(lock);
                    attempts.push_back(made);
                }
                sleep_ms(static_cast<int>(random() % 400));
            }
        });
    }
    sleep_ms(5000);
    const double written = now_s();
    if (trouble()) {
        platform.put("keyed.servers", "foundry-9", foreign_entry());
        record.line("written  keyed.servers foundry-9 %s", foreign_entry().c_str());
    }
    sleep_ms(watched_s * 1000);
    over = true;
    for (auto& each : threads) {
        each.join();
    }

    std::set<std::string> began;
    for (const auto& each : backend::runs()) {
        if (each.began > 0) {
            began.insert(each.id);
        }
    }
    int before = 0;
    int after = 0;
    int lost = 0;
    for (const auto& each : attempts) {
        if (each.status == 200) {
            (each.ended < written ? before : after) += 1;
        }
        if (each.kept_connection && each.status == 0 && began.contains(each.id)) {
            ++lost;
            record.line("lost     %s to %s sent %.3f, begun, connection ended %.3f",
                        each.id.c_str(), each.to.c_str(), each.sent, each.ended);
        }
    }
    int often = 0;
    int ends = 0;
    for (const int each : own_ends) {
        ends += each;
        often += each >= 3 ? 1 : 0;
    }
    record.say("gateways ended by themselves %d times; %d of %zu did so three times or more", ends,
               often, gateways.size());
    record.say("answered 200: %d in 5 s before, %d in %d s after", before, after, watched_s);
    record.say("passed on from a kept connection and closed without an answer: %d (more than 3 "
               "break LOST)",
               lost);
    finish(often >= 2 || lost > 3);
}
