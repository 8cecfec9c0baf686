#include "azureshore/daemon/internal/backend_pool.hpp"

#include <functional>
#include <optional>
#include <utility>

namespace azureshore::daemon::detail {

namespace {

constexpr std::chrono::milliseconds probe_timeout{500};

std::optional<routing::probe_result> to_result(const std::optional<proxy::probe_answer>& answer)
{
    if (!answer) {
        return std::nullopt;
    }
    return routing::probe_result{answer->healthy, answer->instance, answer->load};
}

} // namespace

backend_pool::backend_pool(std::size_t threads, const instance_id& self, attempt_ended done)
    : ended(std::move(done))
{
    for (std::size_t i = 0; i < threads; ++i) {
        auto made = std::make_unique<worker>();
        auto* each = made.get();
        proxy::backend_client_hooks hooks;
        hooks.ended = [this, each](const outcomes::attempt_report& report) {
            this->report(*each, report);
        };
        each->client = std::make_unique<proxy::backend_client>(each->thread.executor(), self,
                                                               std::move(hooks));
        this->workers.push_back(std::move(made));
    }
}

void backend_pool::start(const service_id& service, const outcomes::attempt_request& order)
{
    auto& chosen = this->worker_of(order.attempt.value);
    chosen.thread.post([&chosen, service, order] {
        chosen.services.emplace(order.attempt, service);
        chosen.client->start(order);
    });
}

void backend_pool::cancel(attempt_number attempt)
{
    auto& chosen = this->worker_of(attempt.value);
    chosen.thread.post([&chosen, attempt] { chosen.client->cancel(attempt); });
}

void backend_pool::probe(const membership::backend_server& backend, node::probe_done done)
{
    auto& chosen = this->worker_of(std::hash<backend_id>{}(backend.name));
    chosen.thread.post([&chosen, where = backend.endpoint, done = std::move(done)] {
        chosen.client->probe(
            where, probe_timeout,
            [done](const std::optional<proxy::probe_answer>& answer) { done(to_result(answer)); });
    });
}

void backend_pool::stop()
{
    for (const auto& each : this->workers) {
        each->thread.stop();
    }
}

backend_pool::worker& backend_pool::worker_of(std::uint64_t number)
{
    return *this->workers[number % this->workers.size()];
}

void backend_pool::report(worker& from, const outcomes::attempt_report& report)
{
    const auto found = from.services.extract(report.attempt);
    if (!found.empty()) {
        this->ended(found.mapped(), report);
    }
}

} // namespace azureshore::daemon::detail
