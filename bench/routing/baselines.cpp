#include "baselines.hpp"

#include "azureshore/core/hash.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace azureshore::bench {

namespace {

constexpr std::size_t subset_size = 4;

// Chooses alone on what this VM has seen; no other VM is asked.
class lone_chooser {
public:
    lone_chooser(vm_id me, random_source numbers, routing::router_hooks where, bool use_subset)
        : self(std::move(me)), random(std::move(numbers)), hooks(std::move(where)),
          subset(use_subset)
    {
    }

    void update(const membership::view_pointer& view)
    {
        this->servers.clear();
        for (const auto& server : view->backends) {
            if (!server.leaving) {
                this->servers.push_back(server);
            }
        }
        if (this->subset) {
            const auto weight = [this](const membership::backend_server& server) {
                return stable_hash(server.name.value, stable_hash(this->self.value));
            };
            std::sort(
                this->servers.begin(), this->servers.end(),
                [&](const auto& left, const auto& right) { return weight(left) < weight(right); });
            this->servers.resize(std::min(this->servers.size(), subset_size));
        }
    }

    void request(time_point now, const routing::ticket_request& wish)
    {
        if (this->servers.empty()) {
            this->hooks.refused(wish.ticket, wire::refusal_reason::no_backend, {});
            return;
        }
        const auto* chosen = this->subset ? this->least_own() : this->better_of_two();
        ++this->running[chosen->name];
        routing::permit given;
        given.number = {wish.ticket.value};
        given.leader = this->self;
        given.backend = chosen->name;
        given.endpoint = chosen->endpoint;
        given.lease_until = now + std::chrono::seconds(1);
        given.warm = true;
        this->hooks.granted(wish.ticket, given);
    }

    void finish(const routing::permit& used, const routing::permit_use& use)
    {
        --this->running[used.backend];
        if (use.load) {
            this->reported[used.backend] = use.load->running;
        }
    }

private:
    const membership::backend_server* better_of_two()
    {
        const auto& first = this->servers[uniform_index(this->random, this->servers.size())];
        const auto& second = this->servers[uniform_index(this->random, this->servers.size())];
        return this->reported[first.name] <= this->reported[second.name] ? &first : &second;
    }

    const membership::backend_server* least_own()
    {
        return &*std::min_element(this->servers.begin(), this->servers.end(),
                                  [this](const auto& left, const auto& right) {
                                      return this->running[left.name] < this->running[right.name];
                                  });
    }

    vm_id self;
    random_source random;
    routing::router_hooks hooks;
    bool subset;
    std::vector<membership::backend_server> servers;
    std::map<backend_id, unsigned> running;
    std::map<backend_id, unsigned> reported;
};

fakes::routing_strategy make(const vm_id& self, const random_source& random,
                             const routing::router_hooks& hooks, bool subset)
{
    auto made = std::make_shared<lone_chooser>(self, random, hooks, subset);
    return {[made](auto now, auto wish) { made->request(now, wish); },
            [made](auto, const auto& used, const auto& use) { made->finish(used, use); },
            [](auto, const auto&, const auto&) {},
            [](auto, const auto&, const auto&) {},
            [](auto, auto) {},
            [made](auto, auto view) { made->update(view); },
            [](auto) {},
            [] { return time_point::max(); },
            [](auto) {},
            [](auto) {
                return std::vector<routing::backend_status>{};
            }};
}

} // namespace

fakes::routing_strategy make_power_of_two(const vm_id& self, const data_centre_id&,
                                          const service_id&, const random_source& random,
                                          const routing::router_hooks& hooks)
{
    return make(self, random, hooks, false);
}

fakes::routing_strategy make_fixed_subset(const vm_id& self, const data_centre_id&,
                                          const service_id&, const random_source& random,
                                          const routing::router_hooks& hooks)
{
    return make(self, random, hooks, true);
}

} // namespace azureshore::bench
