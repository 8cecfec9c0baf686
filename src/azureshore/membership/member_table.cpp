#include "azureshore/membership/member_table.hpp"

#include "azureshore/membership/internal/gossip_queue.hpp"
#include "azureshore/membership/internal/peer_table.hpp"
#include "azureshore/membership/internal/prober.hpp"

#include <algorithm>
#include <bit>
#include <string>
#include <utility>

namespace azureshore::membership {

namespace {

// Each update is sent this many times for each doubling of the number of members.
constexpr std::size_t transmissions_per_doubling = 3;

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
    state(member own_member, random_source source, member_hooks callbacks,
          const member_options& initial_options)
        : self(std::move(own_member)), random(std::move(source)), hooks(std::move(callbacks)),
          options(initial_options),
          incarnation(std::max<std::uint64_t>(initial_options.incarnation, 1)), peers(self.name),
          prober(initial_options)
    {
        auto first = std::make_shared<member_view>();
        first->members.push_back(this->self);
        this->current = std::move(first);
    }

    void update_list(time_point now, const std::vector<platform::vm_entry>& entries)
    {
        this->view_changed = this->peers.update_list(now, this->options.dead_retention, entries);
        this->apply_own_entry(entries);
        auto backends = backends_in(entries);
        if (backends != this->current->backends) {
            this->next_backends = std::move(backends);
            this->view_changed = true;
        }
        if (!this->prober.started()) {
            this->prober.restart(now);
        }
        this->publish();
    }

    void receive(time_point now, const vm_id& from, const wire::heartbeat& heartbeat)
    {
        if (from == this->self.name) {
            return;
        }
        const auto condition =
            heartbeat.leaving ? wire::vm_condition::leaving : wire::vm_condition::live;
        this->apply_rumour(
            now, {from, heartbeat.incarnation, condition, heartbeat.data_centre, heartbeat.where},
            true);
        for (const auto& rumour : heartbeat.rumours) {
            this->apply_rumour(now, rumour, false);
        }
        this->handle_heartbeat(from, heartbeat);
        this->publish();
    }

    void leave()
    {
        if (this->self.state == member_state::leaving && this->announced_leaving) {
            return;
        }
        this->announced_leaving = true;
        this->self.state = member_state::leaving;
        ++this->incarnation;
        this->view_changed = true;
        this->announce_leaving_to_successors();
        this->publish();
    }

    void set_revision(std::uint64_t value) { this->revision = value; }

    void tick(time_point now)
    {
        this->compensate_for_pause(now);
        for (const auto& name : this->peers.expire_suspicions(now, this->options.dead_retention)) {
            this->view_changed = true;
            this->log("member-dead", name);
        }
        this->peers.remove_expired(now);
        if (const auto* probe = this->prober.take_due_relay(now)) {
            this->relay(*probe);
        }
        if (const auto failed = this->prober.take_failed_target(now)) {
            this->suspect(now, *failed);
        }
        if (this->prober.probe_due(now)) {
            this->start_probe(now);
        }
        this->publish();
    }

    [[nodiscard]] time_point next_tick() const
    {
        return std::min(this->prober.next_deadline(), this->peers.next_deadline());
    }

    [[nodiscard]] view_pointer view() const { return this->current; }

    [[nodiscard]] std::optional<address> address_of(const vm_id& name) const
    {
        const auto* peer = this->peers.find(name);
        return peer == nullptr ? std::nullopt : std::optional(peer->details.endpoint);
    }

private:
    void apply_own_entry(const std::vector<platform::vm_entry>& entries)
    {
        for (const auto& each : entries) {
            const bool leaving =
                each.state == platform::vm_state::leaving || this->announced_leaving;
            const auto next = leaving ? member_state::leaving : member_state::live;
            if (each.name == this->self.name && next != this->self.state) {
                this->self.state = next;
                this->view_changed = true;
            }
        }
    }

    // A tick that is more than a probe period late is treated as a pause of this VM. Answers missed
    // because of the pause do not show that other VMs failed, and refutations that arrived during
    // it are still unread, so all deadlines are extended and the pending probe is dropped.
    void compensate_for_pause(time_point now)
    {
        const auto due = this->next_tick();
        if (due == time_point::max() || now - due <= this->options.probe_period) {
            return;
        }
        this->peers.extend_deadlines(now - due + this->suspicion_timeout());
        this->prober.restart(now);
    }

