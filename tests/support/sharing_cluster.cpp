#include "support/sharing_cluster.hpp"

#include <algorithm>

namespace azureshore::test {

namespace {

constexpr duration call_latency = std::chrono::milliseconds(5);
constexpr duration call_timeout = std::chrono::milliseconds(600);
constexpr duration message_latency = std::chrono::milliseconds(1);

constexpr std::size_t hosts_per_network = 250;

address address_of(std::size_t daemon)
{
    return {"10.0." + std::to_string(daemon / hosts_per_network) + '.' +
                std::to_string(daemon % hosts_per_network + 1),
            7200};
}

std::size_t daemon_at(const address& where)
{
    const auto last_dot = where.host.rfind('.');
    const auto network = std::stoul(where.host.substr(std::string_view("10.0.").size()));
    return network * hosts_per_network + std::stoul(where.host.substr(last_dot + 1)) - 1;
}

// Versions of the configuration are whole numbers.
bool is_earlier_version(const std::string& left, const std::string& right)
{
    return left.size() != right.size() ? left.size() < right.size() : left < right;
}

data_centre_id data_centre_of(std::size_t daemon)
{
    return {"data-centre-" + std::to_string(daemon % 3)};
}

} // namespace

fake_store::fake_store(virtual_clock& time_source, random_source random_numbers)
    : clock(time_source), random(std::move(random_numbers))
{
}

std::uint64_t fake_store::put(const std::string& name, const std::string& key,
                              std::optional<std::string> value)
{
    auto& log = this->topics[name];
    const auto offset = log.first_offset + log.records.size();
    const platform::keyed_record record{offset, key, std::move(value)};
    log.records.push_back(record);
    if (record.value) {
        log.newest[key] = record;
    }
    else {
        log.newest.erase(key);
    }
    const auto waiting_reads = this->waiting;
    for (const auto& each : waiting_reads) {
        if (this->wakes_waiting_reads && !each->finished && !each->lost && each->topic == name) {
            this->clock.after(call_latency, [this, each] { this->finish(each, true); });
        }
    }
    return offset;
}

void fake_store::compact(const std::string& name)
{
    auto& log = this->topics[name];
    log.first_offset += log.records.size();
    log.records.clear();
}

void fake_store::take_backup()
{
    this->backup = this->topics;
}

void fake_store::restore_backup()
{
    this->before_restore.clear();
    for (const auto& [name, log] : this->topics) {
        this->before_restore[name] = log.newest;
    }
    this->topics = this->backup;
    ++this->epoch;
    const auto waiting_reads = this->waiting;
    for (const auto& each : waiting_reads) {
        this->finish(each, false);
    }
}

void fake_store::write_lost_records_again()
{
    for (const auto* name : {sharing_cluster::operators, sharing_cluster::registrations}) {
        const auto& lost = this->before_restore[name];
        const auto present = this->topics[name].newest;
        for (const auto& [key, record] : lost) {
            const auto found = present.find(key);
            if (found == present.end() || found->second.value != record.value) {
                this->put(name, key, record.value);
            }
        }
        for (const auto& [key, record] : present) {
            if (!lost.contains(key)) {
                this->put(name, key, std::nullopt);
            }
        }
    }
}

void fake_store::lose_waiting_reads()
{
    for (const auto& each : this->waiting) {
        each->lost = true;
    }
}

bool fake_store::is_answered(const vm_id& caller) const
{
    return !this->unanswered_callers.contains("*") &&
           !this->unanswered_callers.contains(caller.value);
}

platform::keyed_topic fake_store::topic(const vm_id& caller, const std::string& name)
{
    platform::keyed_topic topic_calls;
    topic_calls.list = [this, caller, name](const std::function<void(platform::keyed_list)>& done) {
        ++this->calls;
        ++this->calls_by[caller.value];
        const bool answered = this->is_answered(caller);
        const auto wait = answered || this->refuses_at_once ? call_latency : call_timeout;
        this->clock.after(wait, [this, name, answered, done] {
            platform::keyed_list list;
            list.ok = answered;
            if (answered) {
                const auto& log = this->topics[name];
                list.epoch = this->epoch;
                list.next_offset = log.first_offset + log.records.size();
                for (const auto& [key, record] : log.newest) {
                    list.records.push_back(record);
                }
            }
            done(list);
        });
    };
    topic_calls.read = [this, caller, name](std::uint64_t first_offset,
                                            std::chrono::milliseconds wait,
                                            std::function<void(platform::keyed_read)> done) {
        ++this->calls;
        ++this->calls_by[caller.value];
        const auto read = std::make_shared<waiting_read>();
        read->topic = name;
        read->first_offset = first_offset;
        read->done = std::move(done);
        if (!this->is_answered(caller)) {
            this->clock.after(this->refuses_at_once ? call_latency : call_timeout + wait,
                              [this, read] { this->finish(read, false); });
            return;
        }
        const auto& log = this->topics[name];
        if (wait.count() == 0 || first_offset < log.first_offset + log.records.size()) {
            this->clock.after(call_latency, [this, read] { this->finish(read, true); });
            return;
        }
        this->waiting.push_back(read);
        this->clock.after(wait + call_latency, [this, read] {
            if (!read->lost) {
                this->finish(read, true);
            }
        });
        this->clock.after(wait + call_timeout, [this, read] { this->finish(read, false); });
    };
    return topic_calls;
}

void fake_store::finish(const std::shared_ptr<waiting_read>& read, bool answered)
{
    if (std::exchange(read->finished, true)) {
        return;
    }
    std::erase(this->waiting, read);
    platform::keyed_read result;
    result.epoch = this->epoch;
    const auto& log = this->topics[read->topic];
    if (answered && (read->first_offset < log.first_offset ||
                     read->first_offset > log.first_offset + log.records.size())) {
        result.outcome = platform::read_outcome::expired;
    }
    else if (answered) {
        result.outcome = platform::read_outcome::ok;
        const auto begin = read->first_offset - log.first_offset;
        const auto count =
            std::min<std::size_t>(log.records.size() - begin, this->max_records_per_read);
        const auto first = log.records.begin() + static_cast<std::ptrdiff_t>(begin);
        result.records.assign(first, first + static_cast<std::ptrdiff_t>(count));
        result.next_offset = read->first_offset + count;
        result.end_offset = log.first_offset + log.records.size();
    }
    read->done(result);
}

void fake_store::announce(const vm_id& caller, const std::string& announcement,
                          const std::function<void(bool)>& done)
{
    ++this->calls;
    ++this->calls_by[caller.value];
    const bool answered = this->is_answered(caller);
    this->clock.after(answered ? call_latency : call_timeout,
                      [this, answered, caller, announcement, done] {
                          if (answered) {
                              this->put("members", caller.value, announcement);
                          }
                          done(answered);
                      });
}

sharing_cluster::sharing_cluster(std::size_t daemons, std::uint64_t seed)
    : random(seeded_random(seed)), store(this->clock, seeded_random(seed + 1)),
      messages_sent_by(daemons), crash_suspicions(daemons), processes(daemons)
{
}

vm_id sharing_cluster::name_of(std::size_t daemon) const
{
    return {"vm-" + std::to_string(daemon)};
}

void sharing_cluster::start(std::size_t index)
{
    const auto started = std::make_shared<daemon_process>();
    const auto name = this->name_of(index);
    started->sharing = std::make_unique<sharing::store_sharing>(
        sharing::sharing_settings{
            name,
            address_of(index),
            data_centre_of(index),
            std::chrono::seconds(2),
            {address_of(0), address_of(1), address_of(2)},
            this->first_start,
            static_cast<std::uint64_t>(this->clock.now().time_since_epoch().count())},
        sharing::shared_topics{this->store.topic(name, operators),
                               this->store.topic(name, registrations),
                               this->store.topic(name, "members")},
        this->hooks_of(index, started));
    this->processes[index] = started;
    started->sharing->start();
}

void sharing_cluster::kill(std::size_t index)
{
    this->processes[index].reset();
}

std::string sharing_cluster::known_value(std::size_t index, wire::shared_topic topic,
                                         const std::string& key) const
{
    const auto& values = this->processes[index]->known_values[static_cast<std::size_t>(topic)];
    const auto found = values.find(key);
    return found == values.end() ? "" : found->second;
}

const sharing::members& sharing_cluster::members_of(std::size_t index) const
{
    return this->processes[index]->sharing->known_members();
}

void sharing_cluster::deliver(std::size_t sender, const address& recipient,
                              const wire::message& body)
{
    const auto receiver = daemon_at(recipient);
    ++this->messages_sent;
    ++this->messages_sent_by[sender];
    this->messages_between_data_centres +=
        data_centre_of(sender) == data_centre_of(receiver) ? 0 : 1;
    if (receiver >= this->processes.size() || (this->is_lost && this->is_lost(body)) ||
        uniform(this->random) < this->message_loss_fraction ||
        this->disconnected.contains(sender) || this->disconnected.contains(receiver) ||
        this->cut_apart.contains(sender) != this->cut_apart.contains(receiver)) {
        return;
    }
    this->clock.after(message_latency,
                      [this, receiver, envelope = wire::envelope{this->name_of(sender), body}] {
                          if (this->processes[receiver]) {
                              this->processes[receiver]->sharing->receive(envelope);
                          }
                      });
}

std::size_t sharing_cluster::running_count() const
{
    return static_cast<std::size_t>(
        std::count_if(this->processes.begin(), this->processes.end(),
                      [](const auto& each) { return each != nullptr; }));
}

std::size_t sharing_cluster::count_knowing(wire::shared_topic topic, const std::string& key,
                                           const std::string& value) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->processes.size(); ++i) {
        count += this->is_running(i) && this->processes[i]->sharing->topics_listed() &&
                         this->known_value(i, topic, key) == value
                     ? 1
                     : 0;
    }
    return count;
}

