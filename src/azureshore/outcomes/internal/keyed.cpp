#include "azureshore/outcomes/internal/engine_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::outcomes {

namespace {

// When a refusal for want of the log suggests to try again.
constexpr duration log_retry_after = std::chrono::seconds(1);

// Keys outlive the longest request by this factor, so that no request runs on past its key.
constexpr int lifetimes_per_deadline = 4;

wire::stored_answer stored(const answer_content& content)
{
    wire::stored_answer kept{static_cast<std::uint32_t>(content.status), {}, content.body};
    for (const auto& each : content.headers) {
        kept.headers.push_back({each.name, each.value});
    }
    return kept;
}

answer_content restored(const wire::stored_answer& kept)
{
    answer_content content{static_cast<int>(kept.status), {}, kept.body};
    for (const auto& each : kept.headers) {
        content.headers.push_back({each.name, each.value});
    }
    return content;
}

std::size_t size_of(const answer_content& content)
{
    auto bytes = content.body.size();
    for (const auto& each : content.headers) {
        bytes += each.name.size() + each.value.size();
    }
    return bytes;
}

} // namespace

detail::ledger_hooks request_engine::state::hooks_for_ledger()
{
    detail::ledger_hooks made;
    made.append = [this](const std::string& stream, std::uint64_t append_id, std::string bytes) {
        this->hooks.append(stream, append_id, std::move(bytes));
    };
    made.send = [this](const vm_id& to, const wire::message& body) {
        this->hooks.send(to, body);
    };
    made.intent_refused = [this](const wire::intent_id& id) {
        this->intent_refused(id);
    };
    made.log = [this](std::string_view event, const std::string& stream) {
        if (this->hooks.log) {
            this->hooks.log({event, {{"service", this->service.value}, {"stream", stream}}});
        }
    };
    made.events.held = [this](const wire::run_intent& each) {
        this->intent_held(each);
    };
    made.events.lost = [this](const wire::run_intent& each) {
        this->intent_lost(each);
    };
    made.events.ended = [this](const wire::run_outcome& each) {
        this->key_changed(each.key);
    };
    made.events.released = [this](const wire::run_release& each) {
        this->key_changed(each.key);
    };
    return made;
}

void request_engine::state::append_ended(time_point now, std::uint64_t append_id,
                                         const platform::append_result& result)
{
    this->clock = now;
    this->ledger.append_ended(now, append_id, result.outcome);
}

void request_engine::state::log_read(time_point now, const std::string& stream,
                                     const platform::read_result& result)
{
    this->clock = now;
    this->ledger.log_read(now, stream, result);
}

void request_engine::state::configure_run_once(const run_once_limits& new_limits)
{
    this->ledger.configure(new_limits);
    this->ledger.remember_keys_for(this->key_lifetime());
}

duration request_engine::state::key_lifetime() const
{
    const auto wanted =
        std::max(this->limits.key_lifetime, this->limits.deadline * lifetimes_per_deadline);
    return std::min(wanted, this->ledger.limits_in_force().retention / 2);
}

void request_engine::state::begin_keyed(time_point now, request_state& of)
{
    of.key = detail::digest_of(of.request.key);
    const auto longest = now + this->key_lifetime() / lifetimes_per_deadline;
    this->set_deadline(of, std::min(of.deadline, longest));
    if (const auto* entry = this->ledger.find(now, of.key)) {
        this->follow(now, of, *entry);
    }
    else if (!this->ledger.ready(now, of.key)) {
        this->refuse(now, of, refusal_cause::log_unavailable, log_retry_after);
    }
    else if (this->ledger.full()) {
        this->refuse(now, of, refusal_cause::overloaded, log_retry_after);
    }
    else {
        this->post_intent(now, of);
    }
}

void request_engine::state::post_intent(time_point now, request_state& of)
{
    of.phase = request_phase::awaiting_intent;
    of.intent = this->ledger.next_intent();
    this->intents[of.intent.number] = of.request.number;
    this->note("intent", of, std::nullopt, {{"intent", std::to_string(of.intent.number)}});
    this->ledger.post(now, wire::run_intent{of.key, of.intent, of.fingerprint});
}

