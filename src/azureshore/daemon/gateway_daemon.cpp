#include "azureshore/daemon/gateway_daemon.hpp"

#include "azureshore/balance/backend_registry.hpp"
#include "azureshore/daemon/exit_status.hpp"
#include "azureshore/daemon/internal/account_quotas.hpp"
#include "azureshore/daemon/internal/address_wait.hpp"
#include "azureshore/daemon/internal/gateway_store.hpp"
#include "azureshore/daemon/start_signals.hpp"
#include "azureshore/daemon/version.hpp"
#include "azureshore/gateway/gateway.hpp"
#include "azureshore/gateway/http_port.hpp"
#include "azureshore/observe/event_log.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <iostream>
#include <optional>
#include <system_error>
#include <utility>

namespace azureshore::daemon {

namespace {

// Lines of the log are written together, at most this late.
constexpr duration log_interval = std::chrono::milliseconds(500);
// The platform's balancer asks once a second and believes two refusals.
constexpr duration balancer_lag = std::chrono::milliseconds(2600);
// A planned stop ends this long before it must, as timers fire late.
constexpr duration stop_margin = std::chrono::milliseconds(500);
// How often the settings file is compared with what was read of it.
constexpr duration file_interval = std::chrono::seconds(1);
// How often the address of the metrics page is tried again.
constexpr duration metrics_interval = std::chrono::seconds(5);
// How often the other addresses are tried at the start, and how much longer than a planned stop of
// the process before this one may take.
constexpr std::chrono::milliseconds address_interval(50);
constexpr duration address_margin = std::chrono::seconds(1);
constexpr duration stop_check = std::chrono::milliseconds(50);
// How long the answers that a stop gives to all remaining requests may take to be sent.
constexpr duration last_answers_time = std::chrono::milliseconds(200);
// Daemons that may send to one cold backend server: a second takes over at once when one ends.
constexpr std::size_t cold_sharers = 2;
// Until a daemon knows the others, it assumes this many, so that its share of the common bounds is
// not too large for a large deployment.
constexpr std::size_t assumed_daemons = 512;
// Larger blocks are mapped by themselves, so that memory goes back to the system when a body ends.
constexpr int least_mapped_bytes = 64 * 1024;
constexpr std::size_t bytes_per_mb = 1'000'000;
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

std::vector<detail::listen_address> addresses_of(const settings::gateway_settings& settings)
{
    using protocol = detail::transport_protocol;
    return {{"listen.callers", settings.callers, protocol::tcp},
            {"listen.ready", settings.ready, protocol::tcp},
            {"listen.peers", settings.peers, protocol::udp}};
}

// Returns false when the process was told to stop meanwhile.
bool pause_unless_told_to_stop()
{
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    const auto wait = std::chrono::duration_cast<std::chrono::nanoseconds>(address_interval);
    const timespec longest{0, static_cast<long>(wait.count())};
    return sigtimedwait(&stops, nullptr, &longest) < 0;
}

std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

class gateway_daemon::state {
public:
    state(const settings::gateway_settings_reading& read, std::string file, gateway_platform around)
        : state(read.settings, std::move(file), std::move(around))
    {
        this->report_substitutions(read.substitutions);
    }

    state(const settings::gateway_settings& from, std::string file, gateway_platform around)
        : settings(from), settings_file(std::move(file)), platform(std::move(around)),
          log({from.log_lines_per_second}, observe::descriptor_sink(STDOUT_FILENO), wall_clock_ms),
          gateway(
              this->executor, this->make_settings(), this->platform.words,
              [this](const observe::decision& made) {
                  this->log.write(steady_now(), observe::event_kind::request, made);
              },
              [this](std::uint64_t fingerprint) { this->store.tell_suspicion(fingerprint); }),
          quotas(this->executor, from, this->make_quota_hooks()),
          store(this->executor, from, this->platform, this->make_store_hooks()),
          ready_port(this->executor, from.ready, this->make_ready_hooks())
    {
    }