std::set<std::string>
sharing_cluster::daemon_process::replace_records(wire::shared_topic topic,
                                                 const std::vector<platform::keyed_record>& records,
                                                 const std::vector<wire::earlier_record>& earlier)
{
    auto& values = this->values_of(topic);
    const auto known = std::exchange(values, {});
    std::set<std::string> outdated;
    for (const auto& each : records) {
        values[each.key] = each.value.value_or("");
        const auto before = known.find(each.key);
        if (topic == wire::shared_topic::operators && each.key == "config" &&
            before != known.end() && is_earlier_version(values[each.key], before->second)) {
            values[each.key] = before->second;
            outdated.insert(each.key);
        }
    }
    for (const auto& each : earlier) {
        if (each.record.value) {
            values[each.record.key] = *each.record.value;
        }
        else {
            this->remove_registration(each.record);
        }
    }
    return outdated;
}

bool sharing_cluster::daemon_process::is_removed(const std::string& key,
                                                 const std::string& value) const
{
    const auto found = this->removed_registrations.find(key);
    return found != this->removed_registrations.end() && value <= found->second;
}

bool sharing_cluster::daemon_process::remove_registration(const wire::shared_record& removal)
{
    auto& values = this->values_of(wire::shared_topic::registrations);
    const auto known = values.find(removal.key);
    const bool later = known != values.end() && known->second > removal.dropped_value;
    if (!removal.dropped_value || later) {
        return false;
    }
    auto& last = this->removed_registrations[removal.key];
    last = std::max(last, *removal.dropped_value);
    return values.erase(removal.key) > 0;
}

