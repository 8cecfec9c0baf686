#include "azureshore/membership/member_table.hpp"

#include "azureshore/membership/internal/prober.hpp"
#include "azureshore/membership/internal/roster.hpp"
#include "azureshore/membership/internal/rumour_queue.hpp"

#include <algorithm>
#include <bit>
#include <string>
#include <utility>

namespace azureshore::membership {

namespace {

// News is told this many times for each doubling of the members.
constexpr std::size_t retellings = 3;

template <class T>
bool by_name(const T& left, const T& right)
{
    return left.name < right.name;
}

std::vector<backend_server> backends_in(const std::vector<platform::vm_entry>& entries)
{
    std::vector<backend_server> backends;
    for (const auto& each : entries) {
        if (!each.service.empty()) {
            const bool leaving = each.state == platform::vm_state::leaving;
            backends.push_back(
                {{each.name.value}, each.service, each.data_centre, each.where, leaving});
        }
    }
    std::sort(backends.begin(), backends.end(), by_name<backend_server>);
    return backends;
}

} // namespace

class member_table::state {
public:
    state(member this_vm, random_source numbers, member_hooks actions, const member_options& chosen)
        : self(std::move(this_vm)), random(std::move(numbers)), hooks(std::move(actions)),
          options(chosen), incarnation(std::max<std::uint64_t>(chosen.incarnation, 1)),
          others(self.name), probes(chosen)
    {
        auto first = std::make_shared<member_view>();
        first->members.push_back(this->self);
        this->current = std::move(first);
    }

    void update_list(time_point now, const std::vector<platform::vm_entry>& entries)
    {
        this->changed = this->others.update_list(now, this->options.forget_after, entries);
        this->take_own_entry(entries);
        auto backends = backends_in(entries);
        if (backends != this->current->backends) {
            this->next_backends = std::move(backends);
            this->changed = true;
        }
        if (!this->probes.started()) {
            this->probes.restart(now);
        }
        this->publish();
    }

    void receive(time_point now, const vm_id& from, const wire::heartbeat& beat)
    {
        if (from == this->self.name) {
            return;
        }
        const auto condition =
            beat.leaving ? wire::vm_condition::leaving : wire::vm_condition::live;
        this->take(now, {from, beat.incarnation, condition, beat.data_centre, beat.where}, true);
        for (const auto& heard : beat.rumours) {
            this->take(now, heard, false);
        }
        this->act_on(from, beat);
        this->publish();
    }

    void leave()
    {
        if (this->self.state == member_state::leaving && this->told_leaving) {
            return;
        }
        this->told_leaving = true;
        this->self.state = member_state::leaving;
        ++this->incarnation;
        this->changed = true;
        this->tell_neighbours();
        this->publish();
    }

    void set_revision(std::uint64_t value) { this->revision = value; }

    void tick(time_point now)
    {
        this->allow_for_pause(now);
        for (const auto& name : this->others.bury(now, this->options.forget_after)) {
            this->changed = true;
            this->log("member-dead", name);
        }
        this->others.forget(now);
        if (const auto* probe = this->probes.due_relay(now)) {
            this->relay(*probe);
        }
        if (const auto failed = this->probes.due_failure(now)) {
            this->suspect(now, *failed);
        }
        if (this->probes.due(now)) {
            this->start_probe(now);
        }
        this->publish();
    }

    [[nodiscard]] time_point next_tick() const
    {
        return std::min(this->probes.next_deadline(), this->others.next_deadline());
    }

    [[nodiscard]] view_pointer view() const { return this->current; }

    [[nodiscard]] std::optional<address> address_of(const vm_id& name) const
    {
        const auto* known = this->others.find(name);
        return known == nullptr ? std::nullopt : std::optional(known->about.endpoint);
    }

private:
    void take_own_entry(const std::vector<platform::vm_entry>& entries)
    {
        for (const auto& each : entries) {
            const bool leaving = each.state == platform::vm_state::leaving || this->told_leaving;
            const auto next = leaving ? member_state::leaving : member_state::live;
            if (each.name == this->self.name && next != this->self.state) {
                this->self.state = next;
                this->changed = true;
            }
        }
    }

    // The time in which this VM did not run proves nothing about others, and the refutations that
    // came meanwhile are still to be read: suspicions start anew.
    void allow_for_pause(time_point now)
    {
        const auto due = this->next_tick();
        if (due == time_point::max() || now - due <= this->options.period) {
            return;
        }
        this->others.postpone(now - due + this->suspicion_time());
        this->probes.restart(now);
    }

