#include "azureshore/gateway/gateway.hpp"

#include "azureshore/core/hash.hpp"
#include "azureshore/gateway/backend_pool.hpp"
#include "azureshore/gateway/http_port.hpp"
#include "azureshore/gateway/internal/account_counters.hpp"
#include "azureshore/gateway/internal/machine_limits.hpp"
#include "azureshore/gateway/internal/request_memory.hpp"
#include "azureshore/gateway/internal/request_times.hpp"
#include "azureshore/observe/metrics.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <cstdio>
#include <map>
#include <unordered_map>
#include <utility>

namespace azureshore::gateway {

namespace {

constexpr int status_bad_request = 400;
constexpr int first_server_error = 500;

// Text of a duration as Retry-After takes it here: seconds with a fraction.
std::string seconds_text(duration wait)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(wait).count());
    return text.data();
}

std::uint64_t fingerprint_of(const http1::request& request)
{
    return stable_hash(request.body, stable_hash(request.target, stable_hash(request.method)));
}

detail::caller_capacity capacity_of(const gateway_settings& settings)
{
    const auto machine =
        settings.memory_bytes > 0 ? settings.memory_bytes : detail::system_memory_bytes();
    return detail::capacity_of(machine, detail::system_descriptor_limit());
}

// A request has exactly one Host and a path; OPTIONS may ask about the server as a whole.
bool well_formed(const http1::request& request)
{
    const auto hosts =
        std::count_if(request.fields.begin(), request.fields.end(),
                      [](const net::field& each) { return net::same_name(each.name, "Host"); });
    return hosts == 1 && (request.target.starts_with('/') ||
                          (request.target == "*" && request.method == "OPTIONS"));
}

// The value of a field, or nothing if it is absent, repeated or has no name: one of several values
// must not be chosen at will.
std::string only_value(const http1::request& request, const std::string& name)
{
    const auto is_named = [&](const net::field& each) {
        return net::same_name(each.name, name);
    };
    if (name.empty() ||
        std::count_if(request.fields.begin(), request.fields.end(), is_named) != 1) {
        return {};
    }
    return std::string(net::trimmed(net::find_field(request.fields, name)));
}

std::string path_of(const http1::request& request)
{
    return request.target.substr(0, request.target.find('?'));
}

} // namespace

class http_gateway::state {
public:
    state(asio::io_context& context, const gateway_settings& settings, dialect spelling,
          observe::decision_hook decided, std::function<void(std::uint64_t)> suspected)
        : executor(context), words(std::move(spelling)), capacity(capacity_of(settings)),
          memory(std::make_shared<detail::request_memory>(this->capacity.memory_bytes)),
          pool(context, this->words, this->memory,
               [this](const auto& answer) { this->report(answer); }),
          log(std::move(decided)),
          decisions(settings.data_centre, settings.bounds, this->make_hooks(std::move(suspected))),
          port(context, settings.callers, this->make_port_hooks(),
               {this->memory, this->capacity.connections})
    {
    }

    ~state() { *this->alive = false; }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;

    [[nodiscard]] std::string metrics() const
    {
        const auto counted = this->decisions.counts();
        observe::metrics counters;
        counters.add("azureshore_requests_total", {}, counted.requests);
        counters.add("azureshore_answers_total", {}, counted.answered);
        counters.add("azureshore_refusals_total", {}, counted.refused);
        counters.add("azureshore_shortage_refusals_total", {{"stage", "arrival"}},
                     counted.refused_on_arrival);
        counters.add("azureshore_shortage_refusals_total", {{"stage", "displaced"}},
                     counted.displaced);
        counters.add("azureshore_shortage_refusals_total", {{"stage", "waited"}},
                     counted.waited_in_vain);
        counters.add("azureshore_attempts_total", {}, counted.attempts);
        counters.add("azureshore_second_sends_total", {}, counted.second_sends);
        counters.add("azureshore_probes_total", {}, counted.probes);
        counters.add("azureshore_backend_connections_opened_total", {}, this->pool.opened());
        const auto pipelines = this->port.pipelines();
        counters.add("azureshore_pipelined_requests_total", {}, pipelines.begun_early);
        counters.add("azureshore_cut_off_requests_total", {}, pipelines.cut_off);
        counters.add("azureshore_malformed_answers_total", {}, this->malformed_answers);
        counters.set("azureshore_held_answer_bytes", {},
                     static_cast<double>(this->pool.held_bytes()));
        this->add_memory(counters);
        auto text = counters.to_text() + this->client_errors.to_text();
        this->times.write(text);
        this->accounts.write(text);
        return text;
    }

