#include "azureshore/sharing/internal/sharing_constants.hpp"
#include "azureshore/sharing/internal/sharing_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// The interval between two reads by the reader, as a fraction of sharing_settings::apply_within.
constexpr double reader_interval_fraction = 0.4;
// The same for a reader that does not rank first, so that the first one takes over from it.
constexpr double substitute_interval_fraction = 0.45;
// How old a daemon that is no standby reader lets its records become before it asks others, as a
// fraction of sharing_settings::apply_within, and how much longer it waits at random.
constexpr double pull_fraction = 0.58;
constexpr double pull_jitter_fraction = 0.03;
// How long it then waits before it may read the store, and between two such attempts.
constexpr double pull_wait_fraction = 0.05;
// Records older than this fraction of sharing_settings::apply_within show that the store is
// unavailable, as some daemon would have read it otherwise.
constexpr double unavailable_fraction = 0.95;
// Delay before a failed long poll is followed by a read that does not wait.
constexpr duration lost_wait_retry_delay = std::chrono::milliseconds(50);
// Each news message holds the records of this many most recent reads, so that the loss of one
// message does no harm.
constexpr std::size_t reads_per_news = 2;

} // namespace

void store_sharing::state::list_unlisted_topics()
{
    for (auto& each : this->topics) {
        if (!each.listed && !each.call_in_flight && !each.held) {
            this->list_topic(each);
        }
    }
}

void store_sharing::state::list_topic(topic_state& topic)
{
    topic.call_in_flight = true;
    topic.store.list([weak = this->weak_from_this(), kind = topic.kind, began = this->now(),
                      again = topic.listed](const platform::keyed_list& result) {
        if (const auto self = weak.lock()) {
            self->handle_list_result(self->topic_for(kind), began, again, result);
        }
    });
}

void store_sharing::state::handle_list_result(topic_state& topic, time_point began, bool again,
                                              const platform::keyed_list& result)
{
    topic.call_in_flight = false;
    const wire::topic_position next{result.epoch, result.next_offset};
    // A list of an earlier epoch was made before the store was restored.
    if (!result.ok || next.epoch < topic.next.epoch) {
        this->handle_list_failure(topic);
        return;
    }
    if (!topic.listed && !this->settings.first_start && result.epoch > platform::first_epoch) {
        this->hold_list(topic, result, began);
        return;
    }
    // Other daemons may have told more while the store was listing.
    if (!topic.listed || next > topic.next) {
        topic.snapshot_unsent = again;
        const bool restored = topic.listed && next.epoch > topic.next.epoch;
        this->apply_list(topic, next, {result.records, {}, {}});
        if (restored) {
            this->seek_earlier_records(topic);
        }
    }
    this->handle_store_success(topic, began);
    this->broadcast_unsent_snapshots();
    this->serve_waiting_daemons();
    if (again) {
        this->continue_reading(topic, began);
    }
    this->check_staleness();
}

void store_sharing::state::handle_list_failure(topic_state& topic)
{
    this->handle_store_failure(topic);
    // A seed serves all that start; the others try again as load_without_seeds() decides.
    if (topic.listed || this->is_seed()) {
        this->run_after(this->jittered(store_retry_delay), [kind = topic.kind](state& self) {
            auto& retried_topic = self.topic_for(kind);
            if (!retried_topic.call_in_flight && !retried_topic.held &&
                (!retried_topic.listed || retried_topic.last_call_failed)) {
                self.list_topic(retried_topic);
            }
        });
    }
}

void store_sharing::state::read_topic(topic_state& topic, std::chrono::milliseconds max_wait)
{
    if (!topic.listed) {
        return;
    }
    if (topic.call_in_flight) {
        topic.read_again = true;
        return;
    }
    topic.call_in_flight = true;
    topic.store.read(
        topic.next.offset, max_wait,
        [weak = this->weak_from_this(), kind = topic.kind,
         call = read_call{this->now(), topic.next, max_wait}](const platform::keyed_read& result) {
            if (const auto self = weak.lock()) {
                self->handle_read_result(self->topic_for(kind), call, result);
            }
        });
}

