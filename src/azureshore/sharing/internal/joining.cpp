#include "azureshore/sharing/internal/sharing_constants.hpp"
#include "azureshore/sharing/internal/sharing_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// How long a daemon that starts waits for one daemon before it asks the next one. The time doubles
// from the first to the second of these: after a loss of all power the seeds are back within
// moments.
constexpr duration first_seed_timeout = std::chrono::milliseconds(40);
constexpr duration max_seed_timeout = std::chrono::milliseconds(200);
// A daemon that starts asks nobody else for this long after another daemon told it to wait.
constexpr duration wait_patience = std::chrono::milliseconds(500);
// This long after its start, a daemon without an answer looks for the others in the store.
constexpr duration seeds_timeout = std::chrono::milliseconds(500);
// After a loss of all power the seeds may be back later than others. A daemon that restarts and
// gets no answer within this time asks those that announced themselves in the store.
constexpr duration early_lookup_delay = std::chrono::milliseconds(80);
// A daemon that finds no other one announced counts as alone from this long after its start.
constexpr duration alone_after = std::chrono::milliseconds(400);
// The time between two attempts of a daemon to load the topics without its seeds doubles from the
// first to the second of these.
constexpr duration first_load_retry_delay = std::chrono::milliseconds(400);
constexpr duration max_load_retry_delay = std::chrono::seconds(2);
// How long a starting daemon counts others as answering after their last answer.
constexpr duration answer_validity = std::chrono::seconds(1);
// Each daemon sends this many snapshots in a window and redirects the others that ask.
constexpr std::size_t max_snapshots_per_window = 4;
constexpr duration snapshot_window = std::chrono::milliseconds(100);
// Daemons that were served longer ago may have ended, so nobody is redirected to them.
constexpr duration served_daemons_validity = std::chrono::seconds(1);
// Redirects that a daemon follows before it starts over.
constexpr std::uint32_t max_redirects = 16;
// Announced daemons that a starting daemon asks for a snapshot.
constexpr std::size_t announced_daemons_asked = 3;

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
                              data_centre_id{text.substr(0, space)}};
}

} // namespace

bool store_sharing::state::is_seed() const
{
    return std::find(this->settings.seeds.begin(), this->settings.seeds.end(),
                     this->settings.own_address) != this->settings.seeds.end();
}

void store_sharing::state::start()
{
    this->started_at = this->now();
    this->peer_answered_at = this->now() - std::chrono::hours(1);
    this->peer_heard_at = this->peer_answered_at;
    this->load_retry_delay = first_load_retry_delay;
    this->seed_timeout = first_seed_timeout;
    if (this->is_seed()) {
        this->list_unlisted_topics();
    }
    this->ask_next_seed();
    if (!this->settings.first_start && !this->is_seed()) {
        this->run_after(this->jittered(early_lookup_delay), [](state& self) {
            if (!self.topics_listed() && self.peer_answered_at < self.started_at) {
                self.list_members();
            }
        });
    }
    this->run_after(this->jittered(seeds_timeout), [](state& self) { self.load_without_seeds(); });
    this->watch_for_others();
}

void store_sharing::state::ask_next_seed()
{
    if (this->topics_listed() && this->members_listed) {
        return;
    }
    if (this->unasked_seeds.empty()) {
        this->unasked_seeds = this->settings.seeds;
        std::erase(this->unasked_seeds, this->settings.own_address);
    }
    if (this->now() >= this->next_request_at && !this->unasked_seeds.empty()) {
        const auto chosen = this->unasked_seeds.begin() +
                            static_cast<std::ptrdiff_t>(
                                uniform_index(this->hooks.random, this->unasked_seeds.size()));
        const auto seed = *chosen;
        this->unasked_seeds.erase(chosen);
        this->request_snapshot(seed, 0);
    }
    this->run_after(this->jittered(this->seed_timeout), [](state& self) { self.ask_next_seed(); });
    this->seed_timeout = std::min(this->seed_timeout * 2, max_seed_timeout);
}

void store_sharing::state::request_snapshot(const address& recipient, std::uint32_t redirects)
{
    this->next_request_at = this->now() + this->seed_timeout;
    // A daemon that listed the topics itself may have older records of a restored store.
    this->hooks.send({recipient},
                     wire::topics_pull{this->known_members.self(), this->topics[0].next,
                                       this->topics[1].next,
                                       !this->topics_listed() || !this->members_listed, redirects});
}

void store_sharing::state::handle_redirect(const wire::pull_redirect& redirect)
{
    this->peer_answered_at = this->now();
    this->told_member_count = std::max<std::size_t>(this->told_member_count, redirect.member_count);
    if (redirect.targets.empty()) {
        this->next_request_at = this->now() + wait_patience;
    }
    if (this->topics_listed() || redirect.targets.empty() || redirect.redirects > max_redirects) {
        return;
    }
    const auto& target =
        redirect.targets[uniform_index(this->hooks.random, redirect.targets.size())];
    this->request_snapshot(target.where, redirect.redirects);
}