    asio::io_context& executor;
    dialect words;
    detail::caller_capacity capacity;
    std::shared_ptr<detail::request_memory> memory;
    backend_pool pool;
    observe::decision_hook log;
    balance::dispatcher decisions;
    http_port port;
    detail::account_counters accounts;

private:
    void add_memory(observe::metrics& into) const
    {
        into.set("azureshore_caller_memory_bytes", {},
                 static_cast<double>(this->memory->held_bytes()));
        into.set("azureshore_caller_memory_limit_bytes", {},
                 static_cast<double>(this->memory->ceiling_bytes()));
        into.add("azureshore_caller_memory_refusals_total", {}, this->memory->refusals());
        into.add("azureshore_caller_memory_reclaims_total", {}, this->memory->reclaims());
        into.set("azureshore_caller_connections", {},
                 static_cast<double>(this->port.open_connections()));
        into.set("azureshore_caller_connections_limit", {},
                 static_cast<double>(this->capacity.connections));
        into.add("azureshore_caller_connections_closed_for_room_total", {},
                 this->port.closed_for_room());
    }

    struct stored_request {
        std::shared_ptr<const http1::request> request;
        std::map<attempt_number, http1::response> answers;
    };

    balance::dispatcher_hooks make_hooks(std::function<void(std::uint64_t)> suspected)
    {
        balance::dispatcher_hooks hooks;
        hooks.clock = steady_now;
        hooks.after = [this](duration delay, std::function<void()> work) {
            this->after(delay, std::move(work));
        };
        hooks.probe = [this](const balance::probe_order& order) {
            this->pool.probe(order, [this, probe = order.probe](const auto& reading) {
                this->decisions.probe_ended(probe, reading);
            });
        };
        hooks.release = [this](balance::probe_number probe) {
            this->pool.release(probe);
        };
        hooks.send = [this](const balance::attempt_order& order) {
            this->send(order);
        };
        hooks.cancel = [this](attempt_number attempt) {
            this->pool.cancel(attempt);
        };
        hooks.deliver = [this](request_number request, attempt_number attempt) {
            this->deliver(request, attempt);
        };
        hooks.refuse = [this](request_number request, const balance::refusal& why) {
            this->refuse(request, why);
        };
        hooks.random = system_random();
        hooks.decided = this->log;
        hooks.suspected = std::move(suspected);
        hooks.completed = [this](const balance::completed_request& request) {
            this->times.ended(request);
            this->accounts.ended(request);
        };
        return hooks;
    }

    http_port_hooks make_port_hooks()
    {
        http_port_hooks hooks;
        hooks.request = [this](request_number number, http1::request request, time_point arrived) {
            this->begin(number, std::move(request), arrived);
        };
        hooks.gone = [this](request_number number) {
            this->requests.erase(number);
            this->decisions.caller_gone(number);
        };
        hooks.may_run_concurrently = [this](const http1::request& request) {
            return this->is_idempotent(request);
        };
        hooks.rejected = [this](int status, std::string_view cause) {
            this->reject(status, cause, {});
        };
        return hooks;
    }

    void after(duration delay, std::function<void()> work)
    {
        auto timer = std::make_shared<asio::steady_timer>(this->executor, delay);
        timer->async_wait(
            [timer, alive = this->alive, work = std::move(work)](const asio::error_code& error) {
                if (!error && *alive) {
                    work();
                }
            });
    }

    // Whether the route of a request, in the configuration in force, says that it may run twice.
    [[nodiscard]] bool is_idempotent(const http1::request& request) const
    {
        const auto in_force = this->decisions.configuration();
        if (in_force == nullptr) {
            return false;
        }
        http1::request head;
        head.method = request.method;
        head.target = request.target;
        head.fields = request.fields;
        http1::use_origin_form(head);
        const auto* matched =
            in_force->find_route(net::find_field(head.fields, "Host"), path_of(head));
        return well_formed(head) && matched != nullptr && matched->idempotent;
    }

    void begin(request_number number, http1::request request, time_point arrived_at)
    {
        http1::use_origin_form(request);
        if (!well_formed(request)) {
            this->reject(status_bad_request, "no_single_host_and_path",
                         net::find_field(request.fields, this->words.request_id));
            http1::response refused;
            refused.status = status_bad_request;
            this->port.answer(number, std::move(refused));
            return;
        }
        balance::incoming_request arrived;
        arrived.number = number;
        arrived.id = net::find_field(request.fields, this->words.request_id);
        arrived.host = net::find_field(request.fields, "Host");
        arrived.path = path_of(request);
        arrived.fingerprint = fingerprint_of(request);
        arrived.account_key = only_value(request, this->words.account_key);
        arrived.arrived = arrived_at;
        const auto patience =
            net::parse_number(net::find_field(request.fields, this->words.deadline_ms));
        if (patience) {
            arrived.caller_timeout = std::chrono::milliseconds(*patience);
        }
        this->requests[number].request = std::make_shared<const http1::request>(std::move(request));
        this->decisions.begin(arrived);
    }

