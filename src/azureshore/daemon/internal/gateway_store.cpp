#include "azureshore/daemon/internal/gateway_store.hpp"

#include "azureshore/daemon/internal/datagram_text.hpp"
#include "azureshore/observe/metrics.hpp"

#include <asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace azureshore::daemon::detail {

namespace {

// How often lapsed registrations and roll-outs are looked at.
constexpr duration tick_interval = std::chrono::milliseconds(250);

// Limits the length of a log line: the cause may quote the record.
constexpr std::size_t max_logged_cause = 200;

// All daemons listen for each other at the same port.
std::vector<address> peers_of(const settings::gateway_settings& settings)
{
    std::vector<address> peers;
    for (const auto& each : settings.seeds) {
        peers.push_back({each.host, settings.peers.port});
    }
    return peers;
}

// Numbers the starts of this daemon in their order, unless the time of day is set back.
std::uint64_t start_time()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

duration longest_timeout(const balance::traffic_configuration& configuration)
{
    duration longest{};
    for (const auto& each : configuration.routes) {
        longest = std::max(longest, each.timeout);
    }
    return longest;
}

} // namespace

gateway_store::gateway_store(asio::io_context& context, const settings::gateway_settings& settings,
                             const gateway_platform& around, gateway_store_hooks told)
    : executor(context), platform(around), hooks(std::move(told)), self(settings.name),
      http(context), topics(around.open_topics(this->http, settings.store, settings.store_timeout)),
      registry(this->registry_hooks()), timer(context),
      socket(context, settings.peers, [this](std::string_view bytes) { this->received(bytes); }),
      sharing({settings.name, settings.peers, settings.data_centre, settings.apply_within,
               peers_of(settings), settings.first_start, start_time()},
              this->shared_topics(), this->sharing_hooks()),
      rollouts(settings, around, this->topics, this->sharing, this->hooks.rollouts)
{
}

void gateway_store::start()
{
    this->sharing.start();
    this->tick();
}

void gateway_store::leave()
{
    this->sharing.leave();
}

void gateway_store::tell_suspicion(std::uint64_t fingerprint)
{
    this->sharing.broadcast_crash_suspicion(fingerprint);
}

void gateway_store::send(const vm_id& to, const wire::message& body)
{
    if (const auto recipient = this->sharing.known_members().last_entry(to)) {
        this->socket.send(recipient->where, to_datagram(wire::encode({this->self, body})));
    }
}

double gateway_store::total_request_rate() const
{
    return this->sharing.total_request_rate();
}

std::string gateway_store::metrics() const
{
    observe::metrics made;
    for (const auto topic : {wire::shared_topic::operators, wire::shared_topic::registrations}) {
        const observe::labels labels{{"topic", std::string(wire::to_string(topic))}};
        const auto next = this->sharing.next_position(topic);
        made.set("azureshore_topic_offset", labels, static_cast<double>(next.offset));
        made.set("azureshore_topic_epoch", labels, static_cast<double>(next.epoch));
    }
    this->rollouts.write_metrics(made);
    made.add("azureshore_dropped_records_total", {}, this->sharing.dropped_record_count());
    return made.to_text();
}

void gateway_store::set_bounds(const settings::gateway_settings& settings)
{
    this->sharing.set_apply_within(settings.apply_within);
    this->rollouts.set_settings(settings);
}

void gateway_store::observe(const balance::attempt_observation& observed)
{
    this->rollouts.observe(observed);
}

bool gateway_store::is_latest_configuration() const
{
    return this->sharing.is_current(wire::shared_topic::operators);
}

bool gateway_store::known() const
{
    return this->version && this->sharing.topics_listed();
}

sharing::shared_topics gateway_store::shared_topics() const
{
    return {this->topics.operators, this->topics.registrations, this->topics.members};
}

void gateway_store::received(std::string_view bytes)
{
    const auto message = from_datagram(bytes);
    const auto envelope = wire::decode(message.value_or(""));
    if (!envelope.ok()) {
        this->hooks.log(
            {"message_unreadable", {{"why", std::string(envelope.status().message())}}});
        return;
    }
    this->hooks.received(*envelope);
    this->sharing.receive(*envelope);
}

void gateway_store::members_changed()
{
    const auto& known = this->sharing.known_members();
    this->hooks.log({"members_changed",
                     {{"serving", std::to_string(known.serving_count())},
                      {"rank", std::to_string(known.rank())}}});
    if (this->sharing.members_listed()) {
        this->hooks.members_changed(known);
    }
}

std::set<std::string> gateway_store::listed(wire::shared_topic topic,
                                            const std::vector<platform::keyed_record>& records,
                                            const std::vector<wire::earlier_record>& earlier)
{
    if (topic == wire::shared_topic::operators) {
        return this->take_all_operator_records(records, earlier);
    }
    this->take_all_registrations(records, earlier);
    return {};
}

std::set<std::string> gateway_store::restored(wire::shared_topic topic,
                                              const std::vector<platform::keyed_record>& records)
{
    return topic == wire::shared_topic::operators ? this->merge_operator_records(records)
                                                  : this->merge_registrations(records);
}

sharing::record_effect gateway_store::changed(wire::shared_topic topic,
                                              const platform::keyed_record& record)
{
    if (topic == wire::shared_topic::registrations) {
        return this->take_registration(record);
    }
    auto read = this->platform.read_operator_record(record);
    const bool outdated = this->is_outdated(read);
    this->take_operator_record(record, std::move(read));
    return outdated ? sharing::record_effect::outdated : sharing::record_effect::changed;
}