    void take(time_point now, const wire::rumour& heard, bool direct)
    {
        if (heard.subject == this->self.name) {
            this->take_about_self(heard);
            return;
        }
        const auto result = this->others.take(heard, now + this->suspicion_time());
        if (result == detail::effect::outdated) {
            this->correct(heard, direct);
            return;
        }
        if (result == detail::effect::none) {
            return;
        }
        this->news.put(heard.subject);
        if (result == detail::effect::joined) {
            this->changed = true;
            this->log("member-live", heard.subject);
        }
        if (result == detail::effect::suspected) {
            this->log("member-suspected", heard.subject);
        }
    }

    // Old news shows that its teller missed the newer.
    void correct(const wire::rumour& heard, bool direct)
    {
        if (direct) {
            this->others.set_outdated(heard.subject, true);
        }
        else if (heard.condition == wire::vm_condition::suspected) {
            this->news.put(heard.subject);
        }
    }

    // Each heartbeat carries the incarnation, so a higher one needs no rumour to spread.
    void take_about_self(const wire::rumour& heard)
    {
        const bool suspicion = heard.condition == wire::vm_condition::suspected;
        const bool as_told = heard.incarnation == this->incarnation && !suspicion &&
                             (heard.condition == wire::vm_condition::leaving) == this->told_leaving;
        if (heard.incarnation >= this->incarnation && !as_told) {
            this->incarnation = heard.incarnation + 1;
            this->log("suspicion-refuted", this->self.name);
        }
    }

    void act_on(const vm_id& from, const wire::heartbeat& beat)
    {
        switch (beat.purpose) {
        case wire::heartbeat_purpose::probe:
            this->send(from, wire::heartbeat_purpose::answer, beat.sequence, beat.origin,
                       this->self.name);
            break;
        case wire::heartbeat_purpose::relay:
            if (this->others.find(beat.subject) != nullptr) {
                this->send(beat.subject, wire::heartbeat_purpose::probe, beat.sequence, from,
                           beat.subject);
            }
            break;
        case wire::heartbeat_purpose::answer:
            this->take_answer(from, beat);
            break;
        }
    }

    void take_answer(const vm_id& from, const wire::heartbeat& beat)
    {
        if (beat.origin == this->self.name) {
            this->probes.answered(beat.sequence);
        }
        // Only the VM that answered is passed on, so that an answer travels two steps at most.
        else if (beat.subject == from && this->others.find(beat.origin) != nullptr) {
            this->send(beat.origin, wire::heartbeat_purpose::answer, beat.sequence, beat.origin,
                       from);
        }
    }

    void start_probe(time_point now)
    {
        if (const auto* probe = this->probes.start(now, this->others, this->random)) {
            this->send(probe->target, wire::heartbeat_purpose::probe, probe->sequence,
                       this->self.name, probe->target);
        }
        if (!this->others.dead().empty() && this->probes.dead_probe_due()) {
            const auto target = this->others.dead().pick(this->random);
            this->send(target, wire::heartbeat_purpose::probe, 0, this->self.name, target);
        }
    }

    void relay(const detail::open_probe& probe)
    {
        const auto& present = this->others.present();
        const auto count = present.empty() ? 0 : this->options.relays;
        for (std::size_t i = 0; i < count; ++i) {
            const auto helper = present.pick(this->random);
            if (helper != probe.target) {
                this->send(helper, wire::heartbeat_purpose::relay, probe.sequence, this->self.name,
                           probe.target);
            }
        }
    }

    void suspect(time_point now, const vm_id& name)
    {
        if (this->others.suspect(name, now + this->suspicion_time())) {
            this->news.put(name);
            this->log("member-suspected", name);
        }
    }

    void tell_neighbours()
    {
        const auto count = std::min(this->options.successors, this->others.present().size());
        for (std::size_t i = 0; i < count; ++i) {
            const auto target = *this->others.successor(i);
            this->send(target, wire::heartbeat_purpose::probe, 0, this->self.name, target);
        }
    }

    void send(const vm_id& to, wire::heartbeat_purpose purpose, std::uint64_t sequence,
              const vm_id& origin, const vm_id& subject)
    {
        wire::heartbeat beat;
        beat.incarnation = this->incarnation;
        beat.leaving = this->told_leaving;
        beat.revision = this->revision;
        beat.purpose = purpose;
        beat.sequence = sequence;
        beat.origin = origin;
        beat.subject = subject;
        beat.data_centre = this->self.data_centre;
        beat.where = this->self.endpoint;
        beat.rumours = this->rumours_for(to);
        this->hooks.send(to, beat);
    }

