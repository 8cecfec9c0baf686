#include "azureshore/daemon/internal/datagram_text.hpp"
#include "azureshore/daemon/internal/gateway_store.hpp"

#include <asio/io_context.hpp>

#include <memory>
#include <utility>

namespace azureshore::daemon::detail {

balance::registry_hooks gateway_store::registry_hooks()
{
    balance::registry_hooks made;
    made.changed = [this](const balance::registration& now_known) {
        if (!this->listing) {
            this->hooks.log({"backend_registered",
                             {{"backend", now_known.id.value},
                              {"service", now_known.service.value},
                              {"address", to_string(now_known.endpoint)},
                              {"state", now_known.draining ? "draining" : "ready"},
                              {"sequence", std::to_string(now_known.sequence)}}});
        }
        this->hooks.backend_changed(now_known);
    };
    made.removed = [this](const backend_id& id, const std::string& why) {
        this->hooks.log({"backend_removed", {{"backend", id.value}, {"why", why}}});
        this->hooks.backend_removed(id);
    };
    return made;
}

sharing::sharing_hooks gateway_store::sharing_hooks()
{
    sharing::sharing_hooks made;
    made.clock = steady_now;
    made.after = [this](duration delay, std::function<void()> work) {
        auto later = std::make_shared<asio::steady_timer>(this->executor, delay);
        later->async_wait([later, work = std::move(work)](const asio::error_code& error) {
            if (!error) {
                work();
            }
        });
    };
    made.send = [this](const std::vector<address>& recipients, const wire::message& body) {
        const auto datagram = to_datagram(wire::encode({this->self, body}));
        if (datagram.size() > peer_socket::most_bytes) {
            this->hooks.log({"message_too_large",
                             {{"bytes", std::to_string(datagram.size())},
                              {"recipients", std::to_string(recipients.size())}}});
            return;
        }
        for (const auto& each : recipients) {
            this->socket.send(each, datagram);
        }
    };
    made.announce = [this](const std::string& what, std::function<void(bool)> done) {
        this->topics.announce(this->self, what, std::move(done));
    };
    made.replace_records = [this](wire::shared_topic topic,
                                  const std::vector<platform::keyed_record>& records,
                                  const std::vector<wire::earlier_record>& earlier) {
        return this->listed(topic, records, earlier);
    };
    made.merge_restored_records = [this](wire::shared_topic topic,
                                         const std::vector<platform::keyed_record>& records) {
        return this->restored(topic, records);
    };
    made.take_earlier_record = [this](wire::shared_topic topic,
                                      const wire::earlier_record& earlier) {
        return topic == wire::shared_topic::operators ? this->take_earlier_operator_record(earlier)
                                                      : this->take_earlier_registration(earlier);
    };
    made.is_usable = [this](wire::shared_topic topic, const platform::keyed_record& record) {
        return topic == wire::shared_topic::operators ||
               this->platform.read_registration(record).ok();
    };
    made.apply_record = [this](wire::shared_topic topic, const platform::keyed_record& record) {
        return this->changed(topic, record);
    };
    made.store_unavailable = [this] {
        this->hooks.log({"store_lost", {}});
        this->registry.store_became_unavailable();
    };
    made.store_available = [this] {
        this->hooks.log({"store_back", {}});
        this->registry.store_became_available(steady_now());
    };
    made.members_changed = [this] {
        this->members_changed();
    };
    made.rollouts_reported = [this](const wire::rollout_report& report) {
        this->rollouts.take_report(report);
    };
    made.rollouts_noticed = [this](const wire::rollout_notice& notice) {
        this->rollouts.take_notice(notice);
    };
    made.request_rate = this->hooks.request_rate;
    made.decided = this->hooks.log;
    made.random = system_random();
    made.crash_suspected = [this](std::uint64_t fingerprint) {
        this->hooks.suspected(fingerprint);
    };
    return made;
}

} // namespace azureshore::daemon::detail
