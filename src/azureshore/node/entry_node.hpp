#pragma once

#include "azureshore/configuration/effective.hpp"
#include "azureshore/configuration/replica.hpp"
#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/membership/member_options.hpp"
#include "azureshore/membership/view.hpp"
#include "azureshore/observe/decision.hpp"
#include "azureshore/outcomes/attempt.hpp"
#include "azureshore/outcomes/request.hpp"
#include "azureshore/platform/log.hpp"
#include "azureshore/platform/vm_list.hpp"
#include "azureshore/routing/service_router.hpp"
#include "azureshore/wire/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::node {

using probe_done = std::function<void(std::optional<routing::probe_result>)>;

// What a node asks of the world around it: sockets and threads in a daemon, fakes in a test.
// Hooks are called without any lock held and may call back into the node, but not from within
// the call itself for a `done` function.
struct node_hooks {
    std::function<time_point()> clock;
    // Runs a function once, after a delay.
    std::function<void(duration, std::function<void()>)> after;
    // Sends a message to another VM; it may be lost.
    std::function<void(const address& where, const vm_id& to, const wire::message&)> send;
    std::function<void(const service_id&, const outcomes::attempt_request&)> start_attempt;
    std::function<void(const service_id&, attempt_number)> cancel_attempt;
    // The final word to a caller; once for each request that was begun.
    std::function<void(request_number, const outcomes::caller_response&)> answer;
    std::function<void(const membership::backend_server&, probe_done)> probe;
    platform::log_hooks log;
    // The addresses of all VMs that are believed to run; others need no connection. May be empty.
    std::function<void(const std::vector<address>&)> peers_changed;
    observe::decision_hook decided;
};

// One service's share of a node's status.
struct service_status {
    service_id name;
    std::size_t in_flight = 0;
    std::vector<routing::backend_status> backends;
};

// What an operator sees of one node.
struct node_status {
    membership::member self;
    std::uint64_t revision = 0;
    std::optional<std::string> not_ready;
    std::vector<membership::member> members;
    std::vector<configuration::data_centre_config> data_centres;
    std::vector<service_status> services;
};

// Everything that one entry VM decides, joined: membership, configuration, and for each service
// its routing and its requests. May be called from several threads; the control state and each
// service have a lock of their own.
class entry_node {
public:
    entry_node(membership::member self, random_source random, node_hooks hooks,
               const membership::member_options& options = {});
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;
    entry_node(entry_node&&) = delete;
    entry_node& operator=(entry_node&&) = delete;

    // Begins to follow the log and to talk to peers.
    void start();

    // Takes in a request; the answer follows by the hook. Gives the request's number.
    request_number begin(outcomes::incoming_request request);

    // Gives a number for a request that `begin` is about to take in with it.
    request_number next_request();

    // The caller hung up.
    void caller_gone(const service_id& service, request_number request);

    void attempt_ended(const service_id& service, const outcomes::attempt_report& report);

    // Takes a message from another VM.
    void receive(const wire::envelope& received);

    // Takes the platform's list of VMs.
    void update_list(const std::vector<platform::vm_entry>& entries);

    // Hands leads over and takes in no further requests; what runs goes on.
    void stop();

    // Requests that still wait for their final word.
    [[nodiscard]] std::size_t in_flight() const;

    // Whether all that this VM had to record of keyed requests is in the log.
    [[nodiscard]] bool settled() const;

    // Why this node can't serve yet; nothing when it can.
    [[nodiscard]] std::optional<std::string> not_ready() const;

    [[nodiscard]] node_status status() const;

    // What became of the configuration's records on this VM.
    [[nodiscard]] configuration::replica_counters configuration_counters() const;

private:
    class state;
    std::shared_ptr<state> inner;
};

// The status as JSON.
std::string to_json(const node_status& status);

} // namespace azureshore::node
