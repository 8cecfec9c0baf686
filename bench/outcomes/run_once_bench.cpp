// Measures what running once costs, in virtual time: how long orders wait for their intent, and
// how many appends they take, against orders a second and ways of grouping.

#include "azureshore/outcomes/request_engine.hpp"
#include "support/virtual_clock.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace {

using namespace azureshore;
using namespace azureshore::outcomes;
using namespace std::chrono_literals;

constexpr std::size_t vm_count = 14;
constexpr double appends_allowed = 300;
constexpr duration append_way = 1ms;
constexpr duration read_way = 1ms;
constexpr duration message_way = 500us;
constexpr duration service_time = 10ms;
constexpr duration measured_time = 20s;

// Fourteen VMs that run orders at a steady rate over a log without faults.
class bench_cluster {
public:
    bench_cluster(std::uint64_t seed, const run_once_limits& log_limits)
        : random(seeded_random(seed)), engines(vm_count), ticks(vm_count, time_point::max())
    {
        std::vector<vm_id> names;
        for (std::size_t vm = 0; vm < vm_count; ++vm) {
            names.push_back({"vm-" + std::to_string(vm + 1)});
        }
        for (std::size_t vm = 0; vm < vm_count; ++vm) {
            this->engines[vm] = std::make_unique<request_engine>(names[vm], service_id{"foundry"},
                                                                 seeded_random(this->random()),
                                                                 this->hooks_for(vm));
            this->engines[vm]->configure(this->time.now(), {});
            this->engines[vm]->configure_run_once(this->time.now(), log_limits);
            this->engines[vm]->update_vms(this->time.now(), names);
            for (std::size_t stream = 0; stream < this->engines[vm]->streams().size(); ++stream) {
                this->read(vm, stream);
            }
        }
        this->time.run_until(this->time.now() + 50ms);
    }

    void run(double orders_per_second)
    {
        const auto end = this->time.now() + measured_time;
        while (this->time.now() < end) {
            const std::chrono::duration<double> gap(-std::log(1 - uniform(this->random)) /
                                                    orders_per_second);
            const auto at = this->time.now() + std::chrono::duration_cast<duration>(gap);
            this->time.run_until(at);
            this->order();
        }
        this->time.run_until(this->time.now() + 3s);
    }

    void print(const char* name, double orders_per_second)
    {
        std::sort(this->waits.begin(), this->waits.end());
        const auto at = [this](double share) {
            const auto place = static_cast<double>(this->waits.size() - 1) * share;
            return to_milliseconds(this->waits[static_cast<std::size_t>(place)]);
        };
        const auto seconds = std::chrono::duration<double>(measured_time).count();
        std::printf("%-26s %8.0f %9.1f %9.1f %9.1f %9.1f %9.0f %8zu %8zu\n", name,
                    orders_per_second, at(0.5), at(0.99), at(0.999),
                    static_cast<double>(this->appends) / seconds,
                    static_cast<double>(this->appended_bytes) / static_cast<double>(this->begun),
                    this->answered, this->refused);
    }

private:
    struct stream_state {
        std::vector<std::string> records;
        std::vector<std::pair<std::size_t, std::size_t>> readers;
    };

    void order()
    {
        const auto vm = uniform_index(this->random, vm_count);
        incoming_request request;
        request.number = {++this->begun};
        request.service = {"foundry"};
        request.key = "order-" + std::to_string(this->begun);
        request.content =
            std::make_shared<request_content>(request_content{"POST", "/orders", {}, request.key});
        this->begin_times[request.number.value] = this->time.now();
        this->call(vm, [&](request_engine& engine) { engine.begin(this->time.now(), request); });
    }

    engine_hooks hooks_for(std::size_t vm)
    {
        engine_hooks hooks;
        hooks.acquire = [this, vm](const attempt_permit_request& wish) {
            this->after_call(vm, 0ms, [this, wish](request_engine& engine) {
                engine.permit_granted(this->time.now(), wish.attempt, {"plate-1"},
                                      {"127.0.0.1", 80});
            });
        };
        hooks.release = [](attempt_number) {
        };
        hooks.cancel = [](attempt_number) {
        };
        hooks.start = [this, vm](const attempt_request& order) {
            this->start(vm, order);
        };
        hooks.answer = [this](request_number, const caller_response& said) {
            ++(said.answer ? this->answered : this->refused);
        };
        hooks.append = [this, vm](const std::string& stream, std::uint64_t id, std::string bytes) {
            this->append(vm, stream, id, std::move(bytes));
        };
        hooks.send = [this](const vm_id& to, const wire::message& body) {
            const auto target = std::stoul(to.value.substr(3)) - 1;
            this->after_call(target, message_way, [this, body](request_engine& engine) {
                engine.receive(this->time.now(), {}, body);
            });
        };
        return hooks;
    }

