#include "azureshore/routing/service_router.hpp"

#include "azureshore/routing/internal/permit_holder.hpp"
#include "azureshore/routing/internal/pool_leader.hpp"
#include "azureshore/routing/internal/pool_setup.hpp"
#include "azureshore/routing/internal/timing.hpp"

#include <deque>
#include <map>
#include <utility>

namespace azureshore::routing {

class service_router::state {
public:
    state(vm_id me, data_centre_id at, service_id of, random_source numbers, router_hooks where);

    void configure(time_point now,
                   std::shared_ptr<const configuration::effective_configuration> wanted);
    void update_members(time_point now, membership::view_pointer seen);
    void request(time_point now, ticket_request wish);
    void receive(time_point now, const vm_id& from, const wire::message& body);
    void tick(time_point now);
    [[nodiscard]] time_point next_tick() const;

    // Every entry point starts and ends with these, so that messages to itself are handled inside.
    void enter(time_point now);
    void leave(time_point now);

    void stop(time_point now);

    detail::permit_holder& permits() { return this->holder; }
    [[nodiscard]] const std::map<region_id, std::unique_ptr<detail::pool_leader>>& led() const
    {
        return this->leads;
    }

private:
    void refresh(time_point now);
    void dispatch(time_point now, const vm_id& from, const wire::message& body);
    void send(const vm_id& to, wire::message body);
    detail::pool_leader* lead(time_point now, const pool_id& pool);
    [[nodiscard]] detail::holder_hooks holder_side();
    [[nodiscard]] detail::leader_hooks leader_side();

    template <class Message>
    void to_leader(time_point now, const vm_id& from, const Message& body,
                   void (detail::pool_leader::*handler)(time_point, const vm_id&, const Message&));

