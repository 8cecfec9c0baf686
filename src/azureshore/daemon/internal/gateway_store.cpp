#include "azureshore/daemon/internal/gateway_store.hpp"

#include <asio/io_context.hpp>

#include <utility>

namespace azureshore::daemon::detail {

namespace {

// Longest wait of one read of the operators' topic, and the pause between two of the
// registrations': both leave time for a second try within the bound of two seconds.
constexpr std::chrono::milliseconds operators_wait(5000);
constexpr duration registrations_interval = std::chrono::milliseconds(700);
constexpr duration tick_interval = std::chrono::milliseconds(250);

balance::registry_hooks registry_hooks_of(const gateway_store_hooks& hooks)
{
    balance::registry_hooks made;
    made.changed = [&hooks](const balance::registration& now_known) {
        hooks.log({"backend_registered",
                   {{"backend", now_known.id.value},
                    {"service", now_known.service.value},
                    {"address", to_string(now_known.where)},
                    {"state", now_known.draining ? "draining" : "ready"},
                    {"sequence", std::to_string(now_known.sequence)}}});
        hooks.backend_changed(now_known);
    };
    made.removed = [&hooks](const backend_id& id, const std::string& why) {
        hooks.log({"backend_removed", {{"backend", id.value}, {"why", why}}});
        hooks.backend_removed(id);
    };
    return made;
}

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

gateway_store::gateway_store(asio::io_context& context, const settings::gateway_settings& settings,
                             gateway_platform& around, gateway_store_hooks told)
    : executor(context), platform(around), hooks(std::move(told)), http(context),
      registry(registry_hooks_of(this->hooks)), timer(context)
{
    const auto topics = around.open_topics(this->http, settings.store, settings.store_timeout);
    this->operators = std::make_unique<platform::topic_follower>(
        topics.operators,
        platform::follower_settings{operators_wait, duration{}, std::chrono::milliseconds(300)},
        this->operators_hooks());
    this->registrations = std::make_unique<platform::topic_follower>(
        topics.registrations,
        platform::follower_settings{std::chrono::milliseconds(0), registrations_interval,
                                    std::chrono::milliseconds(300)},
        this->registrations_hooks());
}

void gateway_store::start()
{
    this->operators->start();
    this->registrations->start();
    this->tick();
}

bool gateway_store::known() const
{
    return this->configured && this->registrations->listed();
}

void gateway_store::after(duration delay, std::function<void()> work)
{
    auto later = std::make_shared<asio::steady_timer>(this->executor, delay);
    later->async_wait([later, work = std::move(work)](const asio::error_code& error) {
        if (!error) {
            work();
        }
    });
}

platform::follower_hooks gateway_store::operators_hooks()
{
    platform::follower_hooks made;
    made.after = [this](duration delay, std::function<void()> work) {
        this->after(delay, std::move(work));
    };
    made.listed = [this](const std::vector<platform::keyed_record>& records) {
        this->take_all_operator_records(records);
    };
    made.changed = [this](const platform::keyed_record& record) {
        this->take_operator_record(record);
    };
    made.lost = [this] {
        this->hooks.log({"store_lost", {{"topic", "operators"}}});
    };
    made.back = [this] {
        this->hooks.log({"store_back", {{"topic", "operators"}}});
    };
    return made;
}

platform::follower_hooks gateway_store::registrations_hooks()
{
    platform::follower_hooks made;
    made.after = [this](duration delay, std::function<void()> work) {
        this->after(delay, std::move(work));
    };
    made.listed = [this](const std::vector<platform::keyed_record>& records) {
        this->take_all_registrations(records);
    };
    made.changed = [this](const platform::keyed_record& record) {
        this->take_registration(record);
    };
    made.lost = [this] {
        this->hooks.log({"store_lost", {{"topic", "registrations"}}});
        this->registry.store_lost(clock_now());
    };
    made.back = [this] {
        this->hooks.log({"store_back", {{"topic", "registrations"}}});
        this->registry.store_back(clock_now());
    };
    return made;
}

void gateway_store::take_all_operator_records(const std::vector<platform::keyed_record>& records)
{
    this->out_of_service.clear();
    for (const auto& each : records) {
        this->take_operator_record(each);
    }
    this->hooks.out_of_service(this->out_of_service);
}

void gateway_store::take_operator_record(const platform::keyed_record& record)
{
    auto read = this->platform.read_operator_record(record);
    if (!read.ok()) {
        this->log_unreadable(record, read.status());
        return;
    }
    if (auto* next = std::get_if<balance::traffic_configuration>(&*read)) {
        this->configured = true;
        this->hooks.configured(
            std::make_shared<const balance::traffic_configuration>(std::move(*next)));
    }
    else if (const auto* change = std::get_if<data_centre_service>(&*read)) {
        this->set_in_service(*change);
    }
}

void gateway_store::set_in_service(const data_centre_service& change)
{
    if (change.in_service) {
        this->out_of_service.erase(change.name);
    }
    else {
        this->out_of_service.insert(change.name);
    }
    this->hooks.log({"data_centre",
                     {{"data_centre", change.name.value},
                      {"in_service", change.in_service ? "true" : "false"}}});
    this->hooks.out_of_service(this->out_of_service);
}

void gateway_store::take_all_registrations(const std::vector<platform::keyed_record>& records)
{
    std::vector<balance::registration> all;
    for (const auto& each : records) {
        const auto read = this->platform.read_registration(each);
        if (read.ok()) {
            all.push_back(*read);
        }
        else if (each.value) {
            this->log_unreadable(each, read.status());
        }
    }
    this->registry.listed(clock_now(), all);
}

void gateway_store::take_registration(const platform::keyed_record& record)
{
    if (!record.value) {
        this->registry.unregistered(clock_now(), backend_id{record.key});
        return;
    }
    const auto read = this->platform.read_registration(record);
    if (read.ok()) {
        this->registry.registered(clock_now(), *read);
    }
    else {
        this->log_unreadable(record, read.status());
    }
}

void gateway_store::log_unreadable(const platform::keyed_record& record, const absl::Status& why)
{
    this->hooks.log({"record_unreadable",
                     {{"key", record.key},
                      {"offset", std::to_string(record.offset)},
                      {"why", std::string(why.message())}}});
}

void gateway_store::tick()
{
    this->registry.tick(clock_now());
    this->timer.expires_after(tick_interval);
    this->timer.async_wait([this](const asio::error_code& error) {
        if (!error) {
            this->tick();
        }
    });
}

} // namespace azureshore::daemon::detail
