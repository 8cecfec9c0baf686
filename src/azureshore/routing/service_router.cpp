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
    state(vm_id vm, data_centre_id location, service_id service_name, random_source numbers,
          router_hooks actions);

    void configure(time_point now,
                   std::shared_ptr<const configuration::effective_configuration> updated);
    void update_members(time_point now, membership::view_pointer members);
    void request(time_point now, ticket_request pending);
    void receive(time_point now, const vm_id& from, const wire::message& body);
    void tick(time_point now);
    [[nodiscard]] time_point next_tick() const;

    // `begin_call` records the router's start on the first call. Every entry point ends with
    // `deliver_local_messages`, which handles the messages that this VM has sent to itself.
    void begin_call(time_point now);
    void deliver_local_messages(time_point now);

    void stop(time_point now);

    detail::permit_holder& permits() { return this->holder; }
    [[nodiscard]] const std::map<region_id, std::unique_ptr<detail::pool_leader>>& led_pools() const
    {
        return this->pool_leaders;
    }

private:
    void refresh(time_point now);
    void dispatch(time_point now, const vm_id& from, const wire::message& body);
    void send(const vm_id& recipient, wire::message body);
    detail::pool_leader* leader_for(time_point now, const pool_id& pool);
    [[nodiscard]] detail::holder_hooks make_holder_hooks();
    [[nodiscard]] detail::leader_hooks make_leader_hooks();

    template <class Message>
    void forward_to_leader(time_point now, const vm_id& from, const Message& body,
                           void (detail::pool_leader::*handler)(time_point, const vm_id&,
                                                                const Message&));

    vm_id self;
    data_centre_id data_centre;
    service_id service;
    random_source random;
    router_hooks hooks;
    std::shared_ptr<const configuration::effective_configuration> configuration;
    membership::view_pointer view;
    detail::pool_map pools;
    std::deque<wire::message> local_messages;
    detail::permit_holder holder;
    std::map<region_id, std::unique_ptr<detail::pool_leader>> pool_leaders;
    bool started = false;
    bool stopped = false;
    time_point last_tick;
};

service_router::state::state(vm_id vm, data_centre_id location, service_id service_name,
                             random_source numbers, router_hooks actions)
    : self(std::move(vm)), data_centre(std::move(location)), service(std::move(service_name)),
      random(std::move(numbers)), hooks(std::move(actions)),
      holder(this->service, this->random(), this->make_holder_hooks())
{
}

detail::holder_hooks service_router::state::make_holder_hooks()
{
    return {[this](ticket_number ticket, const permit& granted) {
                this->hooks.granted(ticket, granted);
            },
            [this](ticket_number ticket, wire::refusal_reason reason, duration retry_after) {
                this->hooks.refused(ticket, reason, retry_after);
            },
            [this](const vm_id& recipient, wire::message body) {
                this->send(recipient, std::move(body));
            },
            [this](const observe::decision& decision) {
                this->hooks.log(decision);
            }};
}

detail::leader_hooks service_router::state::make_leader_hooks()
{
    return {
        [this](const vm_id& recipient, const wire::message& body) { this->send(recipient, body); },
        [this](const membership::backend_server& server) { this->hooks.probe(server); },
        [this](const observe::decision& decision) {
            this->hooks.log(decision);
        }};
}

void service_router::state::send(const vm_id& recipient, wire::message body)
{
    if (recipient == this->self) {
        this->local_messages.push_back(std::move(body));
        return;
    }
    this->hooks.send(recipient, body);
}

void service_router::state::begin_call(time_point now)
{
    if (!this->started) {
        this->started = true;
        this->last_tick = now;
        this->holder.started(now);
    }
}

void service_router::state::deliver_local_messages(time_point now)
{
    while (!this->local_messages.empty()) {
        const auto body = std::move(this->local_messages.front());
        this->local_messages.pop_front();
        this->dispatch(now, this->self, body);
    }
}

void service_router::state::configure(
    time_point now, std::shared_ptr<const configuration::effective_configuration> updated)
{
    if (!updated || (this->configuration && updated->revision < this->configuration->revision)) {
        return;
    }
    this->configuration = std::move(updated);
    this->refresh(now);
}

void service_router::state::update_members(time_point now, membership::view_pointer members)
{
    this->view = std::move(members);
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
    this->holder.update(now, views, detail::region_of(*this->configuration, this->data_centre));
    for (auto& [region, leader] : this->pool_leaders) {
        leader->update(now, this->pools[region].setup);
    }
    for (const auto& [region, pool] : this->pools) {
        if (!pool.leaders.empty() && pool.leaders.front() == this->self) {
            this->leader_for(now, {this->service, region});
        }
    }
}

detail::pool_leader* service_router::state::leader_for(time_point now, const pool_id& pool)
{
    const auto led = this->pool_leaders.find(pool.region);
    if (led != this->pool_leaders.end()) {
        return led->second.get();
    }
    const auto configured = this->pools.find(pool.region);
    if (configured == this->pools.end() || this->stopped) {
        return nullptr;
    }
    auto leader = std::make_unique<detail::pool_leader>(now, pool, this->self, this->random(),
                                                        this->make_leader_hooks());
    leader->update(now, configured->second.setup);
    return (this->pool_leaders[pool.region] = std::move(leader)).get();
}

void service_router::state::request(time_point now, ticket_request pending)
{
    const bool service_known =
        this->configuration && this->configuration->services.contains(this->service);
    if (this->configuration && !service_known) {
        this->hooks.refused(pending.ticket, wire::refusal_reason::unknown_service, {});
        return;
    }
    this->holder.request(now, std::move(pending));
}