    vm_id self;
    data_centre_id here;
    service_id service;
    random_source random;
    router_hooks hooks;
    std::shared_ptr<const configuration::effective_configuration> configuration;
    membership::view_pointer view;
    detail::pool_map pools;
    std::deque<wire::message> to_self;
    detail::permit_holder holder;
    std::map<region_id, std::unique_ptr<detail::pool_leader>> leads;
    bool entered = false;
    bool stopped = false;
    time_point last_tick;
};

service_router::state::state(vm_id me, data_centre_id at, service_id of, random_source numbers,
                             router_hooks where)
    : self(std::move(me)), here(std::move(at)), service(std::move(of)), random(std::move(numbers)),
      hooks(std::move(where)), holder(this->service, this->random(), this->holder_side())
{
}

detail::holder_hooks service_router::state::holder_side()
{
    return {
        [this](ticket_number ticket, const permit& given) { this->hooks.granted(ticket, given); },
        [this](ticket_number ticket, wire::refusal_reason reason, duration retry_after) {
            this->hooks.refused(ticket, reason, retry_after);
        },
        [this](const vm_id& to, wire::message body) { this->send(to, std::move(body)); },
        [this](const observe::decision& made) {
            this->hooks.log(made);
        }};
}

detail::leader_hooks service_router::state::leader_side()
{
    return {[this](const vm_id& to, const wire::message& body) { this->send(to, body); },
            [this](const membership::backend_server& server) { this->hooks.probe(server); },
            [this](const observe::decision& made) {
                this->hooks.log(made);
            }};
}

void service_router::state::send(const vm_id& to, wire::message body)
{
    if (to == this->self) {
        this->to_self.push_back(std::move(body));
        return;
    }
    this->hooks.send(to, body);
}

void service_router::state::enter(time_point now)
{
    if (!this->entered) {
        this->entered = true;
        this->last_tick = now;
        this->holder.started(now);
    }
}

void service_router::state::leave(time_point now)
{
    while (!this->to_self.empty()) {
        const auto body = std::move(this->to_self.front());
        this->to_self.pop_front();
        this->dispatch(now, this->self, body);
    }
}

void service_router::state::configure(
    time_point now, std::shared_ptr<const configuration::effective_configuration> wanted)
{
    if (!wanted || (this->configuration && wanted->revision < this->configuration->revision)) {
        return;
    }
    this->configuration = std::move(wanted);
    this->refresh(now);
}

void service_router::state::update_members(time_point now, membership::view_pointer seen)
{
    this->view = std::move(seen);
    this->refresh(now);
}

void service_router::state::refresh(time_point now)
{
    if (!this->configuration || !this->view) {
        return;
    }
    this->pools = detail::make_pools(this->service, this->self, *this->configuration, *this->view);
    std::vector<detail::pool_view> views;
    for (const auto& [region, pool] : this->pools) {
        views.push_back({region, pool.leaders, pool.in_service});
    }
    this->holder.update(now, views, detail::region_of(*this->configuration, this->here));
    for (auto& [region, leader] : this->leads) {
        leader->update(now, this->pools[region].setup);
    }
    for (const auto& [region, pool] : this->pools) {
        if (!pool.leaders.empty() && pool.leaders.front() == this->self) {
            this->lead(now, {this->service, region});
        }
    }
}

detail::pool_leader* service_router::state::lead(time_point now, const pool_id& pool)
{
    const auto led = this->leads.find(pool.region);
    if (led != this->leads.end()) {
        return led->second.get();
    }
    const auto known = this->pools.find(pool.region);
    if (known == this->pools.end() || this->stopped) {
        return nullptr;
    }
    auto leader = std::make_unique<detail::pool_leader>(now, pool, this->self, this->random(),
                                                        this->leader_side());
    leader->update(now, known->second.setup);
    return (this->leads[pool.region] = std::move(leader)).get();
}

void service_router::state::request(time_point now, ticket_request wish)
{
    const bool known = this->configuration && this->configuration->services.contains(this->service);
    if (this->configuration && !known) {
        this->hooks.refused(wish.ticket, wire::refusal_reason::unknown_service, {});
        return;
    }
    this->holder.request(now, std::move(wish));
}

template <class Message>
void service_router::state::to_leader(time_point now, const vm_id& from, const Message& body,
                                      void (detail::pool_leader::*handler)(time_point, const vm_id&,
                                                                           const Message&))
{
    const auto led = this->leads.find(body.pool.region);
    if (led != this->leads.end()) {
        (led->second.get()->*handler)(now, from, body);
    }
}

void service_router::state::receive(time_point now, const vm_id& from, const wire::message& body)
{
    const auto* about = wire::service_of(body);
    if (about != nullptr && *about == this->service) {
        this->dispatch(now, from, body);
    }
}

void service_router::state::dispatch(time_point now, const vm_id& from, const wire::message& body)
{
    using detail::pool_leader;
    if (const auto* asked = std::get_if<wire::permit_request>(&body)) {
        if (auto* leader = this->lead(now, asked->pool)) {
            leader->request(now, from, *asked);
            return;
        }
        this->send(from, wire::permit_refusal{
                             asked->pool, asked->ticket, wire::refusal_reason::not_leader, {}});
    }
    else if (const auto* cancelled = std::get_if<wire::permit_cancel>(&body)) {
        this->to_leader(now, from, *cancelled, &pool_leader::cancel);
    }
    else if (const auto* returned = std::get_if<wire::permit_return>(&body)) {
        this->to_leader(now, from, *returned, &pool_leader::give_back);
    }
    else if (const auto* told = std::get_if<wire::permit_report>(&body)) {
        this->to_leader(now, from, *told, &pool_leader::report);
    }
    else if (const auto* granted = std::get_if<wire::permit_grant>(&body)) {
        this->holder.granted(now, from, *granted);
    }
    else if (const auto* refused = std::get_if<wire::permit_refusal>(&body)) {
        this->holder.refused(now, from, *refused);
    }
    else if (const auto* queued = std::get_if<wire::permit_queued>(&body)) {
        this->holder.queued(now, from, *queued);
    }
    else if (const auto* claim = std::get_if<wire::leader_claim>(&body)) {
        const auto led = this->leads.find(claim->pool.region);
        if (led != this->leads.end() && from != this->self) {
            led->second->rival_claimed(now);
        }
        this->holder.claimed(now, from, *claim);
    }
}

void service_router::state::stop(time_point now)
{
    this->stopped = true;
    for (auto& [region, leader] : this->leads) {
        leader->stop(now);
    }
}

void service_router::state::tick(time_point now)
{
    this->last_tick = now;
    this->holder.tick(now);
    for (auto& [region, leader] : this->leads) {
        leader->tick(now);
    }
    std::erase_if(this->leads, [this, now](const auto& led) {
        const auto& leaders = this->pools[led.first].leaders;
        const bool first = !leaders.empty() && leaders.front() == this->self;
        return !first && led.second->idle(now);
    });
}

time_point service_router::state::next_tick() const
{
    bool busy = this->holder.busy();
    for (const auto& [region, leader] : this->leads) {
        busy = busy || !leader->quiet(this->last_tick);
    }
    const auto periodic =
        busy ? this->last_tick + detail::tick_interval : this->last_tick + detail::lead_idle_time;
    return std::min(periodic, this->holder.returns_due());
}

service_router::service_router(vm_id self, data_centre_id here, service_id service,
                               random_source random, router_hooks hooks)
    : inner(std::make_unique<state>(std::move(self), std::move(here), std::move(service),
                                    std::move(random), std::move(hooks)))
{
}

service_router::~service_router() = default;

void service_router::configure(
    time_point now, std::shared_ptr<const configuration::effective_configuration> configuration)
{
    this->inner->enter(now);
    this->inner->configure(now, std::move(configuration));
    this->inner->leave(now);
}

void service_router::update_members(time_point now, membership::view_pointer view)
{
    this->inner->enter(now);
    this->inner->update_members(now, std::move(view));
    this->inner->leave(now);
}

void service_router::request(time_point now, ticket_request wish)
{
    this->inner->enter(now);
    this->inner->request(now, std::move(wish));
    this->inner->leave(now);
}

void service_router::cancel(time_point now, ticket_number ticket)
{
    this->inner->permits().cancel(now, ticket);
    this->inner->leave(now);
}

void service_router::release(time_point now, const permit& used, const permit_use& use)
{
    this->inner->permits().finish(now, used, use);
    this->inner->leave(now);
}

void service_router::receive(time_point now, const vm_id& from, const wire::message& body)
{
    this->inner->enter(now);
    this->inner->receive(now, from, body);
    this->inner->leave(now);
}

void service_router::handle_probe_result(time_point now, const backend_id& backend,
                                         const std::optional<probe_result>& result)
{
    for (const auto& [region, leader] : this->inner->led()) {
        leader->probed(now, backend, result);
    }
    this->inner->leave(now);
}

void service_router::stop(time_point now)
{
    this->inner->stop(now);
    this->inner->leave(now);
}

void service_router::tick(time_point now)
{
    this->inner->enter(now);
    this->inner->tick(now);
    this->inner->leave(now);
}

time_point service_router::next_tick() const
{
    return this->inner->next_tick();
}

std::vector<backend_status> service_router::status(time_point) const
{
    std::vector<backend_status> rows;
    for (const auto& [region, leader] : this->inner->led()) {
        leader->add_status(rows);
    }
    return rows;
}

} // namespace azureshore::routing
