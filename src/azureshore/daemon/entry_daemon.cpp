#include "azureshore/daemon/entry_daemon.hpp"

#include "azureshore/daemon/internal/admin_pages.hpp"
#include "azureshore/daemon/internal/backend_pool.hpp"
#include "azureshore/daemon/internal/io_thread.hpp"
#include "azureshore/daemon/internal/pending_calls.hpp"
#include "azureshore/daemon/internal/platform_link.hpp"
#include "azureshore/daemon/start_signals.hpp"
#include "azureshore/node/entry_node.hpp"
#include "azureshore/node/lifecycle.hpp"
#include "azureshore/observe/log.hpp"
#include "azureshore/observe/metrics.hpp"
#include "azureshore/proxy/front.hpp"
#include "azureshore/wire/message.hpp"
#include "azureshore/wire/seal.hpp"
#include "azureshore/wire/transport.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <shared_mutex>
#include <stdexcept>
#include <string>
#include <utility>

namespace azureshore::daemon {

namespace {

constexpr std::chrono::milliseconds stop_check{10};

// A planned stop waits this long for the log to take the outcomes of keyed requests.
constexpr std::chrono::seconds longest_settling{3};

// Numbers this run of the VM's process: a later run has a higher number.
std::uint64_t make_incarnation()
{
    const auto started = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(started).count());
}

instance_id make_instance(const vm_id& name, std::uint64_t incarnation)
{
    return {name.value + '-' + std::to_string(incarnation)};
}

std::vector<wire::seal_key> read_keys(const std::vector<std::string>& texts)
{
    std::vector<wire::seal_key> keys;
    for (const auto& each : texts) {
        const auto key = wire::parse_seal_key(each);
        if (!key.ok()) {
            throw std::invalid_argument("peers.keys: " + std::string(key.status().message()));
        }
        keys.push_back(*key);
    }
    return keys;
}

std::string outcome_of(const outcomes::caller_response& word)
{
    if (word.answer) {
        return "answered";
    }
    return word.refused ? std::string(outcomes::to_string(word.refused->cause)) : "none";
}

} // namespace

class entry_daemon::state {
public:
    explicit state(const settings::daemon_settings& from)
        : settings(from), decided(observe::make_decision_log(from.decision_percent)),
          incarnation(make_incarnation()), keys(read_keys(from.peer_keys)),
          sealer(from.name, this->incarnation, this->keys.front()), opener(from.name, this->keys),
          platform(this->control, from),
          backends(from.backend_threads, make_instance(from.name, this->incarnation),
                   [this](const service_id& service, const outcomes::attempt_report& report) {
                       this->attempt_ended(service, report);
                   }),
          transport(from.peers, [this](const std::string& bytes) { this->received(bytes); }),
          node(this->self(), system_random(), this->make_node_hooks(), this->make_member_options()),
          front(this->make_front_settings(), this->make_front_hooks()),
          admin(this->make_admin_settings(), this->make_admin_hooks())
    {
    }

