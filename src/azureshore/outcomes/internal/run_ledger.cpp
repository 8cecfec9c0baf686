#include "azureshore/outcomes/internal/run_ledger.hpp"

#include "azureshore/core/hash.hpp"

#include <algorithm>

namespace azureshore::outcomes::detail {

run_ledger::run_ledger(vm_id self_name, service_id service_name, const random_source& random,
                       ledger_hooks ledger_actions)
    : self(std::move(self_name)), service(std::move(service_name)), instance(random()),
      hooks(std::move(ledger_actions)), vms{this->self}
{
    this->make_partitions();
}

void run_ledger::make_partitions()
{
    this->partitions.clear();
    const auto count = std::max(this->limits.partitions, 1U);
    for (std::uint32_t index = 0; index < count; ++index) {
        const auto name = "run-once/" + this->service.value + '/' + std::to_string(count) + '/' +
                          std::to_string(index);
        this->partitions.push_back(
            {name,
             {},
             std::make_unique<run_stream>(this->instance, this->make_stream_hooks(index))});
        this->partitions.back().stream->configure(this->limits, this->append_rate_per_stream());
        this->partitions.back().stream->set_key_lifetime(this->key_lifetime);
    }
    this->rank_vms();
}

stream_hooks run_ledger::make_stream_hooks(std::uint32_t index)
{
    stream_hooks actions;
    actions.append = [this, index](std::string bytes, std::uint64_t append_id) {
        this->hooks.append(this->partitions[index].name, append_id, std::move(bytes));
    };
    actions.forward = [this, index](std::size_t rank, const wire::run_record& entries) {
        this->hooks.send(this->vm_at_rank(this->partitions[index], rank),
                         wire::run_group{this->service, index, entries});
    };
    actions.appends_at_rank = [this, index](std::size_t rank) {
        return !this->limits.group_on_one_vm ||
               this->vm_at_rank(this->partitions[index], rank) == this->self;
    };
    actions.intent_refused = this->hooks.intent_refused;
    actions.next_append_id = [this, index] {
        this->partition_by_append[++this->last_append] = index;
        return this->last_append;
    };
    actions.log = [this, index](std::string_view event) {
        this->hooks.log(event, this->partitions[index].name);
    };
    actions.events = this->hooks.events;
    return actions;
}

void run_ledger::configure(const run_once_limits& new_limits)
{
    const bool partitions_changed = new_limits.partitions != this->limits.partitions;
    this->limits = new_limits;
    if (partitions_changed) {
        this->make_partitions();
    }
    for (auto& each : this->partitions) {
        each.stream->configure(this->limits, this->append_rate_per_stream());
    }
}

void run_ledger::set_key_lifetime(duration lifetime)
{
    this->key_lifetime = lifetime;
    for (auto& each : this->partitions) {
        each.stream->set_key_lifetime(lifetime);
    }
}

void run_ledger::update_vms(std::vector<vm_id> live)
{
    this->vms = std::move(live);
    if (std::find(this->vms.begin(), this->vms.end(), this->self) == this->vms.end()) {
        this->vms.push_back(this->self);
    }
    this->rank_vms();
    for (auto& each : this->partitions) {
        each.stream->configure(this->limits, this->append_rate_per_stream());
    }
}

void run_ledger::rank_vms()
{
    for (auto& each : this->partitions) {
        const auto weight = [&each](const vm_id& vm) {
            return stable_hash(vm.value + each.name);
        };
        each.ranking = this->vms;
        std::sort(each.ranking.begin(), each.ranking.end(), [&](const vm_id& a, const vm_id& b) {
            return std::pair(weight(a), a) > std::pair(weight(b), b);
        });
    }
}

double run_ledger::append_rate_per_stream() const
{
    const auto stream_rate = this->limits.appends_per_second /
                             static_cast<double>(std::max(this->limits.partitions, 1U));
    const auto appending_vms =
        this->limits.group_on_one_vm ? 1.0 : static_cast<double>(this->vms.size());
    return stream_rate / appending_vms;
}

const vm_id& run_ledger::vm_at_rank(const partition& target, std::size_t rank) const
{
    return target.ranking[rank % target.ranking.size()];
}

std::size_t run_ledger::partition_of(const wire::key_digest& key) const
{
    return key.high % this->partitions.size();
}

bool run_ledger::ready(time_point now, const wire::key_digest& key) const
{
    return this->partitions[this->partition_of(key)].stream->ready(now);
}

bool run_ledger::full() const
{
    std::size_t keys = 0;
    for (const auto& each : this->partitions) {
        keys += each.stream->size();
    }
    return keys >= this->limits.max_keys;
}

const key_entry* run_ledger::find(time_point now, const wire::key_digest& key) const
{
    return this->partitions[this->partition_of(key)].stream->find(now, key);
}

void run_ledger::post(time_point now, const run_entry& entry)
{
    const auto key = std::visit([](const auto& each) { return each.key; }, entry);
    this->partitions[this->partition_of(key)].stream->post(now, entry);
}

void run_ledger::withdraw(time_point now, const wire::key_digest& key, const wire::intent_id& id)
{
    this->partitions[this->partition_of(key)].stream->withdraw(now, id);
}

void run_ledger::append_ended(time_point now, std::uint64_t append_id,
                              platform::append_outcome outcome)
{
    const auto it = this->partition_by_append.find(append_id);
    if (it == this->partition_by_append.end()) {
        return;
    }
    const auto index = it->second;
    this->partition_by_append.erase(it);
    this->partitions[index].stream->append_ended(now, append_id, outcome);
}

void run_ledger::log_read(time_point now, const std::string& stream,
                          const platform::read_result& result)
{
    for (auto& each : this->partitions) {
        if (each.name == stream) {
            each.stream->handle_read(now, result);
        }
    }
}

void run_ledger::receive(time_point now, const wire::run_group& group)
{
    if (group.partition < this->partitions.size()) {
        this->partitions[group.partition].stream->post_remote(group.entries);
        this->partitions[group.partition].stream->flush(now);
    }
}

std::vector<std::pair<std::string, std::uint64_t>> run_ledger::streams() const
{
    std::vector<std::pair<std::string, std::uint64_t>> offsets;
    for (const auto& each : this->partitions) {
        offsets.emplace_back(each.name, each.stream->next_offset());
    }
    return offsets;
}

bool run_ledger::settled() const
{
    return std::all_of(this->partitions.begin(), this->partitions.end(),
                       [](const partition& each) { return each.stream->settled(); });
}

void run_ledger::flush(time_point now)
{
    for (auto& each : this->partitions) {
        each.stream->flush(now);
    }
}

time_point run_ledger::next_flush(time_point now) const
{
    auto earliest = time_point::max();
    for (const auto& each : this->partitions) {
        earliest = std::min(earliest, each.stream->next_flush(now));
    }
    return earliest;
}

} // namespace azureshore::outcomes::detail