    void start(std::size_t vm, const attempt_request& order)
    {
        this->waits.push_back(this->time.now() - this->begin_times.at(order.request.value));
        this->after_call(vm, service_time, [this, number = order.attempt](request_engine& engine) {
            attempt_report report;
            report.attempt = number;
            report.end = attempt_end::answered;
            report.proof = attempt_proof::whole_answer;
            report.answer = answer_content{
                201, {{"Content-Type", "application/json"}}, R"({"order":12345,"state":"taken"})"};
            engine.attempt_ended(this->time.now(), report);
        });
    }

    void append(std::size_t vm, const std::string& stream, std::uint64_t id, std::string bytes)
    {
        ++this->appends;
        this->appended_bytes += bytes.size();
        this->time.after(append_way, [this, vm, stream, id, kept = std::move(bytes)] {
            auto& into = this->streams[stream];
            into.records.push_back(kept);
            const platform::append_result result{platform::append_outcome::accepted,
                                                 into.records.size() - 1};
            this->after_call(vm, append_way, [this, id, result](request_engine& engine) {
                engine.append_ended(this->time.now(), id, result);
            });
            for (const auto& [reader, place] : std::exchange(into.readers, {})) {
                this->read(reader, place);
            }
        });
    }

    void read(std::size_t vm, std::size_t place)
    {
        const auto followed = this->engines[vm]->streams()[place];
        const auto& name = followed.first;
        const auto from = followed.second;
        auto& of = this->streams[name];
        if (from >= of.records.size() && from > 0) {
            of.readers.emplace_back(vm, place);
            return;
        }
        platform::read_result result;
        result.outcome = platform::read_outcome::ok;
        result.next_offset = of.records.size();
        for (auto offset = from; offset < of.records.size(); ++offset) {
            result.records.push_back({offset, of.records[offset]});
        }
        this->after_call(
            vm, read_way, [this, vm, place, stream = name, result](request_engine& to) {
                to.log_read(this->time.now(), stream, result);
                this->time.after(read_way, [this, vm, place] { this->read(vm, place); });
            });
    }

    void after_call(std::size_t vm, duration span, std::function<void(request_engine&)> what)
    {
        this->time.after(span, [this, vm, done = std::move(what)] { this->call(vm, done); });
    }

    void call(std::size_t vm, const std::function<void(request_engine&)>& what)
    {
        what(*this->engines[vm]);
        const auto due = std::max(this->engines[vm]->next_tick(), this->time.now());
        if (due >= this->ticks[vm] || due == time_point::max()) {
            return;
        }
        this->ticks[vm] = due;
        this->time.after(due - this->time.now(), [this, vm, due] {
            if (this->ticks[vm] == due) {
                this->ticks[vm] = time_point::max();
                this->call(vm, [this](request_engine& engine) { engine.tick(this->time.now()); });
            }
        });
    }

    fakes::virtual_clock time{time_point(1h)};
    random_source random;
    std::vector<std::unique_ptr<request_engine>> engines;
    std::vector<time_point> ticks;
    std::map<std::string, stream_state> streams;
    std::unordered_map<std::uint64_t, time_point> begin_times;
    std::vector<duration> waits;
    std::uint64_t begun = 0;
    std::uint64_t appends = 0;
    std::uint64_t appended_bytes = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
};

struct way {
    const char* name;
    bool group_on_one_vm;
    std::uint32_t partitions;
};

} // namespace

int main()
{
    constexpr std::uint64_t seed = 1;
    const way ways[] = {{"each VM its share", false, 1},
                        {"one VM groups, 1 stream", true, 1},
                        {"one VM groups, 2 streams", true, 2},
                        {"one VM groups, 4 streams", true, 4}};
    std::printf("%-26s %8s %9s %9s %9s %9s %9s %8s %8s\n", "way", "orders/s", "p50 ms", "p99 ms",
                "p99.9 ms", "appends/s", "bytes/ord", "answered", "refused");
    for (const double rate : {100.0, 500.0, 2000.0, 4000.0}) {
        for (const auto& each : ways) {
            run_once_limits limits;
            limits.appends_per_second = appends_allowed;
            limits.group_on_one_vm = each.group_on_one_vm;
            limits.partitions = each.partitions;
            bench_cluster cluster(seed, limits);
            cluster.run(rate);
            cluster.print(each.name, rate);
        }
    }
}