    // `direct` means that the rumour describes its sender, not a third VM.
    void apply_rumour(time_point now, const wire::rumour& rumour, bool direct)
    {
        if (rumour.subject == this->self.name) {
            this->refute_if_wrong(rumour);
            return;
        }
        const auto result = this->peers.apply(rumour, now + this->suspicion_timeout());
        if (result == detail::update_effect::outdated) {
            this->correct_outdated_sender(rumour, direct);
            return;
        }
        if (result == detail::update_effect::none) {
            return;
        }
        this->gossip.enqueue(rumour.subject);
        if (result == detail::update_effect::updated) {
            this->view_changed = true;
            this->log("member-live", rumour.subject);
        }
        if (result == detail::update_effect::suspected) {
            this->log("member-suspected", rumour.subject);
        }
    }

    // An outdated rumour shows that its sender missed an update, which is sent again.
    void correct_outdated_sender(const wire::rumour& rumour, bool direct)
    {
        if (direct) {
            this->peers.set_sent_outdated_incarnation(rumour.subject, true);
        }
        else if (rumour.condition == wire::vm_condition::suspected) {
            this->gossip.enqueue(rumour.subject);
        }
    }

    // Raises this VM's incarnation if others hold a wrong state of it. Heartbeats carry the
    // incarnation, so no rumour is queued.
    void refute_if_wrong(const wire::rumour& rumour)
    {
        const bool suspicion = rumour.condition == wire::vm_condition::suspected;
        const bool up_to_date =
            rumour.incarnation == this->incarnation && !suspicion &&
            (rumour.condition == wire::vm_condition::leaving) == this->announced_leaving;
        if (rumour.incarnation >= this->incarnation && !up_to_date) {
            this->incarnation = rumour.incarnation + 1;
            this->log("suspicion-refuted", this->self.name);
        }
    }

    void handle_heartbeat(const vm_id& from, const wire::heartbeat& heartbeat)
    {
        switch (heartbeat.purpose) {
        case wire::heartbeat_purpose::probe:
            this->send(from, wire::heartbeat_purpose::answer, heartbeat.sequence, heartbeat.origin,
                       this->self.name);
            break;
        case wire::heartbeat_purpose::relay:
            if (this->peers.find(heartbeat.subject) != nullptr) {
                this->send(heartbeat.subject, wire::heartbeat_purpose::probe, heartbeat.sequence,
                           from, heartbeat.subject);
            }
            break;
        case wire::heartbeat_purpose::answer:
            this->handle_answer(from, heartbeat);
            break;
        }
    }

    void handle_answer(const vm_id& from, const wire::heartbeat& heartbeat)
    {
        if (heartbeat.origin == this->self.name) {
            this->prober.handle_answer(heartbeat.sequence);
        }
        // An answer is forwarded only if it comes from the probed VM itself, so that it travels at
        // most two hops.
        else if (heartbeat.subject == from && this->peers.find(heartbeat.origin) != nullptr) {
            this->send(heartbeat.origin, wire::heartbeat_purpose::answer, heartbeat.sequence,
                       heartbeat.origin, from);
        }
    }

    void start_probe(time_point now)
    {
        if (const auto* probe = this->prober.start(now, this->peers, this->random)) {
            this->send(probe->target, wire::heartbeat_purpose::probe, probe->sequence,
                       this->self.name, probe->target);
        }
        if (!this->peers.listed_dead().empty() && this->prober.dead_probe_due()) {
            const auto target = this->peers.listed_dead().pick(this->random);
            this->send(target, wire::heartbeat_purpose::probe, 0, this->self.name, target);
        }
    }

    void relay(const detail::pending_probe& probe)
    {
        const auto& not_dead = this->peers.not_dead();
        const auto count = not_dead.empty() ? 0 : this->options.relay_count;
        for (std::size_t i = 0; i < count; ++i) {
            const auto relay_vm = not_dead.pick(this->random);
            if (relay_vm != probe.target) {
                this->send(relay_vm, wire::heartbeat_purpose::relay, probe.sequence,
                           this->self.name, probe.target);
            }
        }
    }

    void suspect(time_point now, const vm_id& name)
    {
        if (this->peers.suspect(name, now + this->suspicion_timeout())) {
            this->gossip.enqueue(name);
            this->log("member-suspected", name);
        }
    }

