#include "azureshore/node/entry_node.hpp"

#include "azureshore/node/internal/control_shard.hpp"
#include "azureshore/node/internal/service_shard.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <utility>

namespace azureshore::node {

namespace {

using detail::service_shard;
using shard_pointer = std::shared_ptr<service_shard>;

outcomes::caller_response refusal_of(outcomes::refusal_cause cause)
{
    outcomes::caller_response word;
    word.refused = outcomes::refusal{cause, outcomes::run_claim::not_run, std::nullopt};
    return word;
}

} // namespace

class entry_node::state : public std::enable_shared_from_this<entry_node::state> {
public:
    state(membership::member who, random_source source, node_hooks around,
          const membership::member_options& options)
        : self(std::move(who)), random(std::move(source)), hooks(std::move(around)),
          control(std::make_shared<detail::control_shard>(this->self, this->random(), &this->hooks,
                                                          this->make_control_hooks(), options))
    {
    }

    void start() { this->control->start(); }

    request_number next_request() { return {++this->last_request}; }

    void begin(const outcomes::incoming_request& request)
    {
        const auto shard = this->find_shard(request.service);
        if (shard) {
            shard->begin(request);
            return;
        }
        const bool knows_services = this->control->tree() != nullptr;
        this->hooks.answer(request.number,
                           refusal_of(knows_services ? outcomes::refusal_cause::unknown_service
                                                     : outcomes::refusal_cause::not_ready));
    }

    shard_pointer find_shard(const service_id& name) const
    {
        const std::shared_lock hold(this->shards_lock);
        const auto found = this->shards.find(name);
        return found == this->shards.end() ? nullptr : found->second;
    }

    std::vector<shard_pointer> all_shards() const
    {
        const std::shared_lock hold(this->shards_lock);
        std::vector<shard_pointer> all;
        all.reserve(this->shards.size());
        for (const auto& [name, shard] : this->shards) {
            all.push_back(shard);
        }
        return all;
    }

    void receive(const wire::envelope& received)
    {
        const auto* service = wire::service_of(received.body);
        if (service == nullptr) {
            this->control->receive(received);
            return;
        }
        if (const auto shard = this->find_shard(*service)) {
            shard->receive(received.from, received.body);
        }
    }

    void update_list(const std::vector<platform::vm_entry>& entries)
    {
        this->control->update_list(entries);
        this->listed = true;
    }

    void stop()
    {
        for (const auto& shard : this->all_shards()) {
            shard->stop();
        }
        this->control->leave();
    }

    std::size_t in_flight() const
    {
        std::size_t sum = 0;
        for (const auto& shard : this->all_shards()) {
            sum += shard->in_flight();
        }
        return sum;
    }

    bool settled() const
    {
        const auto all = this->all_shards();
        return std::all_of(all.begin(), all.end(),
                           [](const shard_pointer& shard) { return shard->settled(); });
    }

    std::optional<std::string> not_ready() const
    {
        if (!this->control->tree()) {
            return "no configuration yet: " +
                   std::string(configuration::to_string(this->control->readiness()));
        }
        if (!this->listed) {
            return "no list of VMs yet";
        }
        return std::nullopt;
    }

    configuration::replica_counters configuration_counters() const
    {
        return this->control->counters();
    }

    node_status status() const
    {
        node_status shown;
        shown.self = this->self;
        shown.not_ready = this->not_ready();
        if (const auto known = this->control->tree()) {
            shown.revision = known->revision;
            for (const auto& [name, each] : known->data_centres) {
                shown.data_centres.push_back(each);
            }
        }
        shown.members = this->control->view()->members;
        for (const auto& shard : this->all_shards()) {
            shown.services.push_back(shard->status());
        }
        return shown;
    }

private:
    detail::control_hooks make_control_hooks()
    {
        detail::control_hooks made;
        made.view_changed = [this](const membership::view_pointer& view) {
            for (const auto& shard : this->all_shards()) {
                shard->update_members(view);
            }
        };
        made.configuration_changed = [this](const detail::configuration_pointer& tree) {
            this->spread_configuration(tree);
        };
        return made;
    }

    void spread_configuration(const detail::configuration_pointer& tree)
    {
        const auto view = this->control->view();
        for (const auto& [name, service] : tree->services) {
            const auto [shard, made] = this->find_or_make_shard(name);
            if (made) {
                shard->update_members(view);
            }
        }
        // Services that the tree no longer names are told too, and refuse from then on.
        for (const auto& shard : this->all_shards()) {
            shard->configure(tree);
        }
    }

    std::pair<shard_pointer, bool> find_or_make_shard(const service_id& name)
    {
        const std::unique_lock hold(this->shards_lock);
        auto& shard = this->shards[name];
        if (shard) {
            return {shard, false};
        }
        detail::shard_world world;
        world.hooks = &this->hooks;
        world.send = [this](const vm_id& to, const wire::message& body) {
            this->control->send(to, body);
        };
        world.next_attempt = [this] {
            return attempt_number{++this->last_attempt};
        };
        shard = std::make_shared<service_shard>(name, this->self, this->random(), world);
        return {shard, true};
    }

    membership::member self;
    // Seeds one source for each part, as parts run on different threads.
    random_source random;
    node_hooks hooks;
    std::atomic<std::uint64_t> last_request{0};
    std::atomic<std::uint64_t> last_attempt{0};
    std::atomic<bool> listed{false};
    std::shared_ptr<detail::control_shard> control;
    mutable std::shared_mutex shards_lock;
    std::map<service_id, shard_pointer> shards;
};

entry_node::entry_node(membership::member self, random_source random, node_hooks hooks,
                       const membership::member_options& options)
    : inner(std::make_shared<state>(std::move(self), std::move(random), std::move(hooks), options))
{
}

entry_node::~entry_node() = default;

void entry_node::start()
{
    this->inner->start();
}

request_number entry_node::next_request()
{
    return this->inner->next_request();
}

request_number entry_node::begin(outcomes::incoming_request request)
{
    if (request.number.value == 0) {
        request.number = this->next_request();
    }
    this->inner->begin(request);
    return request.number;
}

void entry_node::caller_gone(const service_id& service, request_number request)
{
    if (const auto shard = this->inner->find_shard(service)) {
        shard->caller_gone(request);
    }
}

void entry_node::attempt_ended(const service_id& service, const outcomes::attempt_report& report)
{
    if (const auto shard = this->inner->find_shard(service)) {
        shard->attempt_ended(report);
    }
}

void entry_node::receive(const wire::envelope& received)
{
    this->inner->receive(received);
}

void entry_node::update_list(const std::vector<platform::vm_entry>& entries)
{
    this->inner->update_list(entries);
}

void entry_node::stop()
{
    this->inner->stop();
}

std::size_t entry_node::in_flight() const
{
    return this->inner->in_flight();
}

bool entry_node::settled() const
{
    return this->inner->settled();
}

std::optional<std::string> entry_node::not_ready() const
{
    return this->inner->not_ready();
}

node_status entry_node::status() const
{
    return this->inner->status();
}

configuration::replica_counters entry_node::configuration_counters() const
{
    return this->inner->configuration_counters();
}

} // namespace azureshore::node
