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

// Actions and events of a ledger, handled by its owner.
struct ledger_hooks {
    std::function<void(const std::string& stream, std::uint64_t append_id, std::string bytes)>
        append;
    std::function<void(const vm_id& to, const wire::message&)> send;
    std::function<void(const wire::intent_id&)> intent_refused;
    std::function<void(std::string_view event, const std::string& stream)> log;
    key_events events;
};

// All run-once streams of one service on one VM. Keys are partitioned over the streams by hash, and
// the VM that appends to a stream for all others is chosen by rendezvous hashing. Correctness does
// not depend on the VMs choosing the same one: any number of them may append, since the order of
// the log alone decides which intent holds a key.
class run_ledger {
public:
    run_ledger(vm_id self_name, service_id service_name, const random_source& random,
               ledger_hooks ledger_actions);

    void configure(const run_once_limits& new_limits);
    void set_key_lifetime(duration lifetime);
    // Sets the entry VMs that are believed to be alive.
    void update_vms(std::vector<vm_id> live);

    [[nodiscard]] bool ready(time_point now, const wire::key_digest& key) const;
    [[nodiscard]] bool full() const;
    [[nodiscard]] const key_entry* find(time_point now, const wire::key_digest& key) const;
    [[nodiscard]] const run_once_limits& current_limits() const { return this->limits; }

    // Returns the id of a new intent of this VM.
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

    // Returns whether all entries of this VM have been read back.
    [[nodiscard]] bool settled() const;

    void flush(time_point now);
    [[nodiscard]] time_point next_flush(time_point now) const;

private:
    struct partition {
        std::string name;
        // The VMs that may append for all, in order of preference.
        std::vector<vm_id> ranking;
        std::unique_ptr<run_stream> stream;
    };

    [[nodiscard]] std::size_t partition_of(const wire::key_digest& key) const;
    [[nodiscard]] stream_hooks make_stream_hooks(std::uint32_t index);
    void make_partitions();
    void rank_vms();
    [[nodiscard]] double append_rate_per_stream() const;
    [[nodiscard]] const vm_id& vm_at_rank(const partition& target, std::size_t rank) const;

    vm_id self;
    service_id service;
    std::uint64_t instance;
    ledger_hooks hooks;
    run_once_limits limits;
    duration key_lifetime{};
    std::vector<vm_id> vms;
    std::vector<partition> partitions;
    std::unordered_map<std::uint64_t, std::size_t> partition_by_append;
    std::uint64_t last_append = 0;
    std::uint64_t last_intent = 0;
};

} // namespace azureshore::outcomes::detail