    int run()
    {
        std::signal(SIGPIPE, SIG_IGN);
        // Set explicitly, the limit doesn't grow with the blocks that are freed (mallopt(3)).
        mallopt(M_MMAP_THRESHOLD, least_mapped_bytes);
        this->await_signal();
        release_signals();
        this->flush_log();
        this->serve_metrics();
        this->watch_file();
        this->write({"start",
                     {{"vm", this->settings.name.value},
                      {"version", std::string(version)},
                      {"callers", to_string(this->settings.callers)},
                      {"store", to_string(this->settings.store)}}});
        this->report_bounds();
        this->share_bounds();
        if (!this->settings.first_start) {
            this->gateway.decisions().set_restarted();
        }
        this->gateway.decisions().set_observer(
            [this](const balance::attempt_observation& observed) {
                this->store.observe(observed);
            });
        this->gateway.decisions().set_configuration_check(
            [this] { return this->store.is_latest_configuration(); });
        this->gateway.decisions().set_quota_source(
            [this](const account_id& account,
                   std::function<void(const balance::quota_answer&)> done) {
                this->quotas.take(account, std::move(done));
            },
            [this](const account_id& account, time_point granted_at) {
                this->quotas.give_back(account, granted_at);
            });
        this->store.start();
        this->executor.run();
        this->log.flush();
        return exit_stopped;
    }

private:
    [[nodiscard]] gateway::gateway_settings make_settings() const
    {
        gateway::gateway_settings made;
        made.name = this->settings.name;
        made.data_centre = this->settings.data_centre;
        made.callers = this->settings.callers;
        made.bounds = {this->settings.retry_ratio, this->settings.retry_slack,
                       this->settings.retry_window, this->settings.probes_per_second};
        made.memory_bytes = this->settings.memory_mb * bytes_per_mb;
        return made;
    }

    detail::gateway_store_hooks make_store_hooks()
    {
        detail::gateway_store_hooks hooks;
        hooks.configured = [this](std::shared_ptr<const balance::traffic_configuration> next) {
            const auto number = next->version;
            const auto now_in_force = next;
            const bool taken = this->gateway.configure(std::move(next));
            if (taken) {
                this->quotas.configure(*now_in_force);
            }
            this->write({taken ? "configuration_in_force" : "configuration_outdated",
                         {{"version", std::to_string(number)}}});
        };
        hooks.out_of_service = [this](const std::set<data_centre_id>& data_centres) {
            this->gateway.decisions().set_out_of_service(data_centres);
        };
        hooks.backend_changed = [this](const balance::registration& now_known) {
            this->gateway.decisions().backend_changed(now_known);
        };
        hooks.backend_removed = [this](const backend_id& id) {
            this->gateway.backend_removed(id);
        };
        hooks.backends_listed = [this] {
            this->gateway.decisions().backends_listed();
        };
        hooks.received = [this](const wire::envelope& message) {
            this->quotas.receive(message);
        };
        hooks.members_changed = [this](const sharing::members& known) {
            this->quotas.members_changed(known);
            this->gateway.decisions().set_fleet(
                known.running_count(),
                [&known](const backend_id& id) { return known.share_of(id.value, cold_sharers); });
            this->gateway.decisions().set_total_rate_source(
                [this] { return this->store.total_request_rate(); });
        };
        hooks.request_rate = [this] {
            return this->gateway.decisions().request_rate();
        };
        hooks.suspected = [this](std::uint64_t fingerprint) {
            this->gateway.decisions().suspect(fingerprint);
        };
        hooks.log = [this](const observe::decision& event) {
            this->write(event);
        };
        hooks.rollouts.version_rule_set = [this](const service_id& service,
                                                 const balance::version_rule& rule) {
            this->gateway.decisions().set_version_rule(service, rule);
        };
        hooks.rollouts.version_rule_removed = [this](const service_id& service) {
            this->gateway.decisions().remove_version_rule(service);
        };
        hooks.rollouts.count_versions = [this](const service_id& service,
                                               const std::string& target) {
            const auto counted = this->gateway.decisions().count_versions(service, target);
            return rollout::service_counts{counted.target, counted.other};
        };
        hooks.rollouts.log = hooks.log;
        return hooks;
    }

