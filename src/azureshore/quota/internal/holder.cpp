#include "azureshore/quota/internal/holder.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace azureshore::quota::detail {

namespace {

// How long an owner's answer is waited for. A gateway with a tenth of a core may be held up by its
// scheduler for most of a period of 100 ms; a late answer is still used.
constexpr duration answer_timeout = std::chrono::milliseconds(60);
// An owner is asked this often before it counts as silent, and then not for a while.
constexpr std::size_t max_timeouts = 2;
constexpr duration silence = std::chrono::milliseconds(500);
// The time over which requests are counted to estimate their rate.
constexpr duration demand_window = std::chrono::seconds(1);
// Tokens are asked for in advance for this part of their lease.
constexpr double prefetched_part = 0.5;
constexpr std::uint32_t max_asked = 256;
// Callers that are refused come back spread over this time.
constexpr duration exceeded_spread = std::chrono::milliseconds(500);
constexpr duration unavailable_spread = std::chrono::milliseconds(200);
constexpr duration min_retry = std::chrono::milliseconds(50);

} // namespace

holder::holder(vm_id own_name, holder_hooks owner_hooks)
    : self(std::move(own_name)), hooks(std::move(owner_hooks))
{
    // A process that starts again must not take answers to its predecessor for its own.
    this->last_ticket = this->hooks.random() >> 1U;
}

void holder::set_lease(duration for_tokens)
{
    this->lease = for_tokens;
}

void holder::add(const account_id& account)
{
    this->accounts.try_emplace(account);
}

void holder::remove(const account_id& account)
{
    const auto found = this->accounts.find(account);
    if (found == this->accounts.end()) {
        return;
    }
    auto removed = std::move(found->second);
    this->accounts.erase(found);
    this->refuse_waiting(removed);
}

void holder::set_owners(const account_id& account, const std::vector<vm_id>& owners)
{
    auto& of = this->accounts[account];
    std::vector<owner_view> next;
    for (const auto& name : owners) {
        const auto known = std::find_if(of.owners.begin(), of.owners.end(),
                                        [&](const auto& each) { return each.name == name; });
        next.push_back(known == of.owners.end() ? owner_view{name} : *known);
    }
    of.owners = std::move(next);
}

void holder::count_demand(time_point now, account_state& of) const
{
    const auto elapsed = std::chrono::duration<double>(now - of.demand_at) / demand_window;
    of.demand = of.demand * std::exp(-elapsed) + 1;
    of.demand_at = now;
}

void holder::expire(time_point now, account_state& of)
{
    while (!of.tokens.empty() && of.tokens.front().expires <= now) {
        this->counted.tokens_expired += of.tokens.front().count;
        of.tokens.pop_front();
    }
    while (!of.spent.empty() && of.spent.front().granted_at + this->lease <= now) {
        of.spent.pop_front();
    }
    while (!of.asks.empty() && of.asks.front().asked_at + this->lease <= now) {
        of.asks.pop_front();
    }
}

std::optional<time_point> holder::take_token(time_point now, account_state& from)
{
    this->expire(now, from);
    if (from.tokens.empty()) {
        return std::nullopt;
    }
    auto& group = from.tokens.front();
    const auto expires = group.expires;
    if (--group.count == 0) {
        from.tokens.pop_front();
    }
    from.spent.push_back({now, expires});
    return expires;
}

void holder::answer(const quota_done& done, const balance::quota_answer& with)
{
    switch (with.decision) {
    case balance::quota_decision::granted:
        ++this->counted.granted;
        break;
    case balance::quota_decision::exceeded:
        ++this->counted.exceeded;
        break;
    case balance::quota_decision::unavailable:
        ++this->counted.unavailable;
        break;
    }
    done(with);
}

void holder::take(const account_id& account, quota_done done)
{
    const auto now = this->hooks.clock();
    const auto found = this->accounts.find(account);
    if (found == this->accounts.end()) {
        this->answer(done, this->refusal(now, {}));
        return;
    }
    auto& of = found->second;
    this->count_demand(now, of);
    of.waiting.push_back(std::move(done));
    this->serve_waiting(of);
    if (!of.waiting.empty() && !of.current) {
        this->pursue(account, of);
    }
}

void holder::serve_waiting(account_state& of)
{
    const auto now = this->hooks.clock();
    while (!of.waiting.empty()) {
        const auto expires = this->take_token(now, of);
        if (!expires) {
            return;
        }
        const auto done = std::move(of.waiting.front());
        of.waiting.pop_front();
        this->answer(done, {balance::quota_decision::granted, std::nullopt, expires});
    }
}

holder::owner_view* holder::choose_owner(time_point now, account_state& of)
{
    std::vector<owner_view*> usable;
    for (auto& each : of.owners) {
        if (each.refuses_until <= now && each.silent_until <= now) {
            if (each.name == this->self) {
                return &each;
            }
            usable.push_back(&each);
        }
    }
    if (usable.empty()) {
        return nullptr;
    }
    // An owner that has just not answered is asked after the others.
    const auto least =
        (*std::min_element(usable.begin(), usable.end(), [](auto* left, auto* right) {
            return left->timeouts < right->timeouts;
        }))->timeouts;
    std::erase_if(usable, [least](const auto* each) { return each->timeouts > least; });
    return usable[uniform_index(this->hooks.random, usable.size())];
}

