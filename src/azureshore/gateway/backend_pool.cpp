#include "azureshore/gateway/backend_pool.hpp"

#include "azureshore/gateway/internal/backend_connection.hpp"

#include <unordered_map>
#include <utility>
#include <vector>

namespace azureshore::gateway {

namespace {

using detail::backend_connection;
using detail::exchange_end;
using connection_ptr = std::shared_ptr<backend_connection>;

// A probe that takes longer says that its backend server can't be used now.
constexpr duration probe_limit = std::chrono::milliseconds(250);
// Idle connections kept to one backend server.
constexpr std::size_t most_idle = 4;
constexpr int status_ok = 200;
constexpr int status_misdirected = 421;

std::optional<duration> read_milliseconds(std::string_view text)
{
    if (const auto number = net::parse_number(text)) {
        return std::chrono::milliseconds(*number);
    }
    return std::nullopt;
}

// An address that names no host becomes one to which every connection fails.
asio::ip::tcp::endpoint endpoint_of(const address& where)
{
    asio::error_code error;
    const auto host = asio::ip::make_address(where.host, error);
    return error ? asio::ip::tcp::endpoint() : asio::ip::tcp::endpoint(host, where.port);
}

bool answers_at_all(const http1::response& answer, const dialect& words)
{
    return !net::find_field(answer.fields, words.signature).empty();
}

} // namespace

class backend_pool::state : public std::enable_shared_from_this<backend_pool::state> {
public:
    state(asio::io_context& context, dialect spelling,
          std::shared_ptr<detail::request_memory> account,
          std::function<void(const malformed_answer&)> on_malformed)
        : memory(std::make_shared<detail::answer_memory>(std::move(account))), executor(context),
          words(std::move(spelling)), malformed(std::move(on_malformed))
    {
    }

    void probe(const balance::probe_order& order, probe_done done)
    {
        const auto connection = this->take(order.backend, order.endpoint);
        http1::request asked;
        asked.target = order.health_path;
        asked.fields = {{"Host", to_string(order.endpoint)}};
        detail::exchange next;
        next.bytes = http1::write_request(asked);
        next.timeout = probe_limit;
        // A late answer to an earlier request bears a signature.
        next.matches = [this](const http1::response& answer) {
            return !answers_at_all(answer, this->words);
        };
        next.done = [this, order, connection,
                     done = std::move(done)](const detail::exchange_result& result) {
            this->report_malformed(order.backend, "", result);
            const auto reading = this->read_probe(order, result);
            if (reading) {
                this->held[order.probe] = {order.backend, connection};
            }
            done(reading);
        };
        connection->start(std::move(next));
    }

    void release(balance::probe_number probe)
    {
        if (const auto found = this->held.find(probe); found != this->held.end()) {
            const auto kept = std::move(found->second);
            this->held.erase(found);
            this->keep(kept.backend, kept.connection);
        }
    }

    void send(const balance::attempt_order& order,
              const std::shared_ptr<const http1::request>& request, attempt_done done)
    {
        const std::string id(net::find_field(request->fields, this->words.request_id));
        const auto connection = this->connection_for(order, id);
        this->running[order.attempt] = connection;
        detail::exchange next;
        next.bytes =
            http1::write_request_head(this->completed(order, *request), request->body.size());
        next.body = {request, &request->body};
        next.is_head = request->method == "HEAD";
        next.id = id;
        next.matches = [this, id](const http1::response& answer) {
            return net::find_field(answer.fields, this->words.request_id) == id;
        };
        next.done = [this, order, connection, id,
                     done = std::move(done)](detail::exchange_result result) {
            this->running.erase(order.attempt);
            this->report_malformed(order.backend, id, result);
            const auto ended = this->read_result(result);
            if (ended.end == balance::attempt_end::unknown) {
                connection->abandon();
            }
            else {
                this->keep(order.backend, connection);
            }
            done(ended, std::move(result.answer));
        };
        connection->start(std::move(next));
    }

    void cancel(attempt_number attempt)
    {
        if (const auto found = this->running.find(attempt); found != this->running.end()) {
            found->second->abandon();
            this->running.erase(found);
        }
    }

    void forget(const backend_id& backend)
    {
        const auto found = this->idle.find(backend);
        if (found == this->idle.end()) {
            return;
        }
        const auto all = std::move(found->second);
        this->idle.erase(found);
        for (const auto& each : all) {
            each->abandon();
        }
    }

    void close_all()
    {
        for (auto& [backend, all] : this->idle) {
            for (const auto& each : all) {
                each->abandon();
            }
        }
        for (auto& [attempt, each] : this->running) {
            each->abandon();
        }
        for (auto& [probe, each] : this->held) {
            each.connection->abandon();
        }
    }

    std::uint64_t opened = 0;
    std::shared_ptr<detail::answer_memory> memory;

private:
    struct held_connection {
        backend_id backend;
        connection_ptr connection;
    };

    void report_malformed(const backend_id& backend, const std::string& request,
                          const detail::exchange_result& result) const
    {
        if (result.end == exchange_end::malformed && this->malformed) {
            this->malformed({backend, request, result.line});
        }
    }

    // The connection of the probe, unless it has carried a request of the same identifier.
    connection_ptr connection_for(const balance::attempt_order& order, const std::string& id)
    {
        if (order.probe) {
            const auto found = this->held.find(*order.probe);
            if (found != this->held.end()) {
                auto kept = found->second.connection;
                this->held.erase(found);
                if (kept->reusable() && !kept->has_carried(id)) {
                    return kept;
                }
                this->keep(order.backend, kept);
            }
        }
        return this->open(order.endpoint);
    }