    detail::account_quota_hooks make_quota_hooks()
    {
        return {[this](const vm_id& to, const wire::message& body) { this->store.send(to, body); },
                [this](const observe::decision& event) {
                    this->write(event);
                }};
    }

    gateway::http_port_hooks make_ready_hooks()
    {
        gateway::http_port_hooks hooks;
        hooks.request = [this](request_number number, const http1::request& request, time_point) {
            http1::response answer;
            answer.status = request.target != this->platform.readiness_path ? status_not_found
                            : this->ready()                                 ? status_ok
                                                                            : status_unavailable;
            this->ready_port.answer(number, std::move(answer));
        };
        return hooks;
    }

    gateway::http_port_hooks make_metrics_hooks()
    {
        gateway::http_port_hooks hooks;
        hooks.request = [this](request_number number, const http1::request&, time_point) {
            http1::response answer;
            answer.fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
            answer.body = this->gateway.metrics() + this->store.metrics() + this->quotas.metrics();
            this->metrics_port->answer(number, std::move(answer));
        };
        return hooks;
    }

    // Callers are served without a metrics page too, so a taken address is only tried again.
    void serve_metrics()
    {
        if (!this->settings.metrics) {
            return;
        }
        try {
            this->metrics_port.emplace(this->executor, *this->settings.metrics,
                                       this->make_metrics_hooks());
        }
        catch (const std::system_error& error) {
            this->write({"metrics_unavailable",
                         {{"address", to_string(*this->settings.metrics)},
                          {"why", error.code().message()}}});
            this->metrics_timer.expires_after(metrics_interval);
            this->metrics_timer.async_wait([this](const asio::error_code& cancelled) {
                if (!cancelled) {
                    this->serve_metrics();
                }
            });
        }
    }

    [[nodiscard]] bool ready() const { return !this->stopping && this->store.known(); }

    void write(const observe::decision& event)
    {
        this->log.write(steady_now(), observe::event_kind::state, event);
    }

    void share_bounds()
    {
        this->gateway.decisions().set_fleet(assumed_daemons, [](const backend_id&) {
            return 1.0 / static_cast<double>(assumed_daemons);
        });
    }

    void flush_log()
    {
        this->log.flush();
        this->log_timer.expires_after(log_interval);
        this->log_timer.async_wait([this](const asio::error_code& error) {
            if (!error) {
                this->flush_log();
            }
        });
    }

    void await_signal()
    {
        this->signals.async_wait([this](const asio::error_code& error, int number) {
            if (error) {
                return;
            }
            if (number == SIGHUP) {
                this->reload("signal");
            }
            else {
                this->begin_stop();
            }
            this->await_signal();
        });
    }

    // The file may change without a signal.
    void watch_file()
    {
        const auto text = settings::read_text_file(this->settings_file);
        if (text && *text != std::exchange(this->settings_text, *text) && this->file_read) {
            this->reload("file_changed");
        }
        this->file_read = this->file_read || text.has_value();
        this->file_timer.expires_after(file_interval);
        this->file_timer.async_wait([this](const asio::error_code& error) {
            if (!error) {
                this->watch_file();
            }
        });
    }

    // Names, addresses and the memory limit hold for the life of the process; the bounds are taken.
    void reload(const std::string& why)
    {
        const auto loaded = settings::load_gateway_settings(this->settings_file, &this->settings);
        if (!loaded.problems.empty()) {
            this->write({"reload_refused", {{"problem", to_string(loaded.problems.front())}}});
            return;
        }
        this->report_substitutions(loaded.substitutions);
        this->settings = loaded.settings;
        this->gateway.decisions().set_bounds(this->make_settings().bounds);
        this->quotas.set_bounds(this->settings);
        this->store.set_bounds(this->settings);
        this->write({"reload", {{"why", why}, {"file", this->settings_file}}});
        this->report_bounds();
    }

