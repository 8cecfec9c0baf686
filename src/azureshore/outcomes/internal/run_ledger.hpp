#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/outcomes/internal/run_stream.hpp"
#include "azureshore/wire/message.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace azureshore::outcomes::detail {

// What the ledger tells and asks of its owner.
struct ledger_hooks {
    std::function<void(const std::string& stream, std::uint64_t append_id, std::string bytes)>
        append;
    std::function<void(const vm_id& to, const wire::message&)> send;
    std::function<void(const wire::intent_id&)> intent_refused;
    std::function<void(std::string_view event, const std::string& stream)> log;
    key_events events;
};

// All run-once streams of one service on one VM. Keys are spread over streams by hash, and the
// VMs agree by rendezvous hash on who appends to a stream for all. They need not agree: any
// number of VMs may append, since the log's order alone decides.
class run_ledger {
public:
    run_ledger(vm_id self_name, service_id service_name, const random_source& random,
               ledger_hooks ledger_actions);

    void configure(const run_once_limits& new_limits);
    void remember_keys_for(duration lifetime);
    // Takes the entry VMs that are believed to run.
    void update_vms(std::vector<vm_id> live);

    [[nodiscard]] bool ready(time_point now, const wire::key_digest& key) const;
    [[nodiscard]] bool full() const;
    [[nodiscard]] const key_entry* find(time_point now, const wire::key_digest& key) const;
    [[nodiscard]] const run_once_limits& limits_in_force() const { return this->limits; }

    // Numbers a new intent of this VM.
    wire::intent_id next_intent() { return {this->instance, ++this->last_intent}; }
    [[nodiscard]] bool is_own(const wire::intent_id& id) const
    {
        return id.instance == this->instance && id.number <= this->last_intent;
    }
    void post(time_point now, const run_entry& entry);
    void withdraw(time_point now, const wire::key_digest& key, const wire::intent_id& id);

    void append_ended(time_point now, std::uint64_t append_id, platform::append_outcome outcome);
    void log_read(time_point now, const std::string& stream, const platform::read_result& result);
    void receive(time_point now, const wire::run_group& group);
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> streams() const;

    // Whether each entry of this VM has been read back.
    [[nodiscard]] bool settled() const;

    void flush(time_point now);
    [[nodiscard]] time_point next_flush(time_point now) const;

private:
    struct partition {
        std::string name;
        // Those that may append for all, best first.
        std::vector<vm_id> order;
        std::unique_ptr<run_stream> stream;
    };

    [[nodiscard]] std::size_t place_of(const wire::key_digest& key) const;
    [[nodiscard]] stream_hooks hooks_for(std::uint32_t place);
    void make_partitions();
    void order_vms();
    [[nodiscard]] double rate_of_one() const;
    [[nodiscard]] const vm_id& at_rank(const partition& of, std::size_t rank) const;

    vm_id self;
    service_id service;
    std::uint64_t instance;
    ledger_hooks hooks;
    run_once_limits limits;
    duration key_lifetime{};
    std::vector<vm_id> vms;
    std::vector<partition> partitions;
    std::unordered_map<std::uint64_t, std::size_t> appends;
    std::uint64_t last_append = 0;
    std::uint64_t last_intent = 0;
};

} // namespace azureshore::outcomes::detail