void store_sharing::state::handle_read_result(topic_state& topic, const read_call& call,
                                              const platform::keyed_read& result)
{
    topic.call_in_flight = false;
    // An answer of an earlier epoch was given before the store was restored.
    if (result.outcome == platform::read_outcome::unavailable || result.epoch < topic.next.epoch) {
        // A long poll may have lost its connection long ago, so that it does not show whether the
        // store answers now.
        if (call.max_wait > std::chrono::milliseconds(0)) {
            this->run_after(lost_wait_retry_delay, [kind = topic.kind](state& self) {
                self.read_topic(self.topic_for(kind), std::chrono::milliseconds(0));
            });
        }
        else {
            this->handle_store_failure(topic);
        }
        return;
    }
    if (result.outcome == platform::read_outcome::expired || result.epoch != call.from.epoch) {
        this->list_topic(topic);
        return;
    }
    this->apply_read(topic, result);
    if (topic.next.offset < result.end_offset) {
        this->read_rest(topic, call, result);
        return;
    }
    this->handle_store_success(topic, call.began);
    this->broadcast_unsent_snapshots();
    const bool has_news = topic.kind == wire::shared_topic::registrations ||
                          !topic.recent_reads.back().records.empty();
    auto& operators = this->topic_for(wire::shared_topic::operators);
    if (!this->is_reader()) {
        this->operator_records_unsent =
            this->operator_records_unsent || (has_news && &topic == &operators);
    }
    else {
        // A daemon that takes over reads the operators' topic first and becomes the reader only
        // when it has read the registrations too. The records of its first read have therefore not
        // been sent yet.
        if (&topic != &operators && std::exchange(this->operator_records_unsent, false)) {
            this->send_news(operators);
        }
        if (has_news) {
            this->send_news(topic);
        }
    }
    this->continue_reading(topic, call.began);
}

// The records of a part alone are not passed on: news state that their receivers are now current.
void store_sharing::state::read_rest(topic_state& topic, const read_call& call,
                                     const platform::keyed_read& part)
{
    if (part.next_offset <= call.from.offset) {
        // Nothing in the answer could be read, so the next one would be the same.
        this->handle_store_failure(topic);
        return;
    }
    topic.read_incomplete = true;
    this->read_topic(topic, std::chrono::milliseconds(0));
}

// Goes on to the registrations after the operators' topic, as their news say how far both are read.
void store_sharing::state::continue_reading(topic_state& topic, time_point began)
{
    if (std::exchange(topic.read_again, false)) {
        this->read_topic(topic, std::chrono::milliseconds(0));
        return;
    }
    auto& registrations = this->topic_for(wire::shared_topic::registrations);
    if (topic.kind == wire::shared_topic::operators && !registrations.call_in_flight &&
        began - registrations.current_as_of >= this->max_staleness()) {
        this->read_topic(registrations, std::chrono::milliseconds(0));
        return;
    }
    this->start_operators_long_poll();
    this->find_other_daemons();
}

// The reader announces itself to daemons that start, and looks for daemons that lost contact with
// all others, such as a group that started apart.
void store_sharing::state::find_other_daemons()
{
    if (!this->is_reader()) {
        return;
    }
    if (!this->announced) {
        this->announce();
    }
    if (!this->members_listed_at ||
        this->now() - *this->members_listed_at > members_list_interval) {
        this->list_members();
    }
}

void store_sharing::state::apply_read(topic_state& topic, const platform::keyed_read& result)
{
    const bool continues = std::exchange(topic.read_incomplete, false);
    if (!continues || topic.recent_reads.empty()) {
        topic.recent_reads.push_back({topic.next.offset, topic.next.offset, {}});
    }
    auto& read = topic.recent_reads.back();
    for (const auto& each : result.records) {
        // News from another daemon may have delivered the record before this read ended.
        if (each.offset >= topic.next.offset && this->apply_record(topic, each)) {
            read.records.push_back({each.offset, each.key, each.value});
        }
    }
    topic.next.offset = std::max(topic.next.offset, result.next_offset);
    read.next_offset = topic.next.offset;
    if (topic.recent_reads.size() > reads_per_news) {
        topic.recent_reads.pop_front();
    }
}

void store_sharing::state::handle_store_success(topic_state& topic, time_point began)
{
    topic.last_call_failed = false;
    topic.missed_records = false;
    topic.current_as_of = std::max(topic.current_as_of, began);
    if (topic.kind == wire::shared_topic::registrations) {
        this->own_read_at = began;
    }
    if (!this->topics[0].last_call_failed && !this->topics[1].last_call_failed) {
        this->set_store_unavailable(false);
    }
}

void store_sharing::state::handle_store_failure(topic_state& topic)
{
    topic.last_call_failed = true;
    topic.read_again = false;
    // The parts of a read that was to be continued have not been passed on yet.
    if (!topic.read_incomplete) {
        topic.recent_reads.clear();
    }
    // The store may refuse this daemon alone, or its link to the store may be cut.
    if (std::exchange(topic.missed_records, false)) {
        this->pull_from_others();
    }
    if (this->now() - topic.current_as_of > this->max_staleness()) {
        this->set_store_unavailable(true);
    }
    this->report_outage(topic);
}

void store_sharing::state::set_store_unavailable(bool unavailable)
{
    this->store_unavailable = unavailable;
    if (!unavailable && std::exchange(this->outage_reported, false)) {
        this->hooks.store_available();
    }
}

// Calls of this daemon that fail don't show an outage: another daemon may read the store, and tells
// what it has read before the records are this old.
void store_sharing::state::report_outage(const topic_state& topic)
{
    const bool outage = this->now() - topic.current_as_of >
                        fraction_of(this->settings.apply_within, unavailable_fraction);
    if (outage && !std::exchange(this->outage_reported, true)) {
        this->hooks.store_unavailable();
    }
}