    void report_substitutions(const std::vector<settings::substitution>& made)
    {
        for (const auto& each : made) {
            this->write({"settings_default",
                         {{"key", each.fault.key},
                          {"found", each.fault.found},
                          {"allowed", each.fault.allowed},
                          {"used", each.used}}});
        }
    }

    void report_bounds()
    {
        const auto ms = [](duration span) {
            return std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
        };
        const auto& in_force = this->settings;
        this->write({"bounds_in_force",
                     {{"apply_within_ms", ms(in_force.apply_within)},
                      {"stop_within_ms", ms(in_force.stop_within)},
                      {"retry_window_ms", ms(in_force.retry_window)},
                      {"quota_window_ms", ms(in_force.quota_window)},
                      {"retry_ratio", std::to_string(in_force.retry_ratio)},
                      {"retry_slack", std::to_string(in_force.retry_slack)}}});
    }

    void begin_stop()
    {
        if (this->stopping) {
            return;
        }
        this->stopping = true;
        const auto now = steady_now();
        this->stop_plan = {now + balancer_lag, now + this->settings.stop_within - stop_margin};
        this->gateway.begin_stop(this->stop_plan);
        this->store.leave();
        this->write({"stop_begins", {{"in_flight", std::to_string(this->gateway.in_flight())}}});
        this->watch_stop();
    }

    void watch_stop()
    {
        const auto now = steady_now();
        if (now >= this->stop_plan.ends_at) {
            this->gateway.end_stop();
        }
        const bool must_end = now >= this->stop_plan.ends_at + last_answers_time;
        const bool may_end =
            now >= std::min(this->stop_plan.out_of_rotation_at, this->stop_plan.ends_at);
        const auto in_flight = this->gateway.in_flight();
        if (must_end || (may_end && in_flight == 0)) {
            this->write({"stop", {{"in_flight", std::to_string(in_flight)}}});
            this->gateway.stop();
            this->executor.stop();
            return;
        }
        this->stop_timer.expires_after(stop_check);
        this->stop_timer.async_wait([this](const asio::error_code& error) {
            if (!error) {
                this->watch_stop();
            }
        });
    }

    settings::gateway_settings settings;
    std::string settings_file;
    gateway_platform platform;
    observe::event_log log;
    asio::io_context executor{1};
    asio::signal_set signals{this->executor, SIGTERM, SIGINT, SIGHUP};
    asio::steady_timer log_timer{this->executor};
    asio::steady_timer stop_timer{this->executor};
    asio::steady_timer file_timer{this->executor};
    asio::steady_timer metrics_timer{this->executor};
    std::string settings_text;
    bool file_read = false;
    bool stopping = false;
    balance::planned_stop stop_plan;
    gateway::http_gateway gateway;
    detail::account_quotas quotas;
    detail::gateway_store store;
    gateway::http_port ready_port;
    std::optional<gateway::http_port> metrics_port;
};

gateway_daemon::gateway_daemon(const settings::gateway_settings_reading& read,
                               std::string settings_file, gateway_platform platform)
{
    const bool free = detail::wait_for_addresses(
        addresses_of(read.settings), read.settings.stop_within + address_margin,
        pause_unless_told_to_stop, [](const detail::listen_address& taken) {
            std::cerr << "azureshored: " << taken.key << ": " << to_string(taken.where)
                      << " is taken; waiting for the process before to end" << std::endl;
        });
    if (free) {
        this->inner = std::make_unique<state>(read, std::move(settings_file), std::move(platform));
    }
}

gateway_daemon::~gateway_daemon() = default;

int gateway_daemon::run()
{
    return this->inner ? this->inner->run() : exit_stopped;
}

} // namespace azureshore::daemon