    void announce_leaving_to_successors()
    {
        const auto count = std::min(this->options.successor_count, this->peers.not_dead().size());
        for (std::size_t i = 0; i < count; ++i) {
            const auto target = *this->peers.successor(i);
            this->send(target, wire::heartbeat_purpose::probe, 0, this->self.name, target);
        }
    }

    void send(const vm_id& to, wire::heartbeat_purpose purpose, std::uint64_t sequence,
              const vm_id& origin, const vm_id& subject)
    {
        wire::heartbeat heartbeat;
        heartbeat.incarnation = this->incarnation;
        heartbeat.leaving = this->announced_leaving;
        heartbeat.revision = this->revision;
        heartbeat.purpose = purpose;
        heartbeat.sequence = sequence;
        heartbeat.origin = origin;
        heartbeat.subject = subject;
        heartbeat.data_centre = this->self.data_centre;
        heartbeat.where = this->self.endpoint;
        heartbeat.rumours = this->rumours_for(to);
        this->hooks.send(to, heartbeat);
    }

    std::vector<wire::rumour> rumours_for(const vm_id& to)
    {
        std::vector<wire::rumour> rumours;
        this->add_rumour_about_receiver(to, rumours);
        const auto limit = transmissions_per_doubling * this->member_count_bits();
        for (const auto& name :
             this->gossip.take(this->options.max_rumours_per_heartbeat - 2, limit)) {
            if (name != to) {
                this->add_rumour(name, rumours);
            }
        }
        this->add_anti_entropy_rumour(rumours);
        return rumours;
    }

    void add_rumour_about_receiver(const vm_id& to, std::vector<wire::rumour>& rumours)
    {
        const auto* peer = this->peers.find(to);
        if (peer != nullptr &&
            (peer->liveness != detail::peer_liveness::live || peer->sent_outdated_incarnation)) {
            rumours.push_back(detail::peer_table::to_rumour(*peer));
            this->peers.set_sent_outdated_incarnation(to, false);
        }
    }

    // Each heartbeat carries the state of one random VM, which repairs what gossip missed. Dead VMs
    // are chosen as often as all others together: they are fewer and matter more.
    void add_anti_entropy_rumour(std::vector<wire::rumour>& rumours)
    {
        const auto& dead = this->peers.listed_dead();
        const auto& not_dead = this->peers.not_dead();
        const bool choose_dead = !dead.empty() && uniform(this->random) < 0.5;
        if (choose_dead || !not_dead.empty()) {
            this->add_rumour((choose_dead ? dead : not_dead).pick(this->random), rumours);
        }
    }

    void add_rumour(const vm_id& name, std::vector<wire::rumour>& rumours) const
    {
        const auto* peer = this->peers.find(name);
        const bool known_only_from_list = peer != nullptr && peer->incarnation == 0 &&
                                          peer->liveness == detail::peer_liveness::live;
        if (peer != nullptr && !known_only_from_list) {
            rumours.push_back(detail::peer_table::to_rumour(*peer));
        }
    }

    // Grows by one with each doubling of the number of members.
    [[nodiscard]] std::size_t member_count_bits() const
    {
        return std::bit_width(this->peers.not_dead().size() + 1);
    }

    [[nodiscard]] duration suspicion_timeout() const
    {
        return this->options.probe_period *
               static_cast<std::int64_t>(this->options.suspicion_periods +
                                         this->member_count_bits());
    }

    void publish()
    {
        if (!std::exchange(this->view_changed, false)) {
            return;
        }
        auto next = std::make_shared<member_view>();
        next->members = this->current_members();
        next->listed_dead = this->peers.listed_dead().all();
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

    [[nodiscard]] std::vector<member> current_members() const
    {
        std::vector<member> members{this->self};
        for (const auto& [name, peer] : this->peers.all()) {
            if (peer.liveness != detail::peer_liveness::dead) {
                const bool leaving = peer.announced_leaving || peer.listed_leaving;
                members.push_back(peer.details);
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
    bool announced_leaving = false;
    detail::peer_table peers;
    detail::prober prober;
    detail::gossip_queue gossip;
    bool view_changed = false;
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
    if (const auto* heartbeat = std::get_if<wire::heartbeat>(&body)) {
        this->inner->receive(now, from, *heartbeat);
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