std::set<std::string> sharing_cluster::daemon_process::merge_restored_records(
    wire::shared_topic topic, const std::vector<platform::keyed_record>& records)
{
    auto& values = this->values_of(topic);
    const auto known = values;
    values.clear();
    std::set<std::string> outdated;
    for (const auto& each : records) {
        if (topic == wire::shared_topic::registrations &&
            this->is_removed(each.key, each.value.value_or(""))) {
            outdated.insert(each.key);
            continue;
        }
        values[each.key] = each.value.value_or("");
    }
    if (topic == wire::shared_topic::operators) {
        for (const auto& [key, value] : known) {
            if (!values.contains(key)) {
                values[key] = value;
            }
        }
        const auto version = known.find("config");
        if (version != known.end() && is_earlier_version(values["config"], version->second)) {
            values["config"] = version->second;
            outdated.insert("config");
        }
    }
    return outdated;
}

bool sharing_cluster::daemon_process::take_earlier_record(wire::shared_topic topic,
                                                          const wire::earlier_record& earlier)
{
    auto& values = this->values_of(topic);
    const auto& key = earlier.record.key;
    const auto& value = earlier.record.value;
    if (topic == wire::shared_topic::registrations) {
        return !value && this->remove_registration(earlier.record);
    }
    const auto known = values.find(key);
    const bool newer = value && (known == values.end() ||
                                 (key == "config" && is_earlier_version(known->second, *value)));
    if (newer) {
        values[key] = *value;
    }
    return newer;
}