void holder::pursue(const account_id& account, account_state& of)
{
    const auto now = this->hooks.clock();
    auto* const chosen = this->choose_owner(now, of);
    if (chosen == nullptr) {
        this->refuse_waiting(of);
        return;
    }
    const auto seconds = std::chrono::duration<double>(this->lease).count() * prefetched_part;
    wire::quota_ask made{account, ++this->last_ticket};
    made.needed = static_cast<std::uint32_t>(std::min<std::size_t>(of.waiting.size(), max_asked));
    made.expected = std::min(max_asked, static_cast<std::uint32_t>(of.demand * seconds));
    if (chosen->name == this->self) {
        made.expected = 0;
    }
    const auto owner = chosen->name;
    of.current = {made.ticket, owner, now};
    of.asks.push_back(*of.current);
    this->hooks.ask(owner, made);
    if (owner != this->self) {
        this->hooks.after(answer_timeout, [this, account, ticket = made.ticket] {
            this->timed_out(account, ticket);
        });
    }
}

void holder::timed_out(const account_id& account, std::uint64_t ticket)
{
    const auto found = this->accounts.find(account);
    if (found == this->accounts.end() || !found->second.current ||
        found->second.current->ticket != ticket) {
        return;
    }
    auto& of = found->second;
    const auto now = this->hooks.clock();
    const auto asked = *std::exchange(of.current, std::nullopt);
    ++this->counted.timeouts;
    for (auto& each : of.owners) {
        if (each.name == asked.owner && ++each.timeouts >= max_timeouts) {
            each.silent_until = now + silence;
            // One more time-out after that is enough.
            each.timeouts = max_timeouts - 1;
        }
    }
    if (!of.waiting.empty()) {
        this->pursue(account, of);
    }
}

void holder::receive(const vm_id& from, const wire::quota_grant& grant)
{
    const auto now = this->hooks.clock();
    const auto found = this->accounts.find(grant.account);
    if (found == this->accounts.end()) {
        return;
    }
    auto& of = found->second;
    const auto asked = std::find_if(of.asks.begin(), of.asks.end(), [&](const auto& each) {
        return each.ticket == grant.ticket && each.owner == from;
    });
    if (asked == of.asks.end()) {
        return;
    }
    const auto expires = asked->asked_at + this->lease;
    of.asks.erase(asked);
    for (auto& each : of.owners) {
        if (each.name == from) {
            each.timeouts = 0;
            each.silent_until = grant.owned ? time_point{} : now + grant.retry_after;
            each.refuses_until = grant.owned ? now + grant.retry_after : time_point{};
        }
    }
    if (grant.granted > 0) {
        // An answer that was overtaken brings tokens that expire earlier.
        const auto place = std::find_if(of.tokens.begin(), of.tokens.end(),
                                        [&](const auto& each) { return each.expires > expires; });
        of.tokens.insert(place, {grant.granted, expires});
    }
    if (of.current && of.current->ticket == grant.ticket) {
        of.current.reset();
    }
    this->serve_waiting(of);
    // The requests' callbacks may have led to another ask or a change of the accounts.
    const auto still = this->accounts.find(grant.account);
    if (still != this->accounts.end() && !still->second.waiting.empty() && !still->second.current) {
        this->pursue(grant.account, still->second);
    }
}

balance::quota_answer holder::refusal(time_point now, const account_state& of) const
{
    auto retry_at = time_point::max();
    bool exceeded = false;
    for (const auto& each : of.owners) {
        exceeded = exceeded || each.refuses_until > now;
        retry_at = std::min(retry_at, std::max(each.refuses_until, each.silent_until));
    }
    const auto wait = of.owners.empty() ? duration{} : std::max(duration{}, retry_at - now);
    const auto spread = exceeded ? exceeded_spread : unavailable_spread;
    const auto random_part =
        std::chrono::duration_cast<duration>(spread * uniform(this->hooks.random));
    return {exceeded ? balance::quota_decision::exceeded : balance::quota_decision::unavailable,
            std::max(min_retry, wait) + random_part, std::nullopt};
}

void holder::refuse_waiting(account_state& of)
{
    const auto now = this->hooks.clock();
    for (const auto& done : std::exchange(of.waiting, {})) {
        this->answer(done, this->refusal(now, of));
    }
}

void holder::give_back(const account_id& account, time_point granted_at)
{
    const auto now = this->hooks.clock();
    const auto found = this->accounts.find(account);
    if (found == this->accounts.end()) {
        return;
    }
    auto& of = found->second;
    this->expire(now, of);
    const auto spent = std::find_if(of.spent.begin(), of.spent.end(), [&](const auto& each) {
        return each.granted_at == granted_at;
    });
    if (spent == of.spent.end() || spent->expires <= now) {
        return;
    }
    const auto expires = spent->expires;
    of.spent.erase(spent);
    const auto place = std::find_if(of.tokens.begin(), of.tokens.end(),
                                    [&](const auto& each) { return each.expires > expires; });
    of.tokens.insert(place, {1, expires});
    this->serve_waiting(of);
}

} // namespace azureshore::quota::detail
