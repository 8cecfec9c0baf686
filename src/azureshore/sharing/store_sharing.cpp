#include "azureshore/sharing/store_sharing.hpp"

#include "azureshore/sharing/internal/sharing_state.hpp"
#include "azureshore/sharing/internal/sharing_terms.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// Daemons that do not list the topics wait this long for an answer, and at the most that long in
// all, as members may not be known.
constexpr duration answer_limit = std::chrono::milliseconds(400);
constexpr duration start_limit = std::chrono::milliseconds(1500);

// A daemon's announcement: its data centre and its address, with a space between.
std::optional<wire::member_entry> read_announcement(const platform::keyed_record& record)
{
    const auto text = record.value.value_or("");
    const auto space = text.find(' ');
    if (space == std::string::npos) {
        return std::nullopt;
    }
    const auto where = parse_address(text.substr(space + 1));
    if (!where.ok()) {
        return std::nullopt;
    }
    return wire::member_entry{vm_id{record.key}, *where, data_centre_id{text.substr(0, space)},
                              false};
}

} // namespace

store_sharing::state::state(sharing_settings chosen, shared_topics followed, sharing_hooks told)
    : known(chosen.self, chosen.data_centre), settings(std::move(chosen)), hooks(std::move(told)),
      members_topic(std::move(followed.members)),
      topics{followed_topic{wire::shared_topic::operators, std::move(followed.operators)},
             followed_topic{wire::shared_topic::registrations, std::move(followed.registrations)}}
{
}

store_sharing::state::followed_topic& store_sharing::state::topic(wire::shared_topic kind)
{
    return this->topics.at(static_cast<std::size_t>(kind));
}

void store_sharing::state::later(duration wait, std::function<void(state&)> work)
{
    this->hooks.after(wait, [weak = this->weak_from_this(), work = std::move(work)] {
        if (const auto self = weak.lock()) {
            work(*self);
        }
    });
}

void store_sharing::state::start()
{
    this->started = this->now();
    for (const auto& each : this->settings.seeds) {
        if (each != this->settings.where) {
            this->say_hello(each, true);
        }
    }
    this->announce();
    this->later(start_limit, [](state& self) { self.list_unless_learned(); });
}

// The first in the order read the store; the others ask them, and read it when no answer comes.
void store_sharing::state::learn()
{
    if (this->topics_listed()) {
        return;
    }
    if (this->known.rank() < listing_ranks) {
        this->list_unless_learned();
        return;
    }
    for (const auto& each : this->known.others()) {
        if (this->known.rank_of(each.name) < listing_ranks) {
            this->say_hello(each.where, true);
        }
    }
    this->later(answer_limit, [](state& self) { self.list_unless_learned(); });
}

void store_sharing::state::list_unless_learned()
{
    for (auto& each : this->topics) {
        if (!each.listed && !each.busy) {
            this->list(each);
        }
    }
}

void store_sharing::state::take_list(followed_topic& from, std::uint64_t next,
                                     const std::vector<platform::keyed_record>& records)
{
    from.listed = true;
    from.next = next;
    from.rounds.clear();
    from.newest.clear();
    for (const auto& each : records) {
        from.newest[each.key] = {each.offset, each.key, each.value};
    }
    this->hooks.replace_records(from.kind, records);
}

bool store_sharing::state::take_record(followed_topic& from, const platform::keyed_record& record)
{
    if (record.value) {
        from.newest[record.key] = {record.offset, record.key, record.value};
    }
    else {
        from.newest.erase(record.key);
    }
    return this->hooks.apply_record(from.kind, record);
}

bool store_sharing::state::topics_listed() const
{
    return this->topics[0].listed && this->topics[1].listed;
}

// Others learn of this daemon by the store; it learns of them once it can be found itself, so of
// two that start together at least one knows the other.
void store_sharing::state::announce()
{
    const auto what = this->settings.data_centre.value + ' ' + to_string(this->settings.where);
    this->hooks.announce(what, [weak = this->weak_from_this()](bool done) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!done) {
            self->later(retry_pause * 2, [](state& again) { again.announce(); });
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
            self->later(retry_pause * 2, [](state& again) { again.list_members(); });
            return;
        }
        for (const auto& each : result.records) {
            if (const auto member = read_announcement(each)) {
                self->known.heard(self->now(), *member);
            }
        }
        for (const auto& each : self->known.others()) {
            self->say_hello(each.where);
        }
        self->members_listed = true;
        self->hooks.members_changed();
        self->learn();
    });
}

void store_sharing::state::leave()
{
    this->leaving = true;
    for (const auto& each : this->known.others()) {
        this->say_hello(each.where);
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
    return this->inner->known;
}

} // namespace azureshore::sharing