sharing::record_effect
sharing_cluster::daemon_process::apply_record(wire::shared_topic topic,
                                              const platform::keyed_record& record)
{
    auto& values = this->values_of(topic);
    const auto value = record.value.value_or("");
    if (topic == wire::shared_topic::operators && record.key == "config" &&
        is_earlier_version(value, values[record.key])) {
        return sharing::record_effect::outdated;
    }
    const auto before = std::exchange(values[record.key], value);
    if (topic == wire::shared_topic::registrations) {
        if (record.value) {
            this->removed_registrations.erase(record.key);
        }
        else if (!before.empty()) {
            this->removed_registrations[record.key] = before;
        }
    }
    return before != value ? sharing::record_effect::changed : sharing::record_effect::unchanged;
}

sharing::sharing_hooks sharing_cluster::hooks_of(std::size_t index,
                                                 const std::weak_ptr<daemon_process>& owner)
{
    sharing::sharing_hooks hooks;
    hooks.clock = [this] {
        return this->clock.now();
    };
    hooks.after = [this](duration delay, std::function<void()> work) {
        this->clock.after(delay, std::move(work));
    };
    hooks.send = [this, index](const std::vector<address>& recipients, const wire::message& body) {
        for (const auto& each : recipients) {
            this->deliver(index, each, body);
        }
    };
    hooks.announce = [this, index](const std::string& announcement,
                                   const std::function<void(bool)>& done) {
        this->store.announce(this->name_of(index), announcement, done);
    };
    hooks.replace_records = [owner](wire::shared_topic topic,
                                    const std::vector<platform::keyed_record>& records,
                                    const std::vector<wire::earlier_record>& earlier) {
        return owner.lock()->replace_records(topic, records, earlier);
    };
    hooks.merge_restored_records = [owner](wire::shared_topic topic,
                                           const std::vector<platform::keyed_record>& records) {
        return owner.lock()->merge_restored_records(topic, records);
    };
    hooks.take_earlier_record = [owner](wire::shared_topic topic,
                                        const wire::earlier_record& earlier) {
        return owner.lock()->take_earlier_record(topic, earlier);
    };
    hooks.apply_record = [owner](wire::shared_topic topic, const platform::keyed_record& record) {
        return owner.lock()->apply_record(topic, record);
    };
    hooks.store_unavailable = [this] {
        ++this->unavailable_reports;
    };
    hooks.store_available = [] {
    };
    hooks.members_changed = [] {
    };
    hooks.request_rate = [index] {
        return static_cast<double>(index);
    };
    hooks.random = seeded_random(index);
    hooks.rollouts_noticed = [this, index](const wire::rollout_notice&) {
        ++this->rollout_notices[index];
    };
    hooks.rollouts_reported = [this, index](const wire::rollout_report& report) {
        this->reported_responses[index] += report.evidence.front().routes.front().target.responses;
    };
    hooks.crash_suspected = [this, index](std::uint64_t) {
        ++this->crash_suspicions[index];
    };
    return hooks;
}

} // namespace azureshore::test
