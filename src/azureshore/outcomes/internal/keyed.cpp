#include "azureshore/outcomes/internal/engine_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::outcomes {

namespace {

// Retry-After of a refusal because the log is unavailable or the number of keys is at its limit.
constexpr duration log_retry_after = std::chrono::seconds(1);

// Keys live at least this many times as long as the longest request, so that no request outlives
// its key.
constexpr int min_deadlines_per_key_lifetime = 4;

wire::stored_answer to_stored_answer(const answer_content& content)
{
    wire::stored_answer stored{static_cast<std::uint32_t>(content.status), {}, content.body};
    for (const auto& each : content.headers) {
        stored.headers.push_back({each.name, each.value});
    }
    return stored;
}

answer_content from_stored_answer(const wire::stored_answer& stored)
{
    answer_content content{static_cast<int>(stored.status), {}, stored.body};
    for (const auto& each : stored.headers) {
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

detail::ledger_hooks request_engine::state::make_ledger_hooks()
{
    detail::ledger_hooks actions;
    actions.append = [this](const std::string& stream, std::uint64_t append_id, std::string bytes) {
        this->hooks.append(stream, append_id, std::move(bytes));
    };
    actions.send = [this](const vm_id& to, const wire::message& body) {
        this->hooks.send(to, body);
    };
    actions.intent_refused = [this](const wire::intent_id& id) {
        this->intent_refused(id);
    };
    actions.log = [this](std::string_view event, const std::string& stream) {
        if (this->hooks.log) {
            this->hooks.log({event, {{"service", this->service.value}, {"stream", stream}}});
        }
    };
    actions.events.intent_held = [this](const wire::run_intent& each) {
        this->intent_held(each);
    };
    actions.events.intent_lost = [this](const wire::run_intent& each) {
        this->intent_lost(each);
    };
    actions.events.request_ended = [this](const wire::run_outcome& each) {
        this->key_changed(each.key);
    };
    actions.events.key_released = [this](const wire::run_release& each) {
        this->key_changed(each.key);
    };
    return actions;
}

void request_engine::state::append_ended(time_point now, std::uint64_t append_id,
                                         const platform::append_result& result)
{
    this->call_time = now;
    this->ledger.append_ended(now, append_id, result.outcome);
}

void request_engine::state::log_read(time_point now, const std::string& stream,
                                     const platform::read_result& result)
{
    this->call_time = now;
    this->ledger.log_read(now, stream, result);
}

void request_engine::state::configure_run_once(const run_once_limits& new_limits)
{
    this->ledger.configure(new_limits);
    this->ledger.set_key_lifetime(this->key_lifetime());
}

duration request_engine::state::key_lifetime() const
{
    const auto lifetime =
        std::max(this->limits.key_lifetime, this->limits.deadline * min_deadlines_per_key_lifetime);
    return std::min(lifetime, this->ledger.current_limits().retention / 2);
}

void request_engine::state::begin_keyed(time_point now, request_state& request)
{
    request.key = detail::digest_of(request.incoming.key);
    const auto max_deadline = now + this->key_lifetime() / min_deadlines_per_key_lifetime;
    this->set_deadline(request, std::min(request.deadline, max_deadline));
    if (const auto* entry = this->ledger.find(now, request.key)) {
        this->apply_key_entry(now, request, *entry);
    }
    else if (!this->ledger.ready(now, request.key)) {
        this->refuse(now, request, refusal_cause::log_unavailable, log_retry_after);
    }
    else if (this->ledger.full()) {
        this->refuse(now, request, refusal_cause::overloaded, log_retry_after);
    }
    else {
        this->post_intent(now, request);
    }
}

void request_engine::state::post_intent(time_point now, request_state& request)
{
    request.phase = request_phase::awaiting_intent;
    request.intent = this->ledger.next_intent();
    this->request_by_intent[request.intent.number] = request.incoming.number;
    this->log_event("intent", request, std::nullopt,
                    {{"intent", std::to_string(request.intent.number)}});
    this->ledger.post(now, wire::run_intent{request.key, request.intent, request.fingerprint});
}

void request_engine::state::apply_key_entry(time_point now, request_state& request,
                                            const detail::key_entry& entry)
{
    if (entry.fingerprint != request.fingerprint) {
        this->refuse(now, request, refusal_cause::key_reused);
        return;
    }
    if (entry.answer) {
        this->answer(now, request, from_stored_answer(*entry.answer));
        return;
    }
    request.phase = request_phase::awaiting_outcome;
    if (entry.status == detail::key_status::running) {
        this->waiters_by_key[request.key].insert(request.incoming.number);
        this->log_event("await_outcome", request, std::nullopt);
        return;
    }
    const bool ran = entry.status == detail::key_status::answered;
    this->refuse(now, request,
                 ran ? refusal_cause::answer_not_kept : refusal_cause::backend_failed);
}

void request_engine::state::intent_held(const wire::run_intent& intent)
{
    const auto it = this->request_by_intent.find(intent.id.number);
    auto* request = it == this->request_by_intent.end() ? nullptr : this->find(it->second);
    if (request == nullptr || request->intent != intent.id) {
        // Only the VM that wrote an intent may run the request, and only while the request waits.
        // An intent of this VM without a waiting request was withdrawn before it was read back, so
        // its request never runs and the key is released.
        if (this->ledger.is_own(intent.id)) {
            if (this->hooks.log) {
                this->hooks.log({"release_abandoned",
                                 {{"service", this->service.value},
                                  {"intent", std::to_string(intent.id.number)}}});
            }
            this->ledger.post(this->call_time, wire::run_release{intent.key, intent.id});
        }
        return;
    }
    this->request_by_intent.erase(it);
    request->holds_key = true;
    request->phase = request_phase::attempting;
    this->log_event("run_once", *request, std::nullopt,
                    {{"intent", std::to_string(intent.id.number)}});
    this->open_attempt(this->call_time, *request);
}

void request_engine::state::intent_lost(const wire::run_intent& intent)
{
    const auto it = this->request_by_intent.find(intent.id.number);
    auto* request = it == this->request_by_intent.end() ? nullptr : this->find(it->second);
    if (request == nullptr || request->intent != intent.id) {
        return;
    }
    this->request_by_intent.erase(it);
    request->phase = request_phase::attempting;
    this->log_event("key_taken", *request, std::nullopt,
                    {{"intent", std::to_string(intent.id.number)}});
    if (const auto* entry = this->ledger.find(this->call_time, request->key)) {
        this->apply_key_entry(this->call_time, *request, *entry);
    }
    else {
        this->refuse(this->call_time, *request, refusal_cause::log_unavailable, log_retry_after);
    }
}

void request_engine::state::key_changed(const wire::key_digest& key)
{
    const auto it = this->waiters_by_key.find(key);
    if (it == this->waiters_by_key.end()) {
        return;
    }
    const auto waiters = std::move(it->second);
    this->waiters_by_key.erase(it);
    for (const auto& number : waiters) {
        auto* request = this->find(number);
        if (request == nullptr) {
            continue;
        }
        request->phase = request_phase::attempting;
        if (const auto* entry = this->ledger.find(this->call_time, key)) {
            this->apply_key_entry(this->call_time, *request, *entry);
        }
        else {
            this->post_intent(this->call_time, *request);
        }
    }
}

void request_engine::state::intent_refused(const wire::intent_id& id)
{
    const auto it = this->request_by_intent.find(id.number);
    if (it != this->request_by_intent.end()) {
        this->refuse(this->call_time, this->requests.at(it->second), refusal_cause::log_unavailable,
                     log_retry_after);
    }
}

void request_engine::state::record_outcome(time_point now, request_state& request,
                                           const answer_content* content)
{
    if (content == nullptr && request.claim() == run_claim::not_run) {
        this->log_event("release_key", request, std::nullopt);
        this->ledger.post(now, wire::run_release{request.key, request.intent});
        return;
    }
    wire::run_outcome outcome{request.key, request.intent, content != nullptr, std::nullopt};
    if (content != nullptr &&
        size_of(*content) <= this->ledger.current_limits().max_stored_answer) {
        outcome.answer = to_stored_answer(*content);
    }
    this->log_event(
        "record_outcome", request, std::nullopt,
        {{"answered", outcome.answered ? "yes" : "no"}, {"kept", outcome.answer ? "yes" : "no"}});
    this->ledger.post(now, outcome);
}

} // namespace azureshore::outcomes