void request_engine::state::follow(time_point now, request_state& of,
                                   const detail::key_entry& entry)
{
    if (entry.fingerprint != of.fingerprint) {
        this->refuse(now, of, refusal_cause::key_reused);
        return;
    }
    if (entry.answer) {
        this->answer(now, of, restored(*entry.answer));
        return;
    }
    of.phase = request_phase::awaiting_outcome;
    if (entry.status == detail::key_status::running) {
        this->waiting[of.key].insert(of.request.number);
        this->note("await_outcome", of, std::nullopt);
        return;
    }
    const bool ran = entry.status == detail::key_status::answered;
    this->refuse(now, of, ran ? refusal_cause::answer_not_kept : refusal_cause::backend_failed);
}

void request_engine::state::intent_held(const wire::run_intent& intent)
{
    const auto at = this->intents.find(intent.id.number);
    auto* of = at == this->intents.end() ? nullptr : this->find(at->second);
    if (of == nullptr || of->intent != intent.id) {
        // Only the VM that wrote an intent may run it, and only for a request that still waits.
        // One without such a request was given up before it was read, so it never runs.
        if (this->ledger.is_own(intent.id)) {
            if (this->hooks.log) {
                this->hooks.log({"release_abandoned",
                                 {{"service", this->service.value},
                                  {"intent", std::to_string(intent.id.number)}}});
            }
            this->ledger.post(this->clock, wire::run_release{intent.key, intent.id});
        }
        return;
    }
    this->intents.erase(at);
    of->holds_key = true;
    of->phase = request_phase::trying;
    this->note("run_once", *of, std::nullopt, {{"intent", std::to_string(intent.id.number)}});
    this->open_attempt(this->clock, *of);
}

void request_engine::state::intent_lost(const wire::run_intent& intent)
{
    const auto at = this->intents.find(intent.id.number);
    auto* of = at == this->intents.end() ? nullptr : this->find(at->second);
    if (of == nullptr || of->intent != intent.id) {
        return;
    }
    this->intents.erase(at);
    of->phase = request_phase::trying;
    this->note("key_taken", *of, std::nullopt, {{"intent", std::to_string(intent.id.number)}});
    if (const auto* entry = this->ledger.find(this->clock, of->key)) {
        this->follow(this->clock, *of, *entry);
    }
    else {
        this->refuse(this->clock, *of, refusal_cause::log_unavailable, log_retry_after);
    }
}

void request_engine::state::key_changed(const wire::key_digest& key)
{
    const auto at = this->waiting.find(key);
    if (at == this->waiting.end()) {
        return;
    }
    const auto waiters = std::move(at->second);
    this->waiting.erase(at);
    for (const auto& number : waiters) {
        auto* of = this->find(number);
        if (of == nullptr) {
            continue;
        }
        of->phase = request_phase::trying;
        if (const auto* entry = this->ledger.find(this->clock, key)) {
            this->follow(this->clock, *of, *entry);
        }
        else {
            this->post_intent(this->clock, *of);
        }
    }
}

void request_engine::state::intent_refused(const wire::intent_id& id)
{
    const auto at = this->intents.find(id.number);
    if (at != this->intents.end()) {
        this->refuse(this->clock, this->requests.at(at->second), refusal_cause::log_unavailable,
                     log_retry_after);
    }
}

void request_engine::state::record_end(time_point now, request_state& of,
                                       const answer_content* content)
{
    if (content == nullptr && of.claim() == run_claim::not_run) {
        this->note("release_key", of, std::nullopt);
        this->ledger.post(now, wire::run_release{of.key, of.intent});
        return;
    }
    wire::run_outcome ended{of.key, of.intent, content != nullptr, std::nullopt};
    if (content != nullptr &&
        size_of(*content) <= this->ledger.limits_in_force().max_stored_answer) {
        ended.answer = stored(*content);
    }
    this->note(
        "record_outcome", of, std::nullopt,
        {{"answered", ended.answered ? "yes" : "no"}, {"kept", ended.answer ? "yes" : "no"}});
    this->ledger.post(now, ended);
}

} // namespace azureshore::outcomes
