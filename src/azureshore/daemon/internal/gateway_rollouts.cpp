#include "azureshore/daemon/internal/gateway_rollouts.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::daemon::detail {

namespace {

// Share of the allowed exposure that is used, since the daemons' requests are counted elsewhere in
// another way than here.
constexpr double exposure_utilisation = 0.8;
// Bounds of the time that is allowed for requests at the old servers when all have moved.
constexpr duration min_request_time = std::chrono::seconds(1);
constexpr duration max_request_time = std::chrono::seconds(8);

rollout::write_outcome outcome_of(append_outcome outcome)
{
    switch (outcome) {
    case append_outcome::written:
        return rollout::write_outcome::written;
    case append_outcome::conflict:
        return rollout::write_outcome::conflict;
    case append_outcome::unknown:
        break;
    }
    return rollout::write_outcome::unknown;
}

} // namespace

gateway_rollouts::gateway_rollouts(const settings::gateway_settings& settings,
                                   const gateway_platform& around, const platform_topics& stored,
                                   sharing::store_sharing& others, gateway_rollouts_hooks told)
    : platform(around), topics(stored), sharing(others), hooks(std::move(told)),
      controller({}, this->controller_hooks())
{
    this->set_settings(settings);
}

void gateway_rollouts::set_settings(const settings::gateway_settings& settings)
{
    this->exposure_share = settings.exposure_share * exposure_utilisation;
    this->bounds.spread_within = settings.apply_within;
    this->bounds.rollback_within = settings.rollback_within;
    this->controller.set_settings(this->bounds);
}

void gateway_rollouts::set_longest_request(duration longest)
{
    this->bounds.longest_request = std::clamp(longest, min_request_time, max_request_time);
    this->controller.set_settings(this->bounds);
}

rollout::controller_hooks gateway_rollouts::controller_hooks()
{
    rollout::controller_hooks made;
    made.direct = [this](const rollout::order& order, rollout::traffic use) {
        this->direct(order, use);
    };
    made.release = this->hooks.version_rule_removed;
    made.count = this->hooks.count_versions;
    made.decides = [this] {
        return this->sharing.is_reader();
    };
    made.report = [this](const wire::rollout_report& report) {
        return this->sharing.report_rollouts(report);
    };
    made.notify = [this](const std::vector<wire::rollout_status>& rollouts) {
        this->sharing.broadcast_rollouts(rollouts);
    };
    made.list_states = [this](std::function<void(const rollout::status_list&)> done) {
        this->list_states(std::move(done));
    };
    made.write_state = [this](const rollout::order& order, rollout::decided_state state,
                              std::uint64_t at, std::function<void(rollout::write_outcome)> done) {
        this->topics.write_status(
            {order.service, order.new_version, state}, at,
            [done = std::move(done)](append_outcome outcome) { done(outcome_of(outcome)); });
    };
    made.log = this->hooks.log;
    made.random = system_random();
    return made;
}

void gateway_rollouts::direct(const rollout::order& order, rollout::traffic use)
{
    balance::version_rule rule;
    rule.target = order.new_version;
    rule.share = this->exposure_share;
    rule.use = use == rollout::traffic::held      ? balance::version_use::other_only
               : use == rollout::traffic::exposed ? balance::version_use::share
                                                  : balance::version_use::target_only;
    this->hooks.version_rule_set(order.service, rule);
}

void gateway_rollouts::list_states(std::function<void(const rollout::status_list&)> done) const
{
    this->topics.statuses.list([this, done = std::move(done)](const platform::keyed_list& listed) {
        rollout::status_list states;
        states.ok = listed.ok;
        states.end_offset = listed.next_offset;
        for (const auto& each : listed.records) {
            if (const auto read = this->platform.read_rollout_status(each); read.ok()) {
                states.entries.push_back({read->service, read->new_version, read->state});
            }
        }
        done(states);
    });
}

void gateway_rollouts::take_order(const rollout_order_record& order, bool may_be_old)
{
    if (order.withdrawn) {
        this->controller.withdraw_order(order.service);
        return;
    }
    this->controller.take_order(steady_now(), {order.service, order.new_version, order.time_limit},
                                may_be_old);
}

void gateway_rollouts::keep_orders(const std::set<service_id>& services)
{
    for (const auto& each : this->controller.ordered_services()) {
        if (!services.contains(each)) {
            this->controller.withdraw_order(each);
        }
    }
}

void gateway_rollouts::observe(const balance::attempt_observation& observed)
{
    this->controller.observe(observed.service, observed.route, observed.version, observed.failed,
                             observed.cold, observed.response_time);
}

void gateway_rollouts::take_report(const wire::rollout_report& report)
{
    this->controller.take_report(report);
}

void gateway_rollouts::take_notice(const wire::rollout_notice& notice)
{
    this->controller.take_notice(steady_now(), notice);
}

void gateway_rollouts::tick()
{
    this->controller.tick(steady_now());
}

void gateway_rollouts::write_metrics(observe::metrics& into) const
{
    this->controller.write_metrics(into);
}

} // namespace azureshore::daemon::detail
