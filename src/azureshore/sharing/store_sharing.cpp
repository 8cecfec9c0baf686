#include "azureshore/sharing/store_sharing.hpp"

#include "azureshore/sharing/internal/sharing_constants.hpp"
#include "azureshore/sharing/internal/sharing_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// A daemon that asks others for a snapshot waits this long for it before it lists the topics
// itself.
constexpr duration snapshot_timeout = std::chrono::milliseconds(400);
// This long after its start, a daemon lists the topics that it still lacks in any case, because it
// may not know the other members by then, and so not know which to ask for a snapshot.
constexpr duration startup_timeout = std::chrono::milliseconds(1500);

// An announcement is a daemon's data centre and its address, separated by a space.
std::optional<wire::member_entry> parse_announcement(const platform::keyed_record& record)
{
    const auto text = record.value.value_or("");
    const auto space = text.find(' ');
    if (space == std::string::npos) {
        return std::nullopt;
    }
    const auto member_address = parse_address(text.substr(space + 1));
    if (!member_address.ok()) {
        return std::nullopt;
    }
    return wire::member_entry{vm_id{record.key}, *member_address,
                              data_centre_id{text.substr(0, space)}, false};
}

} // namespace

store_sharing::state::state(sharing_settings own_settings, shared_topics store_topics,
                            sharing_hooks owner_hooks)
    : known_members(own_settings.self, own_settings.data_centre), settings(std::move(own_settings)),
      hooks(std::move(owner_hooks)), members_topic(std::move(store_topics.members)),
      topics{topic_state{wire::shared_topic::operators, std::move(store_topics.operators)},
             topic_state{wire::shared_topic::registrations, std::move(store_topics.registrations)}}
{
}

store_sharing::state::topic_state& store_sharing::state::topic_for(wire::shared_topic kind)
{
    return this->topics.at(static_cast<std::size_t>(kind));
}

void store_sharing::state::run_after(duration delay, std::function<void(state&)> action)
{
    this->hooks.after(delay, [weak = this->weak_from_this(), action = std::move(action)] {
        if (const auto self = weak.lock()) {
            action(*self);
        }
    });
}

void store_sharing::state::start()
{
    this->started_at = this->now();
    for (const auto& each : this->settings.seeds) {
        if (each != this->settings.own_address) {
            this->send_hello(each, true);
        }
    }
    this->announce();
    this->run_after(startup_timeout, [](state& self) { self.list_unlisted_topics(); });
}

// The first daemons in rank order list the topics. The others ask those for a snapshot and list the
// topics themselves when none arrives in time.
void store_sharing::state::load_topics()
{
    if (this->topics_listed()) {
        return;
    }
    if (this->known_members.rank() < listing_daemon_count) {
        this->list_unlisted_topics();
        return;
    }
    for (const auto& each : this->known_members.others()) {
        if (this->known_members.rank_of(each.name) < listing_daemon_count) {
            this->send_hello(each.where, true);
        }
    }
    this->run_after(snapshot_timeout, [](state& self) { self.list_unlisted_topics(); });
}

void store_sharing::state::list_unlisted_topics()
{
    for (auto& each : this->topics) {
        if (!each.listed && !each.call_in_flight) {
            this->list_topic(each);
        }
    }
}

void store_sharing::state::apply_list(topic_state& topic, std::uint64_t next_offset,
                                      const std::vector<platform::keyed_record>& records)
{
    topic.listed = true;
    topic.next_offset = next_offset;
    topic.recent_reads.clear();
    topic.newest_records.clear();
    for (const auto& each : records) {
        topic.newest_records[each.key] = {each.offset, each.key, each.value};
    }
    this->hooks.replace_records(topic.kind, records);
}

bool store_sharing::state::apply_record(topic_state& topic, const platform::keyed_record& record)
{
    if (record.value) {
        topic.newest_records[record.key] = {record.offset, record.key, record.value};
    }
    else {
        topic.newest_records.erase(record.key);
    }
    return this->hooks.apply_record(topic.kind, record);
}

bool store_sharing::state::topics_listed() const
{
    return this->topics[0].listed && this->topics[1].listed;
}

// Announces this daemon in the store and lists the other members only afterwards, so that of two
// daemons that start together at least one finds the other.
void store_sharing::state::announce()
{
    const auto announcement =
        this->settings.data_centre.value + ' ' + to_string(this->settings.own_address);
    this->hooks.announce(announcement, [weak = this->weak_from_this()](bool announced) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!announced) {
            self->run_after(store_retry_delay * 2,
                            [](state& live_state) { live_state.announce(); });
            return;
        }
        self->list_members();
    });
}

void store_sharing::state::list_members()
{
    this->members_topic.list([weak = this->weak_from_this()](const platform::keyed_list& result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!result.ok) {
            self->run_after(store_retry_delay * 2,
                            [](state& live_state) { live_state.list_members(); });
            return;
        }
        for (const auto& each : result.records) {
            if (const auto member = parse_announcement(each)) {
                self->known_members.record_member(self->now(), *member);
            }
        }
        for (const auto& each : self->known_members.others()) {
            self->send_hello(each.where);
        }
        self->members_listed = true;
        self->hooks.members_changed();
        self->load_topics();
    });
}

void store_sharing::state::leave()
{
    this->leaving = true;
    for (const auto& each : this->known_members.others()) {
        this->send_hello(each.where);
    }
}

store_sharing::store_sharing(sharing_settings settings, shared_topics topics, sharing_hooks hooks)
    : inner(std::make_shared<state>(std::move(settings), std::move(topics), std::move(hooks)))
{
}

store_sharing::~store_sharing() = default;

void store_sharing::start()
{
    this->inner->start();
}

void store_sharing::leave()
{
    this->inner->leave();
}

void store_sharing::receive(const wire::envelope& received)
{
    this->inner->receive(received);
}

void store_sharing::broadcast_crash_suspicion(std::uint64_t fingerprint)
{
    this->inner->broadcast_crash_suspicion(fingerprint);
}

bool store_sharing::topics_listed() const
{
    return this->inner->topics_listed();
}

bool store_sharing::members_listed() const
{
    return this->inner->members_listed;
}

double store_sharing::total_request_rate() const
{
    return this->inner->total_request_rate;
}

const members& store_sharing::known_members() const
{
    return this->inner->known_members;
}

} // namespace azureshore::sharing
