#include "sharing/sharing_cluster.hpp"

#include <algorithm>

namespace azureshore::test {

namespace {

constexpr duration call_time = std::chrono::milliseconds(5);
constexpr duration call_timeout = std::chrono::milliseconds(600);
constexpr duration message_time = std::chrono::milliseconds(1);

address address_of(std::size_t daemon)
{
    return {"10.0.0." + std::to_string(daemon + 1), 7200};
}

data_centre_id data_centre_of(std::size_t daemon)
{
    return {"data-centre-" + std::to_string(daemon % 3)};
}

} // namespace

fake_store::fake_store(virtual_clock& time, random_source numbers)
    : clock(time), random(std::move(numbers))
{
}

std::uint64_t fake_store::put(const std::string& name, const std::string& key,
                              std::optional<std::string> value)
{
    auto& to = this->topics[name];
    const auto offset = to.first + to.records.size();
    const platform::keyed_record record{offset, key, std::move(value)};
    to.records.push_back(record);
    if (record.value) {
        to.newest[key] = record;
    }
    else {
        to.newest.erase(key);
    }
    const auto reads = this->waiting;
    for (const auto& each : reads) {
        if (this->wakes_reads && !each->done && each->topic == name) {
            this->clock.after(call_time, [this, each] { this->finish(each, true); });
        }
    }
    return offset;
}

void fake_store::compact(const std::string& name)
{
    auto& of = this->topics[name];
    of.first += of.records.size();
    of.records.clear();
}

bool fake_store::answers(const vm_id& caller) const
{
    return !this->unanswered.contains("*") && !this->unanswered.contains(caller.value);
}

platform::keyed_topic fake_store::topic(const vm_id& caller, const std::string& name)
{
    platform::keyed_topic made;
    made.list = [this, caller, name](const std::function<void(platform::keyed_list)>& done) {
        ++this->calls;
        const bool ok = this->answers(caller);
        this->clock.after(ok ? call_time : call_timeout, [this, name, ok, done] {
            platform::keyed_list list;
            list.ok = ok;
            if (ok) {
                const auto& from = this->topics[name];
                list.next_offset = from.first + from.records.size();
                for (const auto& [key, record] : from.newest) {
                    list.records.push_back(record);
                }
            }
            done(list);
        });
    };
    made.read = [this, caller, name](std::uint64_t from, std::chrono::milliseconds wait,
                                     std::function<void(platform::keyed_read)> done) {
        ++this->calls;
        const auto read = std::make_shared<waiting_read>();
        read->topic = name;
        read->from = from;
        read->answer = std::move(done);
        if (!this->answers(caller)) {
            this->clock.after(call_timeout + wait, [this, read] { this->finish(read, false); });
            return;
        }
        const auto& of = this->topics[name];
        if (wait.count() == 0 || from < of.first + of.records.size()) {
            this->clock.after(call_time, [this, read] { this->finish(read, true); });
            return;
        }
        this->waiting.push_back(read);
        this->clock.after(wait + call_time, [this, read] { this->finish(read, true); });
    };
    return made;
}

void fake_store::finish(const std::shared_ptr<waiting_read>& read, bool answered)
{
    if (std::exchange(read->done, true)) {
        return;
    }
    std::erase(this->waiting, read);
    platform::keyed_read result;
    const auto& of = this->topics[read->topic];
    if (answered && read->from < of.first) {
        result.outcome = platform::read_outcome::expired;
    }
    else if (answered) {
        result.outcome = platform::read_outcome::ok;
        const auto begin = static_cast<std::ptrdiff_t>(read->from - of.first);
        result.records.assign(of.records.begin() + begin, of.records.end());
        result.next_offset = of.first + of.records.size();
    }
    read->answer(result);
}

void fake_store::announce(const vm_id& caller, const std::string& what,
                          const std::function<void(bool)>& done)
{
    ++this->calls;
    const bool ok = this->answers(caller);
    this->clock.after(ok ? call_time : call_timeout, [this, ok, caller, what, done] {
        if (ok) {
            this->put("members", caller.value, what);
        }
        done(ok);
    });
}

sharing_cluster::sharing_cluster(std::size_t daemons, std::uint64_t seed)
    : random(seeded_random(seed)), store(this->clock, seeded_random(seed + 1)), all(daemons)
{
}

vm_id sharing_cluster::name_of(std::size_t daemon) const
{
    return {"vm-" + std::to_string(daemon)};
}

void sharing_cluster::start(std::size_t index)
{
    const auto made = std::make_shared<process>();
    const auto name = this->name_of(index);
    made->sharing = std::make_unique<sharing::store_sharing>(
        sharing::sharing_settings{name,
                                  address_of(index),
                                  data_centre_of(index),
                                  std::chrono::seconds(2),
                                  {address_of(0), address_of(1), address_of(2)}},
        sharing::shared_topics{this->store.topic(name, operators),
                               this->store.topic(name, registrations),
                               this->store.topic(name, "members")},
        this->hooks_of(index, made));
    this->all[index] = made;
    made->sharing->start();
}

void sharing_cluster::kill(std::size_t index)
{
    this->all[index].reset();
}

std::string sharing_cluster::known(std::size_t index, wire::shared_topic topic,
                                   const std::string& key) const
{
    const auto& of = this->all[index]->known[static_cast<std::size_t>(topic)];
    const auto found = of.find(key);
    return found == of.end() ? "" : found->second;
}

const sharing::members& sharing_cluster::members_of(std::size_t index) const
{
    return this->all[index]->sharing->known_members();
}

void sharing_cluster::deliver(std::size_t from, const address& where, const wire::message& body)
{
    ++this->messages;
    if (uniform(this->random) < this->loss || this->cut_off.contains(from)) {
        return;
    }
    for (std::size_t to = 0; to < this->all.size(); ++to) {
        if (address_of(to) == where && !this->cut_off.contains(to)) {
            this->clock.after(message_time,
                              [this, to, envelope = wire::envelope{this->name_of(from), body}] {
                                  if (this->all[to]) {
                                      this->all[to]->sharing->receive(envelope);
                                  }
                              });
        }
    }
}

sharing::sharing_hooks sharing_cluster::hooks_of(std::size_t index,
                                                 const std::weak_ptr<process>& owner)
{
    sharing::sharing_hooks made;
    made.clock = [this] {
        return this->clock.now();
    };
    made.after = [this](duration delay, std::function<void()> work) {
        this->clock.after(delay, std::move(work));
    };
    made.send = [this, index](const address& where, const wire::message& body) {
        this->deliver(index, where, body);
    };
    made.announce = [this, index](const std::string& what, const std::function<void(bool)>& done) {
        this->store.announce(this->name_of(index), what, done);
    };
    made.replace_records = [owner](wire::shared_topic topic,
                                   const std::vector<platform::keyed_record>& records) {
        auto& known = owner.lock()->known[static_cast<std::size_t>(topic)];
        known.clear();
        for (const auto& each : records) {
            known[each.key] = each.value.value_or("");
        }
    };
    made.apply_record = [owner](wire::shared_topic topic, const platform::keyed_record& record) {
        auto& known = owner.lock()->known[static_cast<std::size_t>(topic)];
        const auto value = record.value.value_or("");
        const bool news = known[record.key] != value;
        known[record.key] = value;
        return news;
    };
    made.store_unavailable = [this] {
        ++this->losses;
    };
    made.store_available = [] {
    };
    made.members_changed = [] {
    };
    made.request_rate = [index] {
        return static_cast<double>(index);
    };
    made.random = seeded_random(index);
    made.crash_suspected = [](std::uint64_t) {
    };
    return made;
}

} // namespace azureshore::test
