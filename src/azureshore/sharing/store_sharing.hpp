#pragma once

#include "azureshore/core/random.hpp"
#include "azureshore/observe/decision.hpp"
#include "azureshore/platform/keyed_topic.hpp"
#include "azureshore/sharing/members.hpp"
#include "azureshore/wire/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace azureshore::sharing {

// How long an operators' record that a restored store lacks stays in force unless it is written
// again. Operators write again what the store has lost.
inline constexpr duration rewrite_grace = std::chrono::seconds(10);

// How a record changes what a daemon knows of a topic.
enum class record_effect : std::uint8_t {
    unchanged,
    changed,
    // What the daemon knows is newer and stays in force, as when operators write again what a
    // restored store has lost, an older version first.
    outdated,
    // The record can't be used, and what is known of its key stays. It is not passed on either: it
    // may be larger than a message.
    unusable,
};

struct sharing_settings {
    vm_id self;
    // The address at which this daemon receives messages.
    address own_address;
    data_centre_id data_centre;
    // The time within which a record that the store accepts takes effect on every daemon.
    duration apply_within = std::chrono::seconds(2);
    // Daemons that are asked for a snapshot at the start, in case the store does not answer.
    std::vector<address> seeds;
    // Whether the whole deployment starts for the first time.
    bool first_start = false;
    // Grows with each start of this daemon, such as the time of the start.
    std::uint64_t incarnation = 0;
};

struct sharing_hooks {
    std::function<time_point()> clock;
    // Runs an action after a delay, on the same thread.
    std::function<void(duration, std::function<void()>)> after;
    // Sends a message to other daemons. The message may be lost.
    std::function<void(const std::vector<address>& recipients, const wire::message&)> send;
    // Writes this daemon's announcement to the store; `done` receives whether that succeeded.
    std::function<void(const std::string& announcement, std::function<void(bool)> done)> announce;
    // Replaces all that is known of a topic by the newest record of every key. `earlier` holds what
    // another daemon knows to be newer than these, from before the store was restored. Returns the
    // keys whose known record is newer and stays in force.
    std::function<std::set<std::string>(wire::shared_topic,
                                        const std::vector<platform::keyed_record>& records,
                                        const std::vector<wire::earlier_record>& earlier)>
        replace_records;
    // Merges the records of a store that was restored from a backup into what is known of a topic,
    // which may be newer. Returns the keys whose known record, or removal, is newer.
    std::function<std::set<std::string>(wire::shared_topic,
                                        const std::vector<platform::keyed_record>&)>
        merge_restored_records;
    // Takes a record that another daemon knows from before the store was restored, if it is newer
    // than what this daemon knows. Returns whether it was.
    std::function<bool(wire::shared_topic, const wire::earlier_record&)> take_earlier_record;
    // Whether a listed record can be used. May be empty if all can.
    std::function<bool(wire::shared_topic, const platform::keyed_record&)> is_usable;
    // Applies one record.
    std::function<record_effect(wire::shared_topic, const platform::keyed_record&)> apply_record;
    // Reports that neither this daemon nor any other one that it hears from can read the store.
    std::function<void()> store_unavailable;
    // Reports that one of them can read the store again.
    std::function<void()> store_available;
    std::function<void()> members_changed;
    std::function<void(std::uint64_t fingerprint)> crash_suspected;
    // May be empty if there are no roll-outs.
    std::function<void(const wire::rollout_report&)> rollouts_reported;
    std::function<void(const wire::rollout_notice&)> rollouts_noticed;
    // Returns the requests per second that this daemon receives.
    std::function<double()> request_rate;
    // Logs what this daemon does with what it receives. May be empty.
    observe::decision_hook decided;
    random_source random;
};

struct shared_topics {
    platform::keyed_topic operators;
    platform::keyed_topic registrations;
    // Holds the announcement of each daemon under its name.
    platform::keyed_topic members;
};

// Lets one daemon, the reader, read the platform's store for all daemons, because each call to the
// store is charged for. The daemons are ranked by rendezvous hashing, and the first one in this
// order is the reader. It sends what it has read in news messages, which travel along two trees in
// each data centre, so that no daemon sends more than a few copies. Each daemon answers a news
// message with a hello to its parent in the first tree, which declares it gone when none comes.
//
// A daemon that starts asks a seed for a snapshot, which redirects it when it has others to serve,
// so that a snapshot spreads like a tree too. Views of the members are compared by digests, and
// only what differs is sent.
//
// A daemon that receives no news message for a fraction of `apply_within` reads the store itself if
// it is one of the first in rank order. The others ask two daemons for what they have missed first.
// If those have missed it too, a few daemons at random read the store; a daemon that gets no answer
// reads it in any case.
//
// A store that was restored from a backup starts a new epoch. A daemon that finds or hears of a
// later epoch takes over each topic as a whole, except for what it knows to be newer, and ignores
// what others know of earlier epochs. It passes on what it knows to be newer with its snapshots. A
// daemon that restarts waits for another one's snapshot before it uses its own list of a store that
// has been restored.
//
// The daemons need not agree on which one is the reader: two readers only cost more calls. All
// calls must come from one thread.
class store_sharing {
public:
    store_sharing(sharing_settings settings, shared_topics topics, sharing_hooks hooks);
    ~store_sharing();
    store_sharing(const store_sharing&) = delete;
    store_sharing& operator=(const store_sharing&) = delete;
    store_sharing(store_sharing&&) = delete;
    store_sharing& operator=(store_sharing&&) = delete;

    void start();

    // Replaces sharing_settings::apply_within.
    void set_apply_within(duration bound);

    // Tells the others that this daemon stops soon, so that they take over its tasks.
    void leave();

    void receive(const wire::envelope& received);

    // Tells all other daemons that a backend server's process ended while it ran a request with
    // this fingerprint.
    void broadcast_crash_suspicion(std::uint64_t fingerprint);

    // Sends a report to the daemon above this one in the first tree, or to the reader. Returns
    // false if there is neither.
    bool report_rollouts(const wire::rollout_report& report);

    // Tells all other daemons the phases of the roll-outs.
    void broadcast_rollouts(const std::vector<wire::rollout_status>& rollouts);

    // Returns whether this daemon reads the store for all, as far as it knows.
    [[nodiscard]] bool is_reader() const;

    // Returns whether this daemon has loaded both the operators' topic and the registrations,
    // either from the store or from another daemon's snapshot.
    [[nodiscard]] bool topics_listed() const;

    // Returns whether the announcements of the other daemons have been listed.
    [[nodiscard]] bool members_listed() const;

    // Returns whether this daemon lately knew all that the store held of a topic, as far as it has
    // heard.
    [[nodiscard]] bool is_current(wire::shared_topic topic) const;

    // Returns the position after the last record of a topic that this daemon knows.
    [[nodiscard]] wire::topic_position next_position(wire::shared_topic topic) const;

    // Returns how many records in others' news this daemon dropped although it lacked them, because
    // it knew later offsets.
    [[nodiscard]] std::uint64_t dropped_record_count() const;

    // Returns the requests per second of all daemons that have reported theirs, or zero if unknown.
    [[nodiscard]] double total_request_rate() const;

    [[nodiscard]] const members& known_members() const;

private:
    class state;
    std::shared_ptr<state> inner;
};

} // namespace azureshore::sharing