template <class Message>
void service_router::state::forward_to_leader(
    time_point now, const vm_id& from, const Message& body,
    void (detail::pool_leader::*handler)(time_point, const vm_id&, const Message&))
{
    const auto led = this->pool_leaders.find(body.pool.region);
    if (led != this->pool_leaders.end()) {
        (led->second.get()->*handler)(now, from, body);
    }
}

void service_router::state::receive(time_point now, const vm_id& from, const wire::message& body)
{
    const auto* target = wire::service_of(body);
    if (target != nullptr && *target == this->service) {
        this->dispatch(now, from, body);
    }
}

void service_router::state::dispatch(time_point now, const vm_id& from, const wire::message& body)
{
    using detail::pool_leader;
    if (const auto* request = std::get_if<wire::permit_request>(&body)) {
        if (auto* leader = this->leader_for(now, request->pool)) {
            leader->request(now, from, *request);
            return;
        }
        this->send(from, wire::permit_refusal{
                             request->pool, request->ticket, wire::refusal_reason::not_leader, {}});
    }
    else if (const auto* cancelled = std::get_if<wire::permit_cancel>(&body)) {
        this->forward_to_leader(now, from, *cancelled, &pool_leader::cancel);
    }
    else if (const auto* returned = std::get_if<wire::permit_return>(&body)) {
        this->forward_to_leader(now, from, *returned, &pool_leader::handle_return);
    }
    else if (const auto* report = std::get_if<wire::permit_report>(&body)) {
        this->forward_to_leader(now, from, *report, &pool_leader::report);
    }
    else if (const auto* granted = std::get_if<wire::permit_grant>(&body)) {
        this->holder.handle_grant(now, from, *granted);
    }
    else if (const auto* refused = std::get_if<wire::permit_refusal>(&body)) {
        this->holder.handle_refusal(now, from, *refused);
    }
    else if (const auto* queued = std::get_if<wire::permit_queued>(&body)) {
        this->holder.handle_queued(now, from, *queued);
    }
    else if (const auto* claim = std::get_if<wire::leader_claim>(&body)) {
        const auto led = this->pool_leaders.find(claim->pool.region);
        if (led != this->pool_leaders.end() && from != this->self) {
            led->second->rival_claimed(now);
        }
        this->holder.handle_claim(now, from, *claim);
    }
}

void service_router::state::stop(time_point now)
{
    this->stopped = true;
    for (auto& [region, leader] : this->pool_leaders) {
        leader->stop(now);
    }
}

void service_router::state::tick(time_point now)
{
    this->last_tick = now;
    this->holder.tick(now);
    for (auto& [region, leader] : this->pool_leaders) {
        leader->tick(now);
    }
    std::erase_if(this->pool_leaders, [this, now](const auto& led) {
        const auto& leaders = this->pools[led.first].leaders;
        const bool first = !leaders.empty() && leaders.front() == this->self;
        return !first && led.second->idle(now);
    });
}

time_point service_router::state::next_tick() const
{
    bool busy = this->holder.busy();
    for (const auto& [region, leader] : this->pool_leaders) {
        busy = busy || !leader->has_no_scheduled_work(this->last_tick);
    }
    const auto periodic = busy ? this->last_tick + detail::tick_interval
                               : this->last_tick + detail::idle_leader_timeout;
    return std::min(periodic, this->holder.next_return_due());
}

service_router::service_router(vm_id self, data_centre_id data_centre, service_id service,
                               random_source random, router_hooks hooks)
    : inner(std::make_unique<state>(std::move(self), std::move(data_centre), std::move(service),
                                    std::move(random), std::move(hooks)))
{
}

service_router::~service_router() = default;

void service_router::configure(
    time_point now, std::shared_ptr<const configuration::effective_configuration> configuration)
{
    this->inner->begin_call(now);
    this->inner->configure(now, std::move(configuration));
    this->inner->deliver_local_messages(now);
}

void service_router::update_members(time_point now, membership::view_pointer view)
{
    this->inner->begin_call(now);
    this->inner->update_members(now, std::move(view));
    this->inner->deliver_local_messages(now);
}

void service_router::request(time_point now, ticket_request pending)
{
    this->inner->begin_call(now);
    this->inner->request(now, std::move(pending));
    this->inner->deliver_local_messages(now);
}

void service_router::cancel(time_point now, ticket_number ticket)
{
    this->inner->permits().cancel(now, ticket);
    this->inner->deliver_local_messages(now);
}

void service_router::release(time_point now, const permit& held, const permit_use& use)
{
    this->inner->permits().release(now, held, use);
    this->inner->deliver_local_messages(now);
}

void service_router::receive(time_point now, const vm_id& from, const wire::message& body)
{
    this->inner->begin_call(now);
    this->inner->receive(now, from, body);
    this->inner->deliver_local_messages(now);
}

void service_router::handle_probe_result(time_point now, const backend_id& backend,
                                         const std::optional<probe_result>& result)
{
    for (const auto& [region, leader] : this->inner->led_pools()) {
        leader->handle_probe_result(now, backend, result);
    }
    this->inner->deliver_local_messages(now);
}

void service_router::stop(time_point now)
{
    this->inner->stop(now);
    this->inner->deliver_local_messages(now);
}

void service_router::tick(time_point now)
{
    this->inner->begin_call(now);
    this->inner->tick(now);
    this->inner->deliver_local_messages(now);
}

time_point service_router::next_tick() const
{
    return this->inner->next_tick();
}

std::vector<backend_status> service_router::status(time_point) const
{
    std::vector<backend_status> rows;
    for (const auto& [region, leader] : this->inner->led_pools()) {
        leader->add_status(rows);
    }
    return rows;
}

} // namespace azureshore::routing