    connection_ptr take(const backend_id& backend, const address& where)
    {
        auto& all = this->idle[backend];
        while (!all.empty()) {
            auto last = all.back();
            all.pop_back();
            last->closed_idle = nullptr;
            if (last->reusable()) {
                return last;
            }
        }
        return this->open(where);
    }

    connection_ptr open(const address& where)
    {
        ++this->opened;
        return std::make_shared<backend_connection>(this->executor, endpoint_of(where),
                                                    this->memory);
    }

    void keep(const backend_id& backend, const connection_ptr& connection)
    {
        if (!connection->reusable()) {
            return;
        }
        auto& all = this->idle[backend];
        if (all.size() >= most_idle) {
            connection->abandon();
            return;
        }
        all.push_back(connection);
        connection->closed_idle = [this, backend, raw = connection.get()] {
            std::erase_if(this->idle[backend],
                          [raw](const connection_ptr& each) { return each.get() == raw; });
        };
    }

    // The request as it is sent, without its body.
    http1::request completed(const balance::attempt_order& order,
                             const http1::request& request) const
    {
        http1::request out;
        out.method = request.method;
        out.target = request.target;
        for (auto& each : net::end_to_end(request.fields)) {
            if (this->is_forwarded(order, each.name)) {
                out.fields.push_back(std::move(each));
            }
        }
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(order.time_left);
        out.fields.push_back(
            {this->words.deadline_ms, std::to_string(std::max<std::int64_t>(left.count(), 1))});
        out.fields.push_back({this->words.expected_instance, order.backend.value});
        if (order.account && !this->words.account.empty()) {
            out.fields.push_back({this->words.account, order.account->value});
        }
        return out;
    }

    // Whether a caller's field is passed on to the backend server. Fields that the gateway sets
    // itself are not, nor is the key of the caller's account.
    bool is_forwarded(const balance::attempt_order& order, std::string_view name) const
    {
        if (net::same_name(name, this->words.deadline_ms) ||
            net::same_name(name, this->words.expected_instance)) {
            return false;
        }
        return !order.keys_required || (!net::same_name(name, this->words.account_key) &&
                                        !net::same_name(name, this->words.account));
    }

    std::optional<balance::probe_result> read_probe(const balance::probe_order& order,
                                                    const detail::exchange_result& result) const
    {
        if (result.end != exchange_end::answered) {
            return std::nullopt;
        }
        const auto& fields = result.answer.fields;
        const auto instance = net::find_field(fields, this->words.instance);
        if (!instance.empty() && instance != order.backend.value) {
            return std::nullopt;
        }
        balance::probe_result reading;
        reading.healthy = result.answer.status == status_ok;
        reading.load = this->words.read_load(net::find_field(fields, this->words.load));
        reading.cold_remaining = read_milliseconds(net::find_field(fields, this->words.cold_ms));
        return reading;
    }

    balance::attempt_result read_result(const detail::exchange_result& result) const
    {
        balance::attempt_result ended;
        if (result.end == exchange_end::not_connected) {
            ended.end = balance::attempt_end::not_run;
            return ended;
        }
        if (result.end != exchange_end::answered) {
            ended.end = balance::attempt_end::unknown;
            ended.connection_lost = result.end == exchange_end::broken;
            ended.answer_too_large = result.end == exchange_end::too_large;
            ended.out_of_memory = result.end == exchange_end::no_memory;
            return ended;
        }
        const auto& answer = result.answer;
        ended.status = answer.status;
        ended.is_signed = answers_at_all(answer, this->words);
        ended.load = this->words.read_load(net::find_field(answer.fields, this->words.load));
        const bool declined = answer.status == status_misdirected ||
                              !net::find_field(answer.fields, this->words.not_run).empty();
        // An answer without the signature may not come from the backend server, so it does not tell
        // whether the request ran.
        ended.end = declined          ? balance::attempt_end::not_run
                    : ended.is_signed ? balance::attempt_end::answered
                                      : balance::attempt_end::unknown;
        return ended;
    }

    asio::io_context& executor;
    dialect words;
    std::function<void(const malformed_answer&)> malformed;
    std::unordered_map<backend_id, std::vector<connection_ptr>> idle;
    std::unordered_map<balance::probe_number, held_connection> held;
    std::unordered_map<attempt_number, connection_ptr> running;
};

backend_pool::backend_pool(asio::io_context& executor, dialect words,
                           std::shared_ptr<detail::request_memory> memory,
                           std::function<void(const malformed_answer&)> malformed)
    : inner(std::make_shared<state>(executor, std::move(words), std::move(memory),
                                    std::move(malformed)))
{
}

backend_pool::~backend_pool()
{
    this->inner->close_all();
}

void backend_pool::probe(const balance::probe_order& order, probe_done done)
{
    this->inner->probe(order, std::move(done));
}

void backend_pool::release(balance::probe_number probe)
{
    this->inner->release(probe);
}

void backend_pool::send(const balance::attempt_order& order,
                        const std::shared_ptr<const http1::request>& request, attempt_done done)
{
    this->inner->send(order, request, std::move(done));
}

void backend_pool::cancel(attempt_number attempt)
{
    this->inner->cancel(attempt);
}

void backend_pool::forget(const backend_id& backend)
{
    this->inner->forget(backend);
}

std::size_t backend_pool::held_bytes() const
{
    return this->inner->memory->held_bytes();
}

std::uint64_t backend_pool::opened() const
{
    return this->inner->opened;
}

} // namespace azureshore::gateway
