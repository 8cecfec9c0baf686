#pragma once

#include "azureshore/core/random.hpp"
#include "azureshore/sharing/store_sharing.hpp"
#include "support/virtual_clock.hpp"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azureshore::test {

// Simulates the platform's store in virtual time: keyed topics, calls with a latency, long polls,
// and outages in which calls get no answer.
class fake_store {
public:
    fake_store(virtual_clock& time_source, random_source random_numbers);

    // Appends a record at once, as a writer other than the daemons would. Returns its offset.
    std::uint64_t put(const std::string& topic, const std::string& key,
                      std::optional<std::string> value);

    // Returns the interface through which one daemon calls a topic.
    platform::keyed_topic topic(const vm_id& caller, const std::string& name);
    void announce(const vm_id& caller, const std::string& announcement,
                  const std::function<void(bool)>& done);

    // Drops all records from the log of a topic, as compaction does. The newest record of each key
    // can still be listed.
    void compact(const std::string& topic);

    // Remembers what the store holds now, as a backup does.
    void take_backup();
    // Goes back to the last backup: what was written since is lost, its offsets are given out
    // again, and waiting reads end without an answer.
    void restore_backup();
    // Writes again what others than the daemons had written and the last restore lost: the newest
    // record of each key, in the order of their keys.
    void write_lost_records_again();

    // The reads that wait now get no answer, as when a link is lost for a moment.
    void lose_waiting_reads();

    // Names of daemons whose calls get no answer. "*" stands for all daemons.
    std::set<std::string> unanswered_callers;
    // Whether their calls fail at once, as when connections are reset, instead of at a time-out.
    bool refuses_at_once = false;
    std::uint64_t calls = 0;
    std::map<std::string, std::uint64_t> calls_by;
    // The store limits the size of its answers to reads.
    std::size_t max_records_per_read = std::numeric_limits<std::size_t>::max();
    // Whether a waiting read is answered when a record arrives, instead of at its timeout.
    bool wakes_waiting_reads = true;

private:
    struct topic_log {
        std::uint64_t first_offset = 0;
        std::vector<platform::keyed_record> records;
        std::map<std::string, platform::keyed_record> newest;
    };
    struct waiting_read {
        std::string topic;
        std::uint64_t first_offset = 0;
        bool finished = false;
        bool lost = false;
        std::function<void(platform::keyed_read)> done;
    };

    [[nodiscard]] bool is_answered(const vm_id& caller) const;
    void finish(const std::shared_ptr<waiting_read>& read, bool answered);

    virtual_clock& clock;
    random_source random;
    std::map<std::string, topic_log> topics;
    std::map<std::string, topic_log> backup;
    std::uint64_t epoch = platform::first_epoch;
    // The newest records at the time of the last restore, by topic.
    std::map<std::string, std::map<std::string, platform::keyed_record>> before_restore;
    std::vector<std::shared_ptr<waiting_read>> waiting;
};

// Simulates daemons that share one reader of a store, over a network that loses messages.
class sharing_cluster {
public:
    sharing_cluster(std::size_t daemons, std::uint64_t seed);

    void start(std::size_t daemon);
    void kill(std::size_t daemon);
    [[nodiscard]] bool is_running(std::size_t daemon) const
    {
        return this->processes[daemon] != nullptr;
    }
    [[nodiscard]] vm_id name_of(std::size_t daemon) const;

    // Returns the newest value of a key that a daemon knows, or an empty string if there is none.
    [[nodiscard]] std::string known_value(std::size_t daemon, wire::shared_topic topic,
                                          const std::string& key) const;
    // Returns how many running daemons have loaded both topics and know this value of a key.
    [[nodiscard]] std::size_t count_knowing(wire::shared_topic topic, const std::string& key,
                                            const std::string& value) const;
    [[nodiscard]] std::size_t running_count() const;
    [[nodiscard]] const sharing::members& members_of(std::size_t daemon) const;
    sharing::store_sharing& sharing_of(std::size_t daemon)
    {
        return *this->processes[daemon]->sharing;
    }

    virtual_clock clock;
    random_source random;
    fake_store store;
    // Whether daemons are told that the deployment starts for the first time.
    bool first_start = true;
    // Fraction of the messages that are lost.
    double message_loss_fraction = 0;
    // Daemons to and from which no messages are delivered.
    std::set<std::size_t> disconnected;
    // Daemons that reach each other and none of the rest.
    std::set<std::size_t> cut_apart;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_between_data_centres = 0;
    std::vector<std::uint64_t> messages_sent_by;
    // Messages for which this returns true are lost. May be empty.
    std::function<bool(const wire::message&)> is_lost;
    // How often each daemon was told of a suspected crash.
    std::vector<std::size_t> crash_suspicions;
    // How often each daemon was told of roll-outs, and the responses in the reports that it got.
    std::map<std::size_t, std::size_t> rollout_notices;
    std::map<std::size_t, std::uint64_t> reported_responses;
    // How often a daemon reported the store as unavailable.
    std::size_t unavailable_reports = 0;

    static constexpr const char* operators = "operators";
    static constexpr const char* registrations = "registrations";

private:
    // What one daemon makes of the records that it is told.
    struct daemon_process {
        std::map<std::string, std::string>& values_of(wire::shared_topic topic)
        {
            return this->known_values[static_cast<std::size_t>(topic)];
        }
        std::set<std::string> replace_records(wire::shared_topic topic,
                                              const std::vector<platform::keyed_record>& records,
                                              const std::vector<wire::earlier_record>& earlier);
        // The values of the configuration are its versions, which never fall back. What the
        // operators wrote stays in force although the store lacks it.
        std::set<std::string>
        merge_restored_records(wire::shared_topic topic,
                               const std::vector<platform::keyed_record>& records);
        bool take_earlier_record(wire::shared_topic topic, const wire::earlier_record& earlier);
        sharing::record_effect apply_record(wire::shared_topic topic,
                                            const platform::keyed_record& record);

        // Whether a registration was dropped after it had held this value, or a later one.
        [[nodiscard]] bool is_removed(const std::string& key, const std::string& value) const;
        // Returns whether the registration was known.
        bool remove_registration(const wire::shared_record& removal);

        std::map<std::string, std::string> known_values[2];
        // What dropped registrations held last, by key. Later values of a key sort behind earlier
        // ones.
        std::map<std::string, std::string> removed_registrations;
        std::unique_ptr<sharing::store_sharing> sharing;
    };

    void deliver(std::size_t sender, const address& recipient, const wire::message& body);
    sharing::sharing_hooks hooks_of(std::size_t index, const std::weak_ptr<daemon_process>& owner);

    std::vector<std::shared_ptr<daemon_process>> processes;
};

} // namespace azureshore::test
