#pragma once

#include "azureshore/core/random.hpp"
#include "azureshore/platform/keyed_topic.hpp"
#include "azureshore/sharing/members.hpp"
#include "azureshore/wire/message.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace azureshore::sharing {

struct sharing_settings {
    vm_id self;
    address where;
    data_centre_id data_centre;
    // What the store accepts has effect on every daemon within this time.
    duration apply_within = std::chrono::seconds(2);
    // Daemons that may be asked at the start, when the store does not answer.
    std::vector<address> seeds;
};

struct sharing_hooks {
    std::function<time_point()> clock;
    std::function<void(duration, std::function<void()>)> after;
    // Sends a message to another daemon; it may be lost.
    std::function<void(const address& where, const wire::message&)> send;
    // Makes this daemon known to others through the store; `done` says whether that succeeded.
    std::function<void(const std::string& what, std::function<void(bool)> done)> announce;
    // The newest record of every key of a topic.
    std::function<void(wire::shared_topic, const std::vector<platform::keyed_record>&)>
        replace_records;
    // One record; returns whether it changes what this daemon knows.
    std::function<bool(wire::shared_topic, const platform::keyed_record&)> apply_record;
    // Nothing new can be learned from the store, by this daemon or another; or it can again.
    std::function<void()> store_unavailable;
    std::function<void()> store_available;
    std::function<void()> members_changed;
    std::function<void(std::uint64_t fingerprint)> crash_suspected;
    // Requests a second that this daemon gets.
    std::function<double()> request_rate;
    random_source random;
};

struct shared_topics {
    platform::keyed_topic operators;
    platform::keyed_topic registrations;
    // The daemons that have announced themselves: names and addresses.
    platform::keyed_topic members;
};

// Reads the platform's store for all daemons by one of them, as each call has its price. The
// first in rendezvous order reads and tells the others, who answer that they live; to another data
// centre its news go once and are passed on there. A daemon that hears nothing for a part of the
// bound reads for itself, the first ones in the order earlier, and those tell the others in turn.
// No agreement is needed: two readers cost calls and nothing else. All calls on one thread.
class store_sharing {
public:
    store_sharing(sharing_settings settings, shared_topics topics, sharing_hooks hooks);
    ~store_sharing();
    store_sharing(const store_sharing&) = delete;
    store_sharing& operator=(const store_sharing&) = delete;
    store_sharing(store_sharing&&) = delete;
    store_sharing& operator=(store_sharing&&) = delete;

    void start();

    // This daemon stops soon: others take its tasks over.
    void leave();

    void receive(const wire::envelope& received);

    // Tells all others that a backend server's process ended under such a request.
    void broadcast_crash_suspicion(std::uint64_t fingerprint);

    // Whether both topics have been listed.
    [[nodiscard]] bool topics_listed() const;

    // Whether the daemons that announced themselves have been read.
    [[nodiscard]] bool members_listed() const;

    // Requests a second that all daemons get together, as far as they have told; zero if unknown.
    [[nodiscard]] double total_request_rate() const;

    [[nodiscard]] const members& known_members() const;

private:
    class state;
    std::shared_ptr<state> inner;
};

} // namespace azureshore::sharing