// Looks in the store for other daemons and for the topics themselves, if no other daemon answers.
// Where others answer that have no snapshot either, only a few of them call the store. Others send
// both topics at once: if only one arrives, and the other has not followed by the next round, its
// messages are lost each time, as one that no datagram can carry is.
void store_sharing::state::load_without_seeds()
{
    if (this->topics_listed() && this->members_listed) {
        return;
    }
    const bool others_answer = this->now() - this->peer_answered_at < answer_validity;
    const bool half_listed = this->topics[0].listed != this->topics[1].listed;
    const bool stays_half_listed = std::exchange(this->was_half_listed, half_listed) && half_listed;
    if (!others_answer || stays_half_listed || this->is_chosen_to_call(starting_caller_count)) {
        if (this->looked_for_members || this->members_listed) {
            this->list_unlisted_topics();
        }
        if (!this->members_listed) {
            this->looked_for_members = true;
            this->list_members();
        }
    }
    this->run_after(this->jittered(this->load_retry_delay),
                    [](state& self) { self.load_without_seeds(); });
    this->load_retry_delay = std::min(this->load_retry_delay * 2, max_load_retry_delay);
}

void store_sharing::state::list_members()
{
    this->members_listed_at = this->now();
    this->members_topic.list([weak = this->weak_from_this()](const platform::keyed_list& result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!result.ok) {
            // Without a list of the others, this daemon still needs the topics.
            self->list_unlisted_topics();
            return;
        }
        self->handle_announced_members(self->read_announcements(result.records));
    });
}

store_sharing::state::announced_members
store_sharing::state::read_announcements(const std::vector<platform::keyed_record>& records) const
{
    announced_members found;
    const auto own = std::find_if(records.begin(), records.end(), [this](const auto& each) {
        return each.key == this->settings.self.value;
    });
    found.self_announced = own != records.end();
    for (const auto& each : records) {
        const auto member = parse_announcement(each);
        if (!member || member->name == this->settings.self) {
            continue;
        }
        const bool is_later = !found.self_announced || each.offset > own->offset;
        found.other_is_later = found.other_is_later || is_later;
        if (!this->known_members.contains(member->name)) {
            found.unknown_is_later = found.unknown_is_later || is_later;
            found.unknown.push_back(*member);
        }
    }
    return found;
}

void store_sharing::state::handle_announced_members(const announced_members& found)
{
    const auto& unknown = found.unknown;
    const bool knows_its_place = this->met_others || this->known_members.confirmed_alone();
    if (found.other_is_later && knows_its_place && this->is_reader()) {
        // A daemon that starts, and that messages don't reach, learns so that this one lives. One
        // that still waits for such an announcement must not follow it with its own.
        this->announce();
    }
    if (this->topics_listed()) {
        for (const auto& each : unknown) {
            this->send_digests(each, false);
        }
    }
    else {
        // Others that start now ask this daemon if it is announced.
        if (found.self_announced || unknown.empty()) {
            this->list_unlisted_topics();
        }
        for (std::size_t asked = 0; asked < announced_daemons_asked && !unknown.empty(); ++asked) {
            const auto& chosen = unknown[uniform_index(this->hooks.random, unknown.size())];
            this->request_snapshot(chosen.where, 0);
            this->unasked_seeds.push_back(chosen.where);
        }
    }
    if (unknown.empty() && this->now() - this->started_at >= alone_after &&
        !std::exchange(this->members_listed, true)) {
        this->hooks.members_changed();
    }
}

// Makes this daemon known to those that start while no seed answers.
void store_sharing::state::announce(const std::function<void(state&, bool stored)>& done)
{
    this->announced = true;
    const auto announcement =
        this->settings.data_centre.value + ' ' + to_string(this->settings.own_address);
    this->hooks.announce(announcement, [weak = this->weak_from_this(), done](bool stored) {
        if (const auto self = weak.lock()) {
            self->announced = stored;
            if (done) {
                done(*self, stored);
            }
        }
    });
}

void store_sharing::state::handle_pull(const wire::topics_pull& pull)
{
    const bool known = this->known_members.contains(pull.sender.name);
    this->introduce(pull.sender, pull.redirects == 0);
    if (pull.wants_snapshot) {
        this->serve_snapshot(pull.sender, pull.redirects);
        return;
    }
    if (!known) {
        this->send_digests(pull.sender, false);
    }
    if (!this->topics_listed()) {
        this->send_to({pull.sender}, this->make_redirect({}, 0));
        return;
    }
    this->send_update(pull.sender, this->topics[0], pull.operators_next);
    this->send_update(pull.sender, this->topics[1], pull.registrations_next);
}

// Knowledge that has grown old is only passed on while there is nothing newer to be had.
bool store_sharing::state::may_serve_snapshots() const
{
    return this->topics_listed() &&
           (this->store_unavailable ||
            this->now() - this->topics[1].current_as_of < this->settings.apply_within);
}

