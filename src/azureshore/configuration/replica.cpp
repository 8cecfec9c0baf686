#include "azureshore/configuration/replica.hpp"

#include "azureshore/configuration/fold.hpp"
#include "azureshore/configuration/internal/fold_log.hpp"
#include "azureshore/configuration/internal/record_store.hpp"
#include "azureshore/configuration/internal/snapshot_timer.hpp"
#include "azureshore/configuration/internal/spread.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace azureshore::configuration {

std::string_view to_string(readiness state)
{
    switch (state) {
    case readiness::ready:
        return "ready";
    case readiness::nothing_known:
        return "nothing-known";
    case readiness::snapshot_missing:
        return "snapshot-missing";
    case readiness::nothing_published:
        return "nothing-published";
    }
    return "unknown";
}

class replica::state {
public:
    state(vm_id name, random_source source, replica_hooks actions, replica_settings rules)
        : self(std::move(name)), random(std::move(source)), hooks(std::move(actions)),
          settings(rules), pending(this->settings.max_pending_records),
          kept(this->settings.kept_records, this->settings.kept_bytes),
          gossip(this->settings, this->random), snapshots(this->settings)
    {
    }

    void log_read(time_point now, const platform::read_result& result)
    {
        if (result.outcome == platform::read_outcome::unavailable) {
            return;
        }
        this->log_answered = true;
        this->log_first = std::max(this->log_first, result.first_offset);
        this->snapshots.log_starts_at(this->log_first);
        const auto before = this->reached();
        for (const auto& each : result.records) {
            this->take(now, each.offset, each.bytes);
        }
        this->learned(now, before, {});
        this->caught_up = this->folded.next_offset() >= result.next_offset;
    }

    std::uint64_t next_offset() const
    {
        auto from = this->folded.next_offset();
        if (from < this->log_first) {
            from = std::max(this->log_first, this->pending.floor());
        }
        return this->pending.first_missing(from);
    }

    void append_ended(time_point now, std::uint64_t append_id,
                      const platform::append_result& result)
    {
        this->snapshots.ended(now, append_id, result.outcome == platform::append_outcome::accepted);
    }

    void receive(time_point now, const vm_id& from, const wire::message& body)
    {
        if (const auto* records = std::get_if<wire::configuration_records>(&body)) {
            this->receive_records(now, from, *records);
        }
        else if (const auto* pull = std::get_if<wire::configuration_pull>(&body)) {
            this->answer_pull(from, pull->from);
        }
        else if (const auto* whole = std::get_if<wire::configuration_state>(&body)) {
            this->receive_state(now, from, *whole);
        }
        else if (const auto* notice = std::get_if<wire::configuration_notice>(&body)) {
            this->receive_notice(now, from, *notice);
        }
    }

    void update_peers(std::vector<vm_id> peers)
    {
        std::erase(peers, this->self);
        this->gossip.update_peers(std::move(peers));
    }

    void heard(time_point now, const vm_id& peer, std::uint64_t next_offset)
    {
        this->gossip.heard(now, peer, next_offset, this->folded.next_offset());
    }

    void tick(time_point now)
    {
        this->last_tick = now;
        for (const auto& peer : this->gossip.notices_due(now)) {
            this->send(peer, this->notice(now));
        }
        const bool ready = this->current() != nullptr;
        for (const auto& peer : this->gossip.pulls_due(now, this->folded.next_offset(), ready)) {
            this->send(peer, wire::configuration_pull{this->folded.next_offset()});
        }
        this->renew_snapshot(now);
    }

    time_point next_tick() const
    {
        const auto due = this->gossip.next();
        return this->may_append() ? std::min(due, this->snapshots.next(this->last_tick)) : due;
    }

    std::shared_ptr<const effective_configuration> current() const
    {
        return this->folded.effective();
    }

    readiness ready() const
    {
        if (this->current()) {
            return readiness::ready;
        }
        if (!this->log_answered) {
            return readiness::nothing_known;
        }
        return this->folded.next_offset() < this->log_first ? readiness::snapshot_missing
                                                            : readiness::nothing_published;
    }

    const folded_state& folded_records() const { return this->folded; }

    std::string snapshot() const { return wire::encode_record(this->folded.snapshot()); }

