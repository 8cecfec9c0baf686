#include "azureshore/sharing/internal/sharing_constants.hpp"
#include "azureshore/sharing/internal/sharing_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// The interval between two reads by the reader, as a fraction of sharing_settings::apply_within.
constexpr double reader_interval_fraction = 0.4;
// Daemons that rank beyond max_takeover_steps wait for an additional random time, up to this
// fraction of sharing_settings::apply_within.
constexpr double takeover_jitter_fraction = 0.15;
// The reader's long poll of the operators' topic ends after this fraction of apply_within. The
// store does not always wake a waiting read, and a connection may have gone silent.
constexpr double operators_poll_fraction = 0.5;
// Each news message holds the records of this many most recent reads, so that the loss of one
// message does no harm.
constexpr std::size_t reads_per_news = 2;

} // namespace

void store_sharing::state::list_topic(topic_state& topic)
{
    topic.call_in_flight = true;
    topic.store.list([weak = this->weak_from_this(), kind = topic.kind,
                      began = this->now()](const platform::keyed_list& result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        auto& listed_topic = self->topic_for(kind);
        listed_topic.call_in_flight = false;
        if (!result.ok) {
            self->handle_store_failure(listed_topic);
            self->run_after(store_retry_delay, [kind](state& live_state) {
                if (!live_state.topic_for(kind).listed &&
                    !live_state.topic_for(kind).call_in_flight) {
                    live_state.list_topic(live_state.topic_for(kind));
                }
            });
            return;
        }
        const bool was_incomplete = !self->topics_listed();
        self->apply_list(listed_topic, result.next_offset, result.records);
        self->handle_store_success(listed_topic, began);
        if (was_incomplete && self->topics_listed() &&
            self->known_members.rank() < listing_daemon_count) {
            self->send_snapshots(self->known_members.others());
        }
        self->check_staleness();
    });
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
    topic.store.read(topic.next_offset, max_wait,
                     [weak = this->weak_from_this(), kind = topic.kind,
                      began = this->now()](const platform::keyed_read& result) {
                         if (const auto self = weak.lock()) {
                             self->handle_read_result(self->topic_for(kind), began, result);
                         }
                     });
}

void store_sharing::state::handle_read_result(topic_state& topic, time_point began,
                                              const platform::keyed_read& result)
{
    topic.call_in_flight = false;
    if (result.outcome == platform::read_outcome::unavailable) {
        this->handle_store_failure(topic);
        return;
    }
    if (result.outcome == platform::read_outcome::expired) {
        this->list_topic(topic);
        return;
    }
    this->apply_read(topic, result);
    this->handle_store_success(topic, began);
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
}

void store_sharing::state::apply_read(topic_state& topic, const platform::keyed_read& result)
{
    read_round read{topic.next_offset, std::max(topic.next_offset, result.next_offset), {}};
    for (const auto& each : result.records) {
        // News from another daemon may have delivered the record before this read ended.
        if (each.offset >= topic.next_offset && this->apply_record(topic, each)) {
            read.records.push_back({each.offset, each.key, each.value});
        }
    }
    topic.next_offset = read.next_offset;
    topic.recent_reads.push_back(std::move(read));
    if (topic.recent_reads.size() > reads_per_news) {
        topic.recent_reads.pop_front();
    }
}

void store_sharing::state::handle_store_success(topic_state& topic, time_point began)
{
    topic.last_call_failed = false;
    topic.missed_records = false;
    topic.current_as_of = std::max(topic.current_as_of, began);
    if (!this->topics[0].last_call_failed && !this->topics[1].last_call_failed) {
        this->set_store_unavailable(false);
    }
}

void store_sharing::state::handle_store_failure(topic_state& topic)
{
    topic.last_call_failed = true;
    topic.read_again = false;
    topic.recent_reads.clear();
    // The store may refuse this daemon alone, or its link to the store may be cut. If another
    // daemon is known to have newer records, this one asks the reader for a snapshot.
    const auto reader_address =
        this->reader ? this->known_members.find(*this->reader) : std::nullopt;
    if (std::exchange(topic.missed_records, false) && reader_address) {
        this->send_hello(*reader_address, true);
    }
    if (this->now() - topic.current_as_of > this->max_staleness()) {
        this->set_store_unavailable(true);
    }
}

void store_sharing::state::set_store_unavailable(bool unavailable)
{
    if (this->store_unavailable == unavailable) {
        return;
    }
    this->store_unavailable = unavailable;
    if (unavailable) {
        this->hooks.store_unavailable();
    }
    else {
        this->hooks.store_available();
    }
}

// Returns how old this daemon lets its records become before it reads the store itself. The reader
// has the shortest limit; the others follow in rank order so that they do not read all at once.
duration store_sharing::state::max_staleness() const
{
    const auto bound = this->settings.apply_within;
    if (this->leaving) {
        return fraction_of(bound, takeover_fraction + takeover_step_fraction * max_takeover_steps);
    }
    const auto rank = this->known_members.rank();
    if (rank == 0) {
        return fraction_of(bound, reader_interval_fraction);
    }
    const auto takeover_steps = std::min(rank - 1, 2 + this->known_members.local_rank());
    if (takeover_steps <= max_takeover_steps) {
        return fraction_of(bound, takeover_fraction +
                                      takeover_step_fraction * static_cast<double>(takeover_steps));
    }
    return fraction_of(bound, takeover_fraction + takeover_step_fraction * max_takeover_steps +
                                  takeover_jitter_fraction * uniform(this->hooks.random));
}

bool store_sharing::state::is_reader() const
{
    if (this->leaving) {
        return false;
    }
    const bool better_reader_active =
        this->reader && this->known_members.rank_of(*this->reader) < this->known_members.rank() &&
        this->now() - this->reader_heard_at <
            fraction_of(this->settings.apply_within, takeover_fraction);
    return !better_reader_active && !this->topics[0].last_call_failed &&
           !this->topics[1].last_call_failed &&
           this->now() - this->topics[1].current_as_of <
               fraction_of(this->settings.apply_within, takeover_fraction);
}

// Reads the store if this daemon's records are older than max_staleness(), and schedules the next
// check for the time at which they will be.
void store_sharing::state::check_staleness()
{
    if (!this->topics_listed()) {
        return;
    }
    const auto now = this->now();
    auto& registrations = this->topic_for(wire::shared_topic::registrations);
    const auto due = registrations.current_as_of + this->max_staleness();
    auto& operators = this->topic_for(wire::shared_topic::operators);
    if (now >= due && !registrations.call_in_flight) {
        // The operators' topic is read first, because a news message about the registrations also
        // states how far the sender has read the operators' topic, and its receivers then regard
        // their records of that topic as current.
        this->read_topic(operators.call_in_flight ? registrations : operators,
                         std::chrono::milliseconds(0));
        if (this->known_members.rank() > 0) {
            this->send_hello_to_best_ranked();
        }
    }
    this->remove_silent_members();
    const auto retry_delay = this->store_unavailable ? this->max_staleness() : store_retry_delay;
    const auto check_delay = now >= due ? retry_delay : due - now;
    if (!std::exchange(this->check_scheduled, true)) {
        this->run_after(check_delay, [](state& self) {
            self.check_scheduled = false;
            self.check_staleness();
        });
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