void store_sharing::state::serve_snapshot(const wire::member_entry& recipient,
                                          std::uint32_t redirects)
{
    const auto now = this->now();
    if (now - this->serving_window_begin > served_daemons_validity) {
        this->served_daemons.clear();
    }
    if (now - this->serving_window_begin > snapshot_window) {
        this->serving_window_begin = now;
        this->served_in_window = 0;
    }
    const bool may_serve = this->may_serve_snapshots();
    if (may_serve && this->served_in_window < max_snapshots_per_window) {
        this->send_snapshot(recipient);
        return;
    }
    std::vector<wire::member_entry> targets;
    if (may_serve) {
        targets.assign(this->served_daemons.begin(), this->served_daemons.end());
    }
    else {
        targets = this->waiting_daemons;
    }
    const auto is_recipient = [&recipient](const wire::member_entry& each) {
        return each.name == recipient.name;
    };
    const bool waits = std::any_of(targets.begin(), targets.end(), is_recipient) && !may_serve;
    std::erase_if(targets, is_recipient);
    if (!may_serve && (waits || targets.size() < max_snapshots_per_window)) {
        if (!waits) {
            this->waiting_daemons.push_back(recipient);
        }
        this->send_to({recipient}, this->make_redirect({}, redirects));
        return;
    }
    if (targets.empty()) {
        this->send_snapshot(recipient);
        return;
    }
    this->send_to({recipient}, this->make_redirect({targets[this->next_served++ % targets.size()]},
                                                   redirects + 1));
}

wire::pull_redirect store_sharing::state::make_redirect(std::vector<wire::member_entry> targets,
                                                        std::uint32_t redirects) const
{
    return {std::move(targets), redirects, static_cast<std::uint32_t>(this->daemon_count())};
}

void store_sharing::state::serve_waiting_daemons()
{
    if (!this->may_serve_snapshots()) {
        return;
    }
    for (const auto& each : std::exchange(this->waiting_daemons, {})) {
        this->send_snapshot(each);
    }
}

void store_sharing::state::send_snapshot(const wire::member_entry& recipient)
{
    ++this->served_in_window;
    this->served_daemons.push_back(recipient);
    if (this->served_daemons.size() > max_snapshots_per_window) {
        this->served_daemons.pop_front();
    }
    auto entries = this->known_members.others();
    entries.push_back(this->known_members.self());
    this->send_members(recipient, entries);
    for (const auto& each : this->topics) {
        this->send_all_records(recipient, each);
    }
}

std::optional<store_sharing::state::snapshot_content>
store_sharing::state::assemble_snapshot(topic_state& topic, const wire::topic_snapshot& part)
{
    // Parts of several daemons' answers may arrive interleaved.
    constexpr std::size_t max_partial_snapshots = 4;
    auto& partial = topic.partial_snapshots;
    auto found = std::find_if(partial.begin(), partial.end(), [&](const partial_snapshot& each) {
        return each.id == part.snapshot_id;
    });
    if (found == partial.end()) {
        if (partial.size() == max_partial_snapshots) {
            partial.pop_front();
        }
        found = partial.insert(partial.end(), {part.snapshot_id, {}});
    }
    found->parts[part.part] = part;
    if (found->parts.size() < part.parts) {
        return std::nullopt;
    }
    snapshot_content content;
    for (const auto& [part_number, received] : found->parts) {
        for (const auto& each : received.records) {
            if (each.value) {
                content.records.push_back({each.offset, each.key, each.value});
            }
            else {
                content.removals.push_back(each);
            }
        }
        content.earlier_records.insert(content.earlier_records.end(),
                                       received.earlier_records.begin(),
                                       received.earlier_records.end());
    }
    content.before = part.before;
    partial.erase(found);
    for (auto& each : content.earlier_records) {
        each.valid_for = std::clamp(each.valid_for, duration{}, max_age);
    }
    return content;
}

void store_sharing::state::handle_snapshot(const wire::topic_snapshot& snapshot)
{
    this->peer_answered_at = this->now();
    auto& topic = this->topic_for(snapshot.topic);
    if (snapshot.parts == 0) {
        return;
    }
    if (topic.listed && snapshot.next.epoch < topic.next.epoch) {
        this->take_records_of_earlier_epoch(topic, snapshot);
        return;
    }
    const auto content = assemble_snapshot(topic, snapshot);
    if (!content) {
        return;
    }
    const bool has_news = !topic.listed || snapshot.next > topic.next;
    bool taken = true;
    if (has_news) {
        this->apply_list(topic, snapshot.next, *content);
    }
    else {
        taken = this->take_earlier_records(topic, snapshot.next, *content);
    }
    // A broadcast may come from another daemon that listed the restored store.
    if (taken && snapshot.broadcast_id == 0) {
        this->end_search(topic);
    }
    if (!has_news) {
        return;
    }
    topic.missed_records = false;
    topic.current_as_of = this->now() - std::clamp(snapshot.age, duration{}, max_age);
    this->merge_held_list(topic);
    this->serve_waiting_daemons();
    this->check_staleness();
}

} // namespace azureshore::sharing