    replica_counters counters;

private:
    // How far the state was before records came.
    struct progress {
        std::uint64_t next = 0;
        std::uint64_t revision = 0;
    };

    progress reached() const { return {this->folded.next_offset(), this->folded.revision()}; }

    void send(const vm_id& to, const wire::message& body)
    {
        ++this->counters.messages_sent;
        this->hooks.send(to, body);
    }

    void receive_records(time_point now, const vm_id& from, const wire::configuration_records& body)
    {
        const auto before = this->reached();
        for (const auto& each : body.records) {
            this->take(now, each.offset, each.bytes);
        }
        this->learned(now, before, from);
        if (!body.records.empty()) {
            this->heard(now, from, body.records.back().offset + 1);
        }
    }

    void receive_state(time_point now, const vm_id& from, const wire::configuration_state& body)
    {
        const auto before = this->reached();
        this->adopt(body.snapshot, from.value);
        this->learned(now, before, from);
    }

    void receive_notice(time_point now, const vm_id& from, const wire::configuration_notice& body)
    {
        this->heard(now, from, body.next_offset);
        if (body.snapshot_age) {
            this->snapshots.seen(now - *body.snapshot_age, body.snapshot_covers);
        }
        if (body.next_offset < this->folded.next_offset()) {
            this->send(from, this->notice(now));
        }
    }

    wire::configuration_notice notice(time_point now) const
    {
        return {this->folded.next_offset(), this->snapshots.covers(), this->snapshots.age(now)};
    }

    void answer_pull(const vm_id& from, std::uint64_t offset)
    {
        if (offset >= this->folded.next_offset()) {
            return;
        }
        if (auto records = this->kept.from(offset)) {
            this->send(from, wire::configuration_records{std::move(*records)});
            return;
        }
        this->send(from, wire::configuration_state{this->snapshot()});
    }

    // Takes a record from the log or a peer; one that comes early waits, unless it is a snapshot
    // that makes the missing ones unnecessary.
    void take(time_point now, std::uint64_t offset, const std::string& bytes)
    {
        if (offset < this->folded.next_offset()) {
            return;
        }
        if (offset > this->folded.next_offset()) {
            this->adopt(bytes, "log");
        }
        this->pending.add(offset, bytes);
        this->fold_pending(now);
    }

    void fold_pending(time_point now)
    {
        this->pending.drop_below(this->folded.next_offset());
        auto bytes = this->pending.take(this->folded.next_offset());
        while (bytes) {
            this->fold(now, std::move(*bytes));
            bytes = this->pending.take(this->folded.next_offset());
        }
    }

    void fold(time_point now, std::string bytes)
    {
        const auto offset = this->folded.next_offset();
        const auto outcome = this->folded.apply(bytes);
        if (outcome.snapshot_next) {
            this->snapshots.seen(this->caught_up ? std::optional(now) : std::nullopt,
                                 *outcome.snapshot_next);
        }
        detail::note_outcome(this->hooks.log, this->counters, offset, outcome);
        if (this->hooks.folded) {
            this->hooks.folded(offset, outcome);
        }
        // What changes nothing need not be passed on whole.
        const bool passed_on =
            outcome.made != verdict::no_effect && outcome.made != verdict::oversized;
        this->kept.add({offset, passed_on ? std::move(bytes) : std::string()});
    }

    // Takes a snapshot that reaches further than this state.
    void adopt(const std::string& bytes, const std::string& source)
    {
        const auto body = wire::decode_record(bytes);
        const auto* taken = body.ok() ? std::get_if<wire::configuration_snapshot>(&*body) : nullptr;
        if (taken == nullptr || taken->next_offset <= this->folded.next_offset()) {
            return;
        }
        auto made = folded_state::from_snapshot(*taken);
        if (!made.ok() || made->revision() < this->folded.revision()) {
            ++this->counters.states_rejected;
            this->log("configuration-state-rejected", {{"from", source}});
            return;
        }
        this->folded = std::move(*made);
        this->kept.clear();
        ++this->counters.states_adopted;
        this->log("configuration-state", {{"from", source},
                                          {"next", std::to_string(this->folded.next_offset())},
                                          {"revision", std::to_string(this->folded.revision())}});
    }

