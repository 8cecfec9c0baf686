#include "quota/quota_simulation.hpp"

#include "azureshore/core/hash.hpp"

#include <algorithm>
#include <cmath>

namespace azureshore::test {

namespace {

vm_id name_of(std::size_t gateway)
{
    return {"g" + std::to_string(gateway)};
}

duration seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

std::vector<vm_id> owners_in(const std::set<std::size_t>& view, const account_id& account)
{
    std::vector<std::pair<std::uint64_t, vm_id>> ranked;
    ranked.reserve(view.size());
    for (const auto each : view) {
        ranked.emplace_back(stable_hash(name_of(each).value, stable_hash(account.value)),
                            name_of(each));
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<vm_id> owners;
    for (const auto& [weight, name] : ranked) {
        if (owners.size() < 2) {
            owners.push_back(name);
        }
    }
    return owners;
}

} // namespace

quota_simulation::quota_simulation(std::size_t gateways, std::uint64_t seed,
                                   std::vector<balance::client_account> with)
    : random(seeded_random(seed)), group(gateways), accounts(std::move(with)), nodes(gateways)
{
    for (std::size_t i = 0; i < gateways; ++i) {
        this->start(i);
    }
}

void quota_simulation::run_at(std::size_t gateway, std::uint64_t incarnation,
                              const std::function<void()>& action)
{
    auto& at = this->nodes[gateway];
    if (!at.keeper || at.incarnation != incarnation) {
        return;
    }
    if (at.paused_until > this->clock.now()) {
        this->clock.at(at.paused_until, [=, this] { this->run_at(gateway, incarnation, action); });
        return;
    }
    action();
}

void quota_simulation::start(std::size_t gateway)
{
    auto& at = this->nodes[gateway];
    const auto incarnation = ++at.incarnation;
    at.paused_until = {};
    quota::quota_hooks hooks;
    hooks.clock = [this] {
        return this->clock.now();
    };
    hooks.after = [=, this](duration delay, const std::function<void()>& action) {
        this->clock.after(delay, [=, this] { this->run_at(gateway, incarnation, action); });
    };
    hooks.send = [=, this](const vm_id& to, const wire::message& body) {
        this->transmit(gateway, to, body);
    };
    hooks.random = this->random;
    at.keeper =
        std::make_unique<quota::quota_keeper>(name_of(gateway), quota::quota_bounds{}, hooks);
    at.keeper->set_accounts(this->accounts);
    std::set<std::size_t> all;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        all.insert(i);
    }
    this->set_view(gateway, all);
}

void quota_simulation::kill(std::size_t gateway)
{
    this->nodes[gateway].keeper.reset();
}

bool quota_simulation::is_alive(std::size_t gateway) const
{
    return this->nodes[gateway].keeper != nullptr;
}

void quota_simulation::pause(std::size_t gateway, duration span)
{
    this->nodes[gateway].paused_until = this->clock.now() + span;
}

void quota_simulation::set_view(std::size_t gateway, const std::set<std::size_t>& serving)
{
    this->run_at(gateway, this->nodes[gateway].incarnation, [=, this] {
        auto& at = this->nodes[gateway];
        if (at.view == serving && at.keeper->owned_count() > 0) {
            return;
        }
        at.view = serving;
        std::map<account_id, std::vector<vm_id>> owners;
        for (const auto& each : this->accounts) {
            owners[each.name] = owners_in(serving, each.name);
        }
        at.keeper->set_owners([owners](const account_id& account) { return owners.at(account); });
    });
}

void quota_simulation::set_contact(std::size_t gateway, double share)
{
    this->run_at(gateway, this->nodes[gateway].incarnation,
                 [=, this] { this->nodes[gateway].keeper->set_contact(share); });
}

void quota_simulation::transmit(std::size_t from, const vm_id& to, const wire::message& body)
{
    const auto recipient = static_cast<std::size_t>(std::stoul(to.value.substr(1)));
    const bool cut = this->group[from] != this->group[recipient];
    if (cut || uniform(this->random) < this->loss || !this->is_alive(recipient)) {
        return;
    }
    auto latency = seconds(0.0002 + 0.003 * uniform(this->random));
    if (uniform(this->random) < this->delayed) {
        latency = seconds(2 * uniform(this->random));
    }
    const auto incarnation = this->nodes[recipient].incarnation;
    this->clock.after(latency, [=, this] {
        this->run_at(recipient, incarnation, [=, this] {
            this->nodes[recipient].keeper->receive({name_of(from), body});
        });
    });
}

void quota_simulation::request(std::size_t gateway, const account_id& account)
{
    this->run_at(gateway, this->nodes[gateway].incarnation, [=, this] {
        const auto asked = this->clock.now();
        this->nodes[gateway].keeper->take(account, [=, this](const balance::quota_answer& answer) {
            auto& of = this->decided[account];
            of.longest_wait = std::max(of.longest_wait, this->clock.now() - asked);
            switch (answer.decision) {
            case balance::quota_decision::granted:
                ++of.granted;
                this->sends[account].push_back(this->clock.now());
                break;
            case balance::quota_decision::exceeded:
                ++of.exceeded;
                break;
            case balance::quota_decision::unavailable:
                ++of.unavailable;
                break;
            }
        });
    });
}

const balance::client_account& quota_simulation::find(const account_id& account) const
{
    return *std::find_if(this->accounts.begin(), this->accounts.end(),
                         [&](const auto& each) { return each.name == account; });
}

void quota_simulation::load(const account_id& account, double rate, time_point until,
                            bool within_quota)
{
    this->next_request(account, rate, until, within_quota, 0, this->clock.now());
}

void quota_simulation::next_request(const account_id& account, double rate, time_point until,
                                    bool within_quota, double level, time_point last)
{
    const auto wait = seconds(-std::log(1 - uniform(this->random)) / rate);
    const auto now = last + wait;
    if (now > until) {
        return;
    }
    this->clock.at(now, [=, this] {
        const auto& limits = this->find(account);
        const auto elapsed = std::chrono::duration<double>(wait).count();
        auto left = std::min(std::max(1.0, limits.burst), level + limits.rate * elapsed);
        if (!within_quota || left >= 1) {
            left -= within_quota ? 1 : 0;
            this->request(uniform_index(this->random, this->nodes.size()), account);
        }
        this->next_request(account, rate, until, within_quota, left, now);
    });
}

double quota_simulation::worst_window(const account_id& account) const
{
    const quota::quota_bounds bounds;
    const auto& limits = this->find(account);
    const auto window = std::chrono::duration<double>(bounds.window).count();
    const auto allowed =
        (limits.rate * window + limits.burst) * (1 + bounds.overshoot) + bounds.slack;
    const auto found = this->sends.find(account);
    if (found == this->sends.end()) {
        return 0;
    }
    const auto& times = found->second;
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > bounds.window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return static_cast<double>(most) / allowed;
}

quota::quota_counts quota_simulation::total_counts() const
{
    quota::quota_counts total;
    for (const auto& each : this->nodes) {
        if (each.keeper) {
            const auto& counts = each.keeper->counts();
            total.queries_sent += counts.queries_sent;
            total.replies_sent += counts.replies_sent;
            total.tokens_issued += counts.tokens_issued;
            total.tokens_expired += counts.tokens_expired;
            total.timeouts += counts.timeouts;
        }
    }
    return total;
}

} // namespace azureshore::test
