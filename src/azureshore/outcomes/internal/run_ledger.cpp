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
    for (std::uint32_t place = 0; place < count; ++place) {
        const auto name = "run-once/" + this->service.value + '/' + std::to_string(count) + '/' +
                          std::to_string(place);
        this->partitions.push_back(
            {name, {}, std::make_unique<run_stream>(this->instance, this->hooks_for(place))});
        this->partitions.back().stream->configure(this->limits, this->rate_of_one());
        this->partitions.back().stream->remember_keys_for(this->key_lifetime);
    }
    this->order_vms();
}

stream_hooks run_ledger::hooks_for(std::uint32_t place)
{
    stream_hooks made;
    made.append = [this, place](std::string bytes, std::uint64_t append_id) {
        this->hooks.append(this->partitions[place].name, append_id, std::move(bytes));
    };
    made.hand_over = [this, place](std::size_t rank, const wire::run_record& entries) {
        this->hooks.send(this->at_rank(this->partitions[place], rank),
                         wire::run_group{this->service, place, entries});
    };
    made.groups_here = [this, place](std::size_t rank) {
        return !this->limits.group_on_one_vm ||
               this->at_rank(this->partitions[place], rank) == this->self;
    };
    made.intent_refused = this->hooks.intent_refused;
    made.next_append = [this, place] {
        this->appends[++this->last_append] = place;
        return this->last_append;
    };
    made.log = [this, place](std::string_view event) {
        this->hooks.log(event, this->partitions[place].name);
    };
    made.events = this->hooks.events;
    return made;
}

void run_ledger::configure(const run_once_limits& new_limits)
{
    const bool other_streams = new_limits.partitions != this->limits.partitions;
    this->limits = new_limits;
    if (other_streams) {
        this->make_partitions();
    }
    for (auto& each : this->partitions) {
        each.stream->configure(this->limits, this->rate_of_one());
    }
}

void run_ledger::remember_keys_for(duration lifetime)
{
    this->key_lifetime = lifetime;
    for (auto& each : this->partitions) {
        each.stream->remember_keys_for(lifetime);
    }
}

void run_ledger::update_vms(std::vector<vm_id> live)
{
    this->vms = std::move(live);
    if (std::find(this->vms.begin(), this->vms.end(), this->self) == this->vms.end()) {
        this->vms.push_back(this->self);
    }
    this->order_vms();
    for (auto& each : this->partitions) {
        each.stream->configure(this->limits, this->rate_of_one());
    }
}

void run_ledger::order_vms()
{
    for (auto& each : this->partitions) {
        const auto weight = [&each](const vm_id& vm) {
            return stable_hash(vm.value + each.name);
        };
        each.order = this->vms;
        std::sort(each.order.begin(), each.order.end(), [&](const vm_id& a, const vm_id& b) {
            return std::pair(weight(a), a) > std::pair(weight(b), b);
        });
    }
}

double run_ledger::rate_of_one() const
{
    const auto of_stream = this->limits.appends_per_second /
                           static_cast<double>(std::max(this->limits.partitions, 1U));
    const auto sharing = this->limits.group_on_one_vm ? 1.0 : static_cast<double>(this->vms.size());
    return of_stream / sharing;
}

const vm_id& run_ledger::at_rank(const partition& of, std::size_t rank) const
{
    return of.order[rank % of.order.size()];
}

std::size_t run_ledger::place_of(const wire::key_digest& key) const
{
    return key.high % this->partitions.size();
}

bool run_ledger::ready(time_point now, const wire::key_digest& key) const
{
    return this->partitions[this->place_of(key)].stream->ready(now);
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
    return this->partitions[this->place_of(key)].stream->find(now, key);
}

void run_ledger::post(time_point now, const run_entry& entry)
{
    const auto key = std::visit([](const auto& each) { return each.key; }, entry);
    this->partitions[this->place_of(key)].stream->post(now, entry);
}

void run_ledger::withdraw(time_point now, const wire::key_digest& key, const wire::intent_id& id)
{
    this->partitions[this->place_of(key)].stream->withdraw(now, id);
}

void run_ledger::append_ended(time_point now, std::uint64_t append_id,
                              platform::append_outcome outcome)
{
    const auto at = this->appends.find(append_id);
    if (at == this->appends.end()) {
        return;
    }
    const auto place = at->second;
    this->appends.erase(at);
    this->partitions[place].stream->append_ended(now, append_id, outcome);
}

void run_ledger::log_read(time_point now, const std::string& stream,
                          const platform::read_result& result)
{
    for (auto& each : this->partitions) {
        if (each.name == stream) {
            each.stream->read(now, result);
        }
    }
}

void run_ledger::receive(time_point now, const wire::run_group& group)
{
    if (group.partition < this->partitions.size()) {
        this->partitions[group.partition].stream->post_foreign(group.entries);
        this->partitions[group.partition].stream->flush(now);
    }
}

std::vector<std::pair<std::string, std::uint64_t>> run_ledger::streams() const
{
    std::vector<std::pair<std::string, std::uint64_t>> followed;
    for (const auto& each : this->partitions) {
        followed.emplace_back(each.name, each.stream->next_offset());
    }
    return followed;
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
    auto at = time_point::max();
    for (const auto& each : this->partitions) {
        at = std::min(at, each.stream->next_flush(now));
    }
    return at;
}

} // namespace azureshore::outcomes::detail