// Returns how old this daemon lets its records become before it reads the store itself, or asks
// others if it is no standby reader. The reader has the shortest limit; the others follow in rank
// order so that they do not read all at once.
duration store_sharing::state::max_staleness() const
{
    const auto bound = this->settings.apply_within;
    const auto rank = this->known_members.rank();
    if (rank == 0) {
        return fraction_of(bound, reader_interval_fraction);
    }
    if (this->is_reader()) {
        return fraction_of(bound, substitute_interval_fraction);
    }
    if (rank < standby_reader_count) {
        return fraction_of(bound, takeover_fraction +
                                      takeover_step_fraction * static_cast<double>(rank - 1));
    }
    return fraction_of(bound, pull_fraction + pull_jitter_fraction * uniform(this->hooks.random));
}

bool store_sharing::state::is_reader() const
{
    if (!this->own_read_at) {
        return false;
    }
    const auto now = this->now();
    const auto takeover_age = fraction_of(this->settings.apply_within, takeover_fraction);
    const bool better_reader_active =
        this->reader && this->known_members.rank_of(*this->reader) < this->known_members.rank() &&
        now - this->reader_heard_at < takeover_age;
    return !better_reader_active && !this->topics[0].last_call_failed &&
           !this->topics[1].last_call_failed && now - *this->own_read_at < takeover_age;
}

std::size_t store_sharing::state::daemon_count() const
{
    return std::max(this->known_members.running_count(), this->told_member_count);
}

bool store_sharing::state::is_chosen_to_call(double callers)
{
    return uniform(this->hooks.random) < callers / static_cast<double>(this->daemon_count());
}

// In a small fleet each daemon must check more often for all of them to make enough calls.
duration store_sharing::state::outage_check_interval() const
{
    const auto bound = this->settings.apply_within;
    const auto all_call = fraction_of(bound, static_cast<double>(this->daemon_count()) /
                                                 (search_calls_per_bound * mean_jitter));
    return std::clamp(all_call, store_retry_delay, fraction_of(bound, reader_interval_fraction));
}

// Reads the store if this daemon's records are older than max_staleness(), or asks other daemons
// first, and schedules the next check for the time at which the records will be that old.
void store_sharing::state::check_staleness()
{
    if (!this->topics_listed()) {
        return;
    }
    const auto now = this->now();
    const auto bound = this->settings.apply_within;
    auto& registrations = this->topic_for(wire::shared_topic::registrations);
    const auto due = registrations.current_as_of + this->max_staleness();
    if (now < due) {
        this->pulled_at.reset();
        this->schedule_check(due - now);
        return;
    }
    if (now - registrations.current_as_of > fraction_of(bound, unavailable_fraction)) {
        this->set_store_unavailable(true);
    }
    this->report_outage(registrations);
    const bool reads_first = this->known_members.rank() < standby_reader_count;
    const bool others_answered = this->pulled_at && this->peer_answered_at >= *this->pulled_at;
    const auto retry_delay = this->store_unavailable ? this->outage_check_interval()
                             : reads_first           ? store_retry_delay
                                                     : fraction_of(bound, pull_wait_fraction);
    const auto callers =
        search_calls_per_bound * mean_jitter * (std::chrono::duration<double>(retry_delay) / bound);
    if (reads_first ||
        (this->pulled_at && (!others_answered || this->is_chosen_to_call(callers)))) {
        this->read_both_topics();
    }
    if (this->known_members.rank() > 0 || this->topics[0].last_call_failed ||
        this->topics[1].last_call_failed) {
        this->pulled_at = now;
        this->pull_from_others();
    }
    this->schedule_check(this->jittered(retry_delay));
}

void store_sharing::state::schedule_check(duration delay)
{
    if (!std::exchange(this->check_scheduled, true)) {
        this->run_after(delay, [](state& self) {
            self.check_scheduled = false;
            self.check_staleness();
        });
    }
}

// The operators' topic is read first, because a news message about the registrations also states
// how far the sender has read the operators' topic, and its receivers then regard their records of
// that topic as current.
void store_sharing::state::read_both_topics()
{
    auto& registrations = this->topic_for(wire::shared_topic::registrations);
    auto& operators = this->topic_for(wire::shared_topic::operators);
    if (!registrations.call_in_flight) {
        this->read_topic(operators.call_in_flight ? registrations : operators,
                         std::chrono::milliseconds(0));
    }
}

// The reader always has a long poll of the operators' topic in flight, so that a change reaches all
// daemons without delay.
void store_sharing::state::start_operators_long_poll()
{
    if (!this->is_reader() || this->topic_for(wire::shared_topic::operators).call_in_flight) {
        return;
    }
    const auto max_wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        fraction_of(this->settings.apply_within, operators_poll_fraction));
    this->read_topic(this->topic_for(wire::shared_topic::operators), max_wait);
}

} // namespace azureshore::sharing
