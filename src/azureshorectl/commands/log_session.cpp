#include "azureshorectl/commands/log_session.hpp"

#include "azureshore/core/failure.hpp"
#include "azureshore/core/random.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::ctl {

namespace {

constexpr auto retry_interval = std::chrono::milliseconds(200);

configuration::replica_hooks reading_hooks(std::map<std::string, configuration::fold_outcome>& into)
{
    configuration::replica_hooks hooks;
    hooks.send = [](const vm_id& /*to*/, const wire::message& /*body*/) {
    };
    hooks.append = [](std::uint64_t /*id*/, const std::string& /*bytes*/) {
    };
    hooks.in_force = [](const auto& /*made*/) {
    };
    hooks.folded = [&into](std::uint64_t /*offset*/, const configuration::fold_outcome& outcome) {
        if (!outcome.change_id.empty()) {
            into.emplace(outcome.change_id, outcome);
        }
    };
    return hooks;
}

} // namespace

log_session::log_session(environment& around, duration timeout)
    : world(around), longest_call(timeout),
      replica(std::make_unique<configuration::replica>(vm_id{"azureshorectl"}, seeded_random(0),
                                                       reading_hooks(this->outcomes)))
{
}

platform::read_result log_session::read(std::chrono::milliseconds wait, time_point until)
{
    const auto answer = std::make_shared<std::optional<platform::read_result>>();
    this->world.log.read(configuration::configuration_stream, this->replica->next_offset(), wait,
                         [answer](platform::read_result result) { *answer = std::move(result); });
    this->world.run_until([answer] { return answer->has_value(); }, until);
    return answer->value_or(platform::read_result{});
}

absl::Status log_session::load(time_point until)
{
    while (true) {
        const auto result = this->read(std::chrono::milliseconds(0), until);
        this->replica->log_read(this->world.now(), result);
        const bool answered = result.outcome != platform::read_outcome::unavailable;
        const bool at_end = this->replica->next_offset() >= result.next_offset;
        if (answered && at_end && this->state().next_offset() >= result.next_offset) {
            return absl::OkStatus();
        }
        if (answered && at_end) {
            return make_status(failure::record_expired,
                               "the log's first records are past retention and it has no snapshot");
        }
        if (this->world.now() >= until) {
            return make_status(failure::platform_unreachable, "the platform's log cannot be read");
        }
        if (!answered) {
            const auto next = std::min(until, this->world.now() + retry_interval);
            this->world.run_until([] { return false; }, next);
        }
    }
}

absl::Status log_session::follow(std::chrono::milliseconds wait)
{
    const auto result = this->read(wait, this->world.now() + wait + this->longest_call);
    if (result.outcome == platform::read_outcome::unavailable) {
        return make_status(failure::platform_unreachable, "the platform's log cannot be read");
    }
    this->replica->log_read(this->world.now(), result);
    return absl::OkStatus();
}

const configuration::folded_state& log_session::state() const
{
    return this->replica->folded();
}

const configuration::fold_outcome* log_session::outcome_of(const std::string& change_id) const
{
    const auto at = this->outcomes.find(change_id);
    return at == this->outcomes.end() ? nullptr : &at->second;
}

platform::append_result log_session::append(const std::string& bytes)
{
    const auto answer = std::make_shared<std::optional<platform::append_result>>();
    this->world.log.append(configuration::configuration_stream, bytes,
                           [answer](platform::append_result result) { *answer = result; });
    this->world.run_until([answer] { return answer->has_value(); },
                          this->world.now() + this->longest_call);
    return answer->value_or(platform::append_result{});
}

} // namespace azureshore::ctl