    std::vector<wire::rumour> rumours_for(const vm_id& to)
    {
        std::vector<wire::rumour> told;
        this->tell_what_it_must_refute(to, told);
        const auto limit = retellings * this->doublings();
        for (const auto& name : this->news.take(this->options.max_rumours - 2, limit)) {
            if (name != to) {
                this->add_rumour(name, told);
            }
        }
        this->add_old_news(told);
        return told;
    }

    void tell_what_it_must_refute(const vm_id& to, std::vector<wire::rumour>& told)
    {
        const auto* known = this->others.find(to);
        if (known != nullptr && (known->now != detail::belief::live || known->outdated)) {
            told.push_back(detail::roster::tell(*known));
            this->others.set_outdated(to, false);
        }
    }

    // One rumour of a random VM in each message mends what the epidemic missed. The dead come
    // up as often as the living: they are fewer and matter more.
    void add_old_news(std::vector<wire::rumour>& told)
    {
        const auto& dead = this->others.dead();
        const auto& present = this->others.present();
        const bool of_dead = !dead.empty() && uniform(this->random) < 0.5;
        if (of_dead || !present.empty()) {
            this->add_rumour((of_dead ? dead : present).pick(this->random), told);
        }
    }

    void add_rumour(const vm_id& name, std::vector<wire::rumour>& told) const
    {
        const auto* known = this->others.find(name);
        const bool by_list_alone =
            known != nullptr && known->incarnation == 0 && known->now == detail::belief::live;
        if (known != nullptr && !by_list_alone) {
            told.push_back(detail::roster::tell(*known));
        }
    }

    [[nodiscard]] std::size_t doublings() const
    {
        return std::bit_width(this->others.present().size() + 1);
    }

    [[nodiscard]] duration suspicion_time() const
    {
        return this->options.period *
               static_cast<std::int64_t>(this->options.suspicion_periods + this->doublings());
    }

    void publish()
    {
        if (!std::exchange(this->changed, false)) {
            return;
        }
        auto next = std::make_shared<member_view>();
        next->members = this->members_now();
        next->listed_dead = this->others.dead().all();
        std::sort(next->listed_dead.begin(), next->listed_dead.end());
        if (this->next_backends) {
            next->backends = std::move(*this->next_backends);
        }
        else {
            next->backends = this->current->backends;
        }
        this->next_backends.reset();
        const bool same = next->members == this->current->members &&
                          next->listed_dead == this->current->listed_dead &&
                          next->backends == this->current->backends;
        if (same) {
            return;
        }
        next->version = this->current->version + 1;
        this->current = std::move(next);
        if (this->hooks.view_changed) {
            this->hooks.view_changed(this->current);
        }
    }

    [[nodiscard]] std::vector<member> members_now() const
    {
        std::vector<member> members{this->self};
        for (const auto& [name, known] : this->others.all()) {
            if (known.now != detail::belief::dead) {
                const bool leaving = known.announced_leaving || known.listed_leaving;
                members.push_back(known.about);
                members.back().state = leaving ? member_state::leaving : member_state::live;
            }
        }
        std::sort(members.begin(), members.end(), by_name<member>);
        return members;
    }

    void log(std::string_view event, const vm_id& name) const
    {
        if (this->hooks.log) {
            this->hooks.log({event, {{"vm", name.value}}});
        }
    }

    member self;
    random_source random;
    member_hooks hooks;
    member_options options;
    std::uint64_t incarnation;
    std::uint64_t revision = 0;
    bool told_leaving = false;
    detail::roster others;
    detail::prober probes;
    detail::rumour_queue news;
    bool changed = false;
    std::optional<std::vector<backend_server>> next_backends;
    view_pointer current;
};

member_table::member_table(member self, random_source random, member_hooks hooks,
                           const member_options& options)
    : inner(std::make_unique<state>(std::move(self), std::move(random), std::move(hooks), options))
{
}

member_table::~member_table() = default;

void member_table::update_list(time_point now, const std::vector<platform::vm_entry>& entries)
{
    this->inner->update_list(now, entries);
}

void member_table::receive(time_point now, const vm_id& from, const wire::message& body)
{
    if (const auto* beat = std::get_if<wire::heartbeat>(&body)) {
        this->inner->receive(now, from, *beat);
    }
}

void member_table::leave(time_point /*now*/)
{
    this->inner->leave();
}

void member_table::set_revision(std::uint64_t revision)
{
    this->inner->set_revision(revision);
}

void member_table::tick(time_point now)
{
    this->inner->tick(now);
}

time_point member_table::next_tick() const
{
    return this->inner->next_tick();
}

view_pointer member_table::view() const
{
    return this->inner->view();
}

std::optional<address> member_table::address_of(const vm_id& name) const
{
    return this->inner->address_of(name);
}

} // namespace azureshore::membership