    ~state()
    {
        // Threads end before what they use; the transport's are shut out, as it must outlive the
        // servers that send by it.
        {
            const std::unique_lock hold(this->gate);
            this->open = false;
        }
        this->control.stop();
        this->backends.stop();
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;

    int run()
    {
        asio::signal_set signals(this->main, SIGTERM, SIGINT);
        this->await_signal(signals);
        release_signals();
        this->open_gate();
        this->node.start();
        this->platform.follow_list([this](const std::vector<platform::vm_entry>& entries) {
            this->node.update_list(entries);
        });
        this->announce();
        this->main.run();
        return this->exit_status;
    }

private:
    [[nodiscard]] membership::member self() const
    {
        return {this->settings.name, this->settings.data_centre, this->transport.where(),
                membership::member_state::live};
    }

    [[nodiscard]] membership::member_options make_member_options() const
    {
        membership::member_options options;
        options.incarnation = this->incarnation;
        return options;
    }

    node::node_hooks make_node_hooks()
    {
        node::node_hooks hooks;
        hooks.clock = steady_now;
        hooks.after = [this](duration delay, std::function<void()> work) {
            this->control.after(delay, std::move(work));
        };
        hooks.send = [this](const address& where, const vm_id& to, const wire::message& body) {
            this->send(where, to, body);
        };
        hooks.start_attempt = [this](const service_id& service,
                                     const outcomes::attempt_request& order) {
            this->backends.start(service, order);
        };
        hooks.cancel_attempt = [this](const service_id&, attempt_number attempt) {
            this->backends.cancel(attempt);
        };
        hooks.answer = [this](request_number request, const outcomes::caller_response& word) {
            this->answer(request, word);
        };
        hooks.probe = [this](const membership::backend_server& backend, node::probe_done done) {
            this->metrics.add("azureshore_probes_total", {{"service", backend.service.value}});
            this->backends.probe(backend, std::move(done));
        };
        hooks.log = this->platform.log();
        hooks.peers_changed = [this](const std::vector<address>& peers) {
            this->transport.keep_only(peers);
        };
        hooks.decided = this->decided;
        return hooks;
    }

    [[nodiscard]] proxy::front_settings make_front_settings() const
    {
        proxy::front_settings made;
        made.server.where = this->settings.callers;
        made.server.threads = this->settings.caller_threads;
        made.server.max_body = this->settings.max_body;
        made.server.read_timeout = this->settings.read_timeout;
        return made;
    }

    proxy::front_hooks make_front_hooks()
    {
        proxy::front_hooks hooks;
        hooks.begin = [this](outcomes::incoming_request request) {
            this->pending.add(request.number, {request.service, steady_now()});
            this->node.begin(std::move(request));
        };
        hooks.gone = [this](request_number request) {
            if (const auto call = this->pending.take(request)) {
                this->count(*call, "caller_gone");
                this->node.caller_gone(call->service, request);
            }
        };
        hooks.refused = [this](const outcomes::refusal& refused) {
            const std::string cause(outcomes::to_string(refused.cause));
            this->metrics.add("azureshore_requests_total", {{"service", ""}, {"outcome", cause}});
        };
        return hooks;
    }

    [[nodiscard]] net::http_server_settings make_admin_settings() const
    {
        net::http_server_settings made;
        made.where = this->settings.admin;
        return made;
    }

    net::http_server_hooks make_admin_hooks()
    {
        detail::admin_sources sources;
        sources.not_ready = [this] {
            return this->not_ready();
        };
        sources.status = [this] {
            return node::to_json(this->node.status());
        };
        sources.metrics = [this] {
            this->gather_configuration();
            return this->metrics.to_text();
        };
        net::http_server_hooks hooks;
        hooks.call = [sources](const net::http_call& call, const net::responder& respond) {
            respond(detail::admin_page(call, sources));
        };
        return hooks;
    }

    // Copies the replica's own counts into the metrics when they are asked for.
    void gather_configuration()
    {
        const auto counted = this->node.configuration_counters();
        const auto set = [this](const char* verdict, std::uint64_t count) {
            this->metrics.set("azureshore_configuration_records", {{"verdict", verdict}},
                              static_cast<double>(count));
        };
        set("accepted", counted.accepted);
        set("refused", counted.refused);
        set("malformed", counted.malformed);
        set("from_future", counted.from_future);
        set("oversized", counted.oversized);
    }

    std::string not_ready()
    {
        if (this->draining) {
            return "shutting down";
        }
        return this->node.not_ready().value_or("");
    }

    void open_gate()
    {
        const std::unique_lock hold(this->gate);
        this->open = true;
    }

    void send(const address& where, const vm_id& to, const wire::message& body)
    {
        this->metrics.add("azureshore_messages_sent_total",
                          {{"kind", std::string(wire::name_of(body))}});
        const auto bytes = wire::encode({this->settings.name, body});
        this->transport.send(where, this->sealer.seal(to, bytes));
    }

    void drop(failure why)
    {
        this->metrics.add("azureshore_messages_dropped_total",
                          {{"why", std::string(to_string(why))}});
    }

    void received(const std::string& sealed)
    {
        const std::shared_lock hold(this->gate);
        if (!this->open) {
            return;
        }
        const auto opened = this->opener.open(sealed);
        if (!opened.ok()) {
            this->drop(failure_of(opened.status()));
            return;
        }
        const auto envelope = wire::decode(opened->bytes);
        if (!envelope.ok()) {
            this->drop(failure_of(envelope.status()));
            return;
        }
        if (envelope->from != opened->from) {
            this->drop(failure::message_unauthenticated);
            return;
        }
        this->node.receive(*envelope);
    }

    void attempt_ended(const service_id& service, const outcomes::attempt_report& report)
    {
        this->metrics.add("azureshore_attempts_total",
                          {{"service", service.value},
                           {"end", std::string(outcomes::to_string(report.end))},
                           {"proof", std::string(outcomes::to_string(report.proof))}});
        this->node.attempt_ended(service, report);
    }

    void answer(request_number request, const outcomes::caller_response& word)
    {
        if (const auto call = this->pending.take(request)) {
            this->count(*call, outcome_of(word));
        }
        this->front.answer(request, word);
    }

    void count(const detail::pending_call& call, const std::string& outcome)
    {
        this->metrics.add("azureshore_requests_total",
                          {{"service", call.service.value}, {"outcome", outcome}});
        this->metrics.observe("azureshore_request_seconds", {{"service", call.service.value}},
                              steady_now() - call.began);
    }

    void announce() const
    {
        const auto at = [](const address& listen, std::uint16_t port) {
            return to_string(address{listen.host, port});
        };
        std::cout << "azureshored " << this->settings.name
                  << " listening callers=" << at(this->settings.callers, this->front.port())
                  << " peers=" << to_string(this->transport.where())
                  << " admin=" << at(this->settings.admin, this->admin.port()) << std::endl;
    }

    node::lifecycle make_lifecycle()
    {
        node::lifecycle_options options;
        options.balancer_lag = this->settings.drain;
        options.stop_limit = this->settings.stop_within;
        node::lifecycle_hooks hooks;
        hooks.stop_being_ready = [this] {
            this->draining = true;
        };
        hooks.hand_over = [this] {
            asio::post(this->main, [this] { this->hand_over(); });
        };
        hooks.stop_accepting = [this] {
            this->front.stop();
        };
        hooks.exit = [this](int status) {
            this->exit_status = status;
            this->main.stop();
        };
        hooks.log = observe::log_event;
        return {options, std::move(hooks)};
    }

    void await_signal(asio::signal_set& signals)
    {
        signals.async_wait([this, &signals](const asio::error_code& error, int) {
            if (error) {
                return;
            }
            const bool first = this->life.ready();
            this->life.signalled(steady_now());
            if (first) {
                this->watch_stop();
            }
            this->await_signal(signals);
        });
    }

    void hand_over()
    {
        this->node.stop();
        this->settle_by = steady_now() + longest_settling;
        this->life.handed_over(steady_now());
    }

    // Tells the lifecycle what still runs, again and again until it ends the process.
    void watch_stop()
    {
        const auto now = steady_now();
        // A platform's log that is down must not hold up the stop for long.
        const bool settling = now < this->settle_by && !this->node.settled();
        this->life.set_in_flight(now, std::max(this->node.in_flight(), this->front.in_flight()) +
                                          (settling ? 1 : 0));
        this->life.tick(now);
        this->timer.expires_after(stop_check);
        this->timer.async_wait([this](const asio::error_code& error) {
            if (!error) {
                this->watch_stop();
            }
        });
    }

    settings::daemon_settings settings;
    observe::metrics metrics;
    observe::decision_hook decided;
    std::uint64_t incarnation;
    std::vector<wire::seal_key> keys;
    wire::sealer sealer;
    wire::opener opener;
    detail::pending_calls pending;
    std::atomic<bool> draining{false};
    // Messages are taken in while the gate is open: the transport listens before the node is
    // there and after it has gone.
    std::shared_mutex gate;
    bool open = false;
    time_point settle_by = time_point::max();
    int exit_status = exit_stopped;
    asio::io_context main{1};
    asio::steady_timer timer{main};
    detail::io_thread control;
    detail::platform_link platform;
    detail::backend_pool backends;
    wire::transport transport;
    node::entry_node node;
    proxy::front front;
    net::http_server admin;
    node::lifecycle life = this->make_lifecycle();
};

entry_daemon::entry_daemon(const settings::daemon_settings& settings)
    : inner(std::make_unique<state>(settings))
{
}

entry_daemon::~entry_daemon() = default;

int entry_daemon::run()
{
    return this->inner->run();
}

} // namespace azureshore::daemon