    // Logs a request that is refused before any decision on it, and counts it if refused with a
    // 4xx.
    void reject(int status, std::string_view cause, std::string_view id)
    {
        if (status < first_server_error) {
            this->count_client_error(status, cause);
        }
        else {
            this->client_errors.add(
                "azureshore_early_refusals_total",
                {{"cause", std::string(cause)}, {"status", std::to_string(status)}});
        }
        if (this->log) {
            this->log({"reject",
                       {{"request", std::string(id)},
                        {"cause", std::string(cause)},
                        {"status", std::to_string(status)}}});
        }
    }

    void report(const malformed_answer& answer)
    {
        ++this->malformed_answers;
        if (this->log) {
            this->log({"malformed_answer",
                       {{"request", answer.request},
                        {"backend", answer.backend.value},
                        {"read", answer.line}}});
        }
    }

    void count_client_error(int status, std::string_view cause)
    {
        this->client_errors.add(
            "azureshore_client_errors_total",
            {{"cause", std::string(cause)}, {"status", std::to_string(status)}});
    }

    void send(const balance::attempt_order& order)
    {
        this->pool.send(
            order, this->requests.at(order.request).request,
            [this, order](const balance::attempt_result& result, http1::response answer) {
                const auto found = this->requests.find(order.request);
                if (found != this->requests.end() && result.end == balance::attempt_end::answered) {
                    found->second.answers[order.attempt] = std::move(answer);
                }
                this->decisions.attempt_ended(order.attempt, result);
            });
    }

    void deliver(request_number request, attempt_number attempt)
    {
        auto stored = this->requests.extract(request);
        auto& from = stored.mapped().answers.at(attempt);
        http1::response answer;
        answer.status = from.status;
        answer.fields = this->forwarded(*stored.mapped().request, from);
        answer.body = std::move(from.body);
        answer.memory = std::move(from.memory);
        // What waits for the caller now is the answer alone.
        stored = {};
        this->port.answer(request, std::move(answer));
    }

    // An answer to HEAD keeps the length that it names.
    std::vector<net::field> forwarded(const http1::request& request,
                                      const http1::response& answer) const
    {
        auto fields = net::end_to_end(answer.fields);
        const auto length = net::find_field(answer.fields, "Content-Length");
        if (request.method == "HEAD" && !length.empty()) {
            fields.push_back({"Content-Length", std::string(length)});
        }
        return fields;
    }

    void refuse(request_number request, const balance::refusal& why)
    {
        if (why.status < first_server_error) {
            this->count_client_error(why.status, balance::to_string(why.cause));
        }
        const auto stored = this->requests.extract(request);
        http1::response answer;
        answer.status = why.status;
        if (!stored.empty()) {
            const auto id =
                net::find_field(stored.mapped().request->fields, this->words.request_id);
            answer.fields.push_back({this->words.request_id, std::string(id)});
        }
        answer.fields.push_back({"Content-Type", "text/plain"});
        if (why.retry_after) {
            answer.fields.push_back({"Retry-After", seconds_text(*why.retry_after)});
        }
        answer.body = std::string(balance::to_string(why.cause)) + '\n';
        this->port.answer(request, std::move(answer));
    }

    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::unordered_map<request_number, stored_request> requests;
    detail::request_times times;
    observe::metrics client_errors;
    std::uint64_t malformed_answers = 0;
};

http_gateway::http_gateway(asio::io_context& executor, const gateway_settings& settings,
                           dialect words, observe::decision_hook decided,
                           std::function<void(std::uint64_t fingerprint)> suspected)
    : inner(std::make_unique<state>(executor, settings, std::move(words), std::move(decided),
                                    std::move(suspected)))
{
}

http_gateway::~http_gateway() = default;

balance::dispatcher& http_gateway::decisions()
{
    return this->inner->decisions;
}

bool http_gateway::configure(std::shared_ptr<const balance::traffic_configuration> next)
{
    const auto in_force = next;
    if (!this->inner->decisions.configure(std::move(next))) {
        return false;
    }
    this->inner->port.set_limits(in_force->limits);
    this->inner->accounts.configure(*in_force);
    return true;
}

void http_gateway::backend_removed(const backend_id& id)
{
    this->inner->decisions.backend_removed(id);
    this->inner->pool.forget(id);
}

void http_gateway::begin_stop(const balance::planned_stop& plan)
{
    this->inner->port.stop_keeping();
    this->inner->decisions.begin_stop(plan);
}

void http_gateway::end_stop()
{
    this->inner->decisions.end_stop();
}

void http_gateway::stop()
{
    this->inner->port.stop();
}

std::uint16_t http_gateway::port() const
{
    return this->inner->port.port();
}

std::size_t http_gateway::in_flight() const
{
    return this->inner->port.in_flight();
}

std::string http_gateway::metrics() const
{
    return this->inner->metrics();
}

} // namespace azureshore::gateway