bool gateway_store::is_outdated(const absl::StatusOr<operator_record>& read) const
{
    if (!read.ok()) {
        return false;
    }
    const auto* next = std::get_if<balance::traffic_configuration>(&*read);
    return next != nullptr && next->version < this->version;
}

std::set<std::string>
gateway_store::take_all_operator_records(const std::vector<platform::keyed_record>& records,
                                         const std::vector<wire::earlier_record>& earlier)
{
    std::set<std::string> outdated;
    std::set<service_id> ordered;
    this->out_of_service.clear();
    for (const auto& [data_centre, until] : this->unconfirmed) {
        this->out_of_service.insert(data_centre);
    }
    // The earlier records go first, as requests that wait are decided by the first configuration.
    for (const auto& each : earlier) {
        this->take_earlier_operator_record(each);
    }
    for (const auto& each : records) {
        auto read = this->platform.read_operator_record(each);
        if (this->is_outdated(read)) {
            outdated.insert(each.key);
        }
        if (const auto* order = read.ok() ? std::get_if<rollout_order_record>(&*read) : nullptr) {
            ordered.insert(order->service);
            this->rollouts.take_order(*order, true);
            continue;
        }
        this->take_operator_record(each, std::move(read));
    }
    this->rollouts.keep_orders(ordered);
    this->hooks.out_of_service(this->out_of_service);
    return outdated;
}

// What was accepted stays in force until the operators have written it again.
std::set<std::string>
gateway_store::merge_operator_records(const std::vector<platform::keyed_record>& records)
{
    std::set<std::string> outdated;
    std::set<data_centre_id> listed;
    for (const auto& each : records) {
        auto read = this->platform.read_operator_record(each);
        if (this->is_outdated(read)) {
            outdated.insert(each.key);
        }
        if (read.ok()) {
            if (const auto* change = std::get_if<data_centre_service>(&*read)) {
                listed.insert(change->name);
            }
        }
        this->take_operator_record(each, std::move(read));
    }
    for (const auto& each : this->out_of_service) {
        if (!listed.contains(each)) {
            this->keep_unconfirmed(each, sharing::rewrite_grace);
        }
    }
    return outdated;
}

bool gateway_store::take_earlier_operator_record(const wire::earlier_record& earlier)
{
    const platform::keyed_record record{earlier.record.offset, earlier.record.key,
                                        earlier.record.value};
    auto read = this->platform.read_operator_record(record);
    if (!read.ok()) {
        return false;
    }
    if (const auto* next = std::get_if<balance::traffic_configuration>(&*read);
        next != nullptr && this->version < next->version) {
        this->take_operator_record(record, std::move(read));
        return true;
    }
    const auto* change = std::get_if<data_centre_service>(&*read);
    if (change == nullptr || change->in_service || this->out_of_service.contains(change->name)) {
        return false;
    }
    this->set_in_service(*change);
    this->keep_unconfirmed(change->name, earlier.valid_for);
    return true;
}

void gateway_store::keep_unconfirmed(const data_centre_id& name, duration valid_for)
{
    this->unconfirmed.insert_or_assign(name, steady_now() + valid_for);
    this->hooks.log({"data_centre_unconfirmed", {{"data_centre", name.value}}});
}

void gateway_store::take_operator_record(const platform::keyed_record& record,
                                         absl::StatusOr<operator_record> read)
{
    if (!read.ok()) {
        this->log_unreadable(record, read.status());
        return;
    }
    if (auto* next = std::get_if<balance::traffic_configuration>(&*read)) {
        this->hooks.log(
            {"configuration_read",
             {{"version", std::to_string(next->version)},
              {"offset", std::to_string(record.offset)},
              {"bytes", std::to_string(record.value->size())},
              {"accounts", next->accounts ? std::to_string(next->accounts->size()) : "no_list"}}});
        this->version = std::max(this->version.value_or(0), next->version);
        this->rollouts.set_longest_request(longest_timeout(*next));
        this->hooks.configured(
            std::make_shared<const balance::traffic_configuration>(std::move(*next)));
    }
    else if (const auto* change = std::get_if<data_centre_service>(&*read)) {
        this->set_in_service(*change);
    }
    else if (const auto* order = std::get_if<rollout_order_record>(&*read)) {
        this->rollouts.take_order(*order, false);
    }
}

void gateway_store::set_in_service(const data_centre_service& change)
{
    this->unconfirmed.erase(change.name);
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

void gateway_store::log_unreadable(const platform::keyed_record& record, const absl::Status& why)
{
    this->hooks.log({"record_unreadable",
                     {{"key", record.key},
                      {"offset", std::to_string(record.offset)},
                      {"why", std::string(why.message().substr(0, max_logged_cause))}}});
}

void gateway_store::end_unconfirmed(time_point now)
{
    const auto data_centres = this->unconfirmed;
    for (const auto& [name, until] : data_centres) {
        if (until <= now) {
            this->set_in_service({name, true});
        }
    }
}

void gateway_store::tick()
{
    this->registry.tick(steady_now());
    this->end_unconfirmed(steady_now());
    this->rollouts.tick();
    this->timer.expires_after(tick_interval);
    this->timer.async_wait([this](const asio::error_code& error) {
        if (!error) {
            this->tick();
        }
    });
}

} // namespace azureshore::daemon::detail