    // Puts in force and passes on what came since `before`.
    void learned(time_point now, const progress& before, const vm_id& from)
    {
        this->fold_pending(now);
        this->gossip.set_lacking(now, this->folded.next_offset() < this->log_first);
        if (this->folded.revision() <= before.revision) {
            return;
        }
        this->hooks.in_force(this->folded.effective());
        this->gossip.news(now);
        this->pass_on(now, before.next, from);
    }

    // The records from an offset on as a message, when they are few enough to send unasked.
    std::optional<wire::message> pushed(std::uint64_t from) const
    {
        auto records = this->kept.from(from);
        if (!records) {
            return std::nullopt;
        }
        std::size_t bytes = 0;
        for (const auto& each : *records) {
            bytes += each.bytes.size();
        }
        if (bytes > this->settings.max_push_bytes) {
            return std::nullopt;
        }
        return wire::configuration_records{std::move(*records)};
    }

    void pass_on(time_point now, std::uint64_t news_from, const vm_id& source)
    {
        const auto records = this->pushed(news_from);
        const wire::message told = records ? *records : wire::message(this->notice(now));
        for (const auto& peer : this->gossip.choose(this->settings.fanout)) {
            if (peer != source) {
                this->send(peer, told);
            }
        }
    }

    bool may_append() const { return this->log_answered && this->folded.revision() > 0; }

    void renew_snapshot(time_point now)
    {
        if (!this->may_append() ||
            !this->snapshots.due(now, this->folded.next_offset(), this->random)) {
            return;
        }
        const auto append_id = ++this->last_append;
        this->snapshots.begun(now, append_id, this->folded.next_offset());
        ++this->counters.snapshots_appended;
        this->log("configuration-snapshot",
                  {{"next", std::to_string(this->folded.next_offset())},
                   {"revision", std::to_string(this->folded.revision())}});
        this->hooks.append(append_id, this->snapshot());
    }

    void log(std::string_view event, std::vector<observe::decision_field> fields)
    {
        if (this->hooks.log) {
            this->hooks.log({event, std::move(fields)});
        }
    }

    vm_id self;
    random_source random;
    replica_hooks hooks;
    replica_settings settings;
    folded_state folded;
    detail::pending_records pending;
    detail::kept_records kept;
    detail::spread gossip;
    detail::snapshot_timer snapshots;
    bool log_answered = false;
    // Whether the last read reached the end of the log, so that what comes next is new there.
    bool caught_up = false;
    // The log keeps nothing below this offset.
    std::uint64_t log_first = 0;
    std::uint64_t last_append = 0;
    time_point last_tick;
};

replica::replica(vm_id self, random_source random, replica_hooks hooks, replica_settings settings)
    : inner(std::make_unique<state>(std::move(self), std::move(random), std::move(hooks), settings))
{
}

replica::~replica() = default;

void replica::log_read(time_point now, const platform::read_result& result)
{
    this->inner->log_read(now, result);
}

std::uint64_t replica::next_offset() const
{
    return this->inner->next_offset();
}

void replica::append_ended(time_point now, std::uint64_t append_id,
                           const platform::append_result& result)
{
    this->inner->append_ended(now, append_id, result);
}

void replica::receive(time_point now, const vm_id& from, const wire::message& body)
{
    this->inner->receive(now, from, body);
}

void replica::update_peers(time_point /*now*/, std::vector<vm_id> peers)
{
    this->inner->update_peers(std::move(peers));
}

void replica::peer_revision(time_point now, const vm_id& peer, std::uint64_t revision)
{
    this->inner->heard(now, peer, revision);
}

void replica::tick(time_point now)
{
    this->inner->tick(now);
}

time_point replica::next_tick() const
{
    return this->inner->next_tick();
}

std::shared_ptr<const effective_configuration> replica::current() const
{
    return this->inner->current();
}

readiness replica::ready() const
{
    return this->inner->ready();
}

const folded_state& replica::folded() const
{
    return this->inner->folded_records();
}

std::string replica::snapshot() const
{
    return this->inner->snapshot();
}

const replica_counters& replica::counters() const
{
    return this->inner->counters;
}

} // namespace azureshore::configuration
