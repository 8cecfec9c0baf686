#pragma once

#include "azureshore/sharing/store_sharing.hpp"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace azureshore::sharing {

class store_sharing::state : public std::enable_shared_from_this<store_sharing::state> {
public:
    state(sharing_settings own_settings, shared_topics store_topics, sharing_hooks owner_hooks);

    void start();
    void set_apply_within(duration bound) { this->settings.apply_within = bound; }
    void leave();
    void receive(const wire::envelope& received);
    void broadcast_crash_suspicion(std::uint64_t fingerprint);
    bool report_rollouts(const wire::rollout_report& report);
    void broadcast_rollouts(const std::vector<wire::rollout_status>& rollouts);
    [[nodiscard]] bool is_reader() const;
    [[nodiscard]] bool topics_listed() const;
    [[nodiscard]] bool is_current(wire::shared_topic kind) const;

    members known_members;
    bool members_listed = false;
    double total_request_rate = 0;
    std::uint64_t dropped_record_count = 0;

    // The records of one read in [first_offset, next_offset) that changed anything. They are sent
    // again with the next reads, so that a lost message does no harm.
    struct read_round {
        std::uint64_t first_offset = 0;
        std::uint64_t next_offset = 0;
        std::vector<wire::shared_record> records;
    };
    // The newest record of a key, and the offset of the record that last changed anything.
    struct newest_record {
        wire::shared_record record;
        std::uint64_t changed_offset = 0;
    };
    // A record from before the store was restored, as in wire::shared_record.
    struct kept_record {
        std::optional<std::string> value;
        time_point valid_until;
        std::optional<std::string> dropped_value{};
    };
    struct removed_key {
        std::string key;
        // What the key held before, if known.
        std::optional<std::string> dropped_value;
    };
    // A list of a restored store that this daemon does not use until others have had time to
    // answer.
    struct held_list {
        platform::keyed_list list;
        time_point began;
    };
    // The parts received so far of a snapshot, by part number.
    struct partial_snapshot {
        std::uint64_t id = 0;
        std::map<std::uint32_t, wire::topic_snapshot> parts;
    };
    struct snapshot_content {
        std::vector<platform::keyed_record> records;
        std::vector<wire::shared_record> removals;
        std::vector<wire::earlier_record> earlier_records;
        wire::topic_position before{};
    };
    // What a daemon knew of a topic before it listed the topic again.
    struct topic_content {
        wire::topic_position next{};
        std::map<std::string, newest_record> newest_records;
        std::map<std::uint64_t, removed_key> removed_keys;
        std::map<std::string, kept_record> earlier_records;
    };
    struct topic_state {
        wire::shared_topic kind;
        platform::keyed_topic store;
        bool listed = false;
        bool call_in_flight = false;
        // Another read starts as soon as the one in flight ends.
        bool read_again = false;
        // The position after the last record that this daemon knows.
        wire::topic_position next{};
        // The last time at which this daemon knew all that the store held.
        time_point current_as_of{};
        bool last_call_failed = false;
        // Another daemon has records that this one lacks.
        bool missed_records = false;
        std::deque<read_round> recent_reads{};
        // The latest read ended at the size limit of an answer; the rest is being read.
        bool read_incomplete = false;
        std::map<std::string, newest_record> newest_records{};
        // Removals by offset. Those before history_begin are not known.
        std::map<std::uint64_t, removed_key> removed_keys{};
        std::uint64_t history_begin = 0;
        // Records from before the store was restored, by key, that the store lacks or has only in
        // an older version. Each is kept until its key is written again.
        std::map<std::string, kept_record> earlier_records{};
        std::optional<held_list> held{};
        // The latest incomplete snapshots, the oldest first.
        std::deque<partial_snapshot> partial_snapshots{};
        // This daemon listed a restored store itself and has not heard yet what others know from
        // before.
        bool seeks_earlier_records = false;
        // Until when this daemon takes further answers, as the first one may come from a daemon
        // that has missed the same.
        time_point answers_taken_until{};
        // How far this daemon knew the topic before the store was last restored, by itself or from
        // others. Whoever knew less has missed records that the store may have lost.
        wire::topic_position before{};
        // This daemon listed the topic again, and the others may lack records of that list.
        bool snapshot_unsent = false;
    };

    topic_state& topic_for(wire::shared_topic kind);
    [[nodiscard]] const topic_state& topic_for(wire::shared_topic kind) const;

private:
    // A read of the store that is in flight.
    struct read_call {
        time_point began;
        wire::topic_position from;
        std::chrono::milliseconds max_wait;
    };
    // What the store holds of the daemons that announced themselves.
    struct announced_members {
        // Those that this daemon does not know yet.
        std::vector<wire::member_entry> unknown;
        // Whether this daemon is announced, whether another one announced itself later, and whether
        // one of the unknown ones did.
        bool self_announced = false;
        bool other_is_later = false;
        bool unknown_is_later = false;
    };
    struct child_report {
        std::size_t missed_rounds = 0;
        double request_rate = 0;
    };

    [[nodiscard]] time_point now() const { return this->hooks.clock(); }
    void run_after(duration delay, std::function<void(state&)> action);
    // A random delay between the given one and one and a half of it.
    duration jittered(duration delay);

    // Calls to the store.
    void list_topic(topic_state& topic);
    void list_unlisted_topics();
    void read_topic(topic_state& topic, std::chrono::milliseconds max_wait);
    // `again` tells whether the topic had been listed before the call.
    void handle_list_result(topic_state& topic, time_point began, bool again,
                            const platform::keyed_list& result);
    void handle_list_failure(topic_state& topic);
    void handle_read_result(topic_state& topic, const read_call& call,
                            const platform::keyed_read& result);
    void continue_reading(topic_state& topic, time_point began);
    void handle_store_failure(topic_state& topic);
    void handle_store_success(topic_state& topic, time_point began);
    void read_rest(topic_state& topic, const read_call& call, const platform::keyed_read& part);
    void apply_read(topic_state& topic, const platform::keyed_read& result);
    void apply_list(topic_state& topic, const wire::topic_position& next,
                    const snapshot_content& content);
    // Replaces the records by those of a further list in the same epoch. What is known from before
    // the store was restored is kept as long as it is newer.
    void replace_records(topic_state& topic, const topic_content& known,
                         const std::vector<platform::keyed_record>& records);
    // Merges the records of a restored store with what is known from before.
    void merge_restored_list(topic_state& topic, const topic_content& known,
                             const std::vector<platform::keyed_record>& records);
    void report_restore(const topic_state& topic, const wire::topic_position& next) const;
    // Returns whether the others must be told of the record.
    bool apply_record(topic_state& topic, const platform::keyed_record& record);
    // `done` may be empty; it receives whether the store has taken the announcement.
    void announce(const std::function<void(state&, bool stored)>& done = {});
    void list_members();
    [[nodiscard]] announced_members
    read_announcements(const std::vector<platform::keyed_record>& records) const;
    void handle_announced_members(const announced_members& found);
    void find_other_daemons();

    // How a daemon that starts finds out that no other one runs, or none that it does not know.
    void watch_for_others();
    void look_for_later_announcements();
    void take_view_as_complete();

    // Start-up.
    [[nodiscard]] bool is_seed() const;
    void ask_next_seed();
    void load_without_seeds();
    void request_snapshot(const address& recipient, std::uint32_t redirects);
    void hold_list(topic_state& topic, const platform::keyed_list& list, time_point began);
    void use_held_list(topic_state& topic);
    void merge_held_list(topic_state& topic);
    void handle_redirect(const wire::pull_redirect& redirect);

    // Snapshots and updates for other daemons.
    void handle_pull(const wire::topics_pull& pull);
    void serve_snapshot(const wire::member_entry& recipient, std::uint32_t redirects);
    void serve_waiting_daemons();
    [[nodiscard]] wire::pull_redirect make_redirect(std::vector<wire::member_entry> targets,
                                                    std::uint32_t redirects) const;
    void send_snapshot(const wire::member_entry& recipient);
    void send_update(const wire::member_entry& recipient, topic_state& topic,
                     const wire::topic_position& from);
    // All that this daemon knows of a topic.
    [[nodiscard]] std::vector<wire::topic_snapshot> snapshot_of(const topic_state& topic) const;
    void send_all_records(const wire::member_entry& recipient, const topic_state& topic);
    void broadcast_unsent_snapshots();
    void broadcast_snapshot(const topic_state& topic);
    [[nodiscard]] bool may_serve_snapshots() const;
    void handle_snapshot(const wire::topic_snapshot& snapshot);
    // Asks others until one has told what it knows from before the store was restored.
    void seek_earlier_records(topic_state& topic);
    void ask_for_earlier_records();
    void end_search(topic_state& topic) const;
    void request_earlier_records();
    void compare_knowledge(const wire::topic_news& news);
    // Takes what others know from before a restore if this daemon may lack it.
    // Returns whether the sender knew enough of what was written since.
    bool take_earlier_records(topic_state& topic, const wire::topic_position& sender_next,
                              const snapshot_content& content);
    static bool is_written_since(const topic_state& topic, const std::string& key,
                                 std::uint64_t offset);
    void take_records_of_earlier_epoch(topic_state& topic, const wire::topic_snapshot& snapshot);
    void take_earlier_record(topic_state& topic, const wire::earlier_record& record);
    // Returns the whole content once every part has arrived.
    static std::optional<snapshot_content> assemble_snapshot(topic_state& topic,
                                                             const wire::topic_snapshot& part);
    void handle_update(const wire::topic_update& update);
    void pull_from_others();
    void fetch_missed_records(topic_state& topic);

    // When to read the store.
    void check_staleness();
    void schedule_check(duration delay);
    void read_both_topics();
    [[nodiscard]] duration max_staleness() const;
    void start_operators_long_poll();
    // Decides at random whether this daemon calls the store now, so that about `callers` of all
    // daemons do.
    [[nodiscard]] bool is_chosen_to_call(double callers);
    [[nodiscard]] std::size_t daemon_count() const;
    // The time between two checks during an outage of the store.
    [[nodiscard]] duration outage_check_interval() const;

    // News.
    void send_to(const std::vector<wire::member_entry>& recipients, const wire::message& body);
    // Sends a message that starts at this daemon along all trees.
    void broadcast(const wire::message& body);
    void send_news(topic_state& topic);
    void handle_news(const wire::topic_news& news);
    [[nodiscard]] static bool has_seen(const topic_state& topic, const wire::shared_record& record);
    void report_dropped_record(const topic_state& topic, const wire::topic_news& news,
                               const wire::shared_record& record);
    // Remembers a broadcast and returns whether it is new to this daemon.
    bool first_receipt(std::uint64_t broadcast_id);
    void set_store_unavailable(bool unavailable);
    void report_outage(const topic_state& topic);

    // Members.
    void handle_hello(const wire::member_hello& hello);
    void handle_members(const std::vector<wire::member_entry>& entries);
    void handle_digests(const wire::member_digests& digests);
    void send_digests(const wire::member_entry& recipient, bool is_answer);
    void send_members(const wire::member_entry& recipient,
                      const std::vector<wire::member_entry>& entries);
    // Takes over what a daemon says of itself. Whether all daemons are told, or only those to which
    // this one forwards messages.
    void introduce(const wire::member_entry& entry, bool everywhere);
    void spread(const wire::member_entry& entry, bool everywhere);
    void flush_member_changes();
    [[nodiscard]] std::optional<wire::member_entry> report_recipient() const;
    void report_to_parent();
    void count_missed_reports();
    void compare_views(std::uint64_t reader_digest);
    void compare_first_views(std::size_t comparisons_left);
    [[nodiscard]] double subtree_request_rate();
    std::vector<wire::member_entry> random_members(std::size_t count);
    // Members of other data centres.
    std::vector<wire::member_entry> random_remote_members(std::size_t count);

    sharing_settings settings;
    sharing_hooks hooks;
    platform::keyed_topic members_topic;
    std::array<topic_state, 2> topics;
    // Whether this daemon can't read the store, so that it looks for others that can.
    bool store_unavailable = false;
    // Whether the owner has been told that no daemon can read it.
    bool outage_reported = false;
    // This daemon read records of the operators' topic and has not sent them to the others.
    bool operator_records_unsent = false;
    // When this daemon last read the registrations from the store.
    std::optional<time_point> own_read_at;
    std::set<std::uint64_t> seen_broadcasts;
    std::deque<std::uint64_t> seen_broadcasts_by_age;
    // The best-ranked daemon whose news arrived lately, and when they last arrived.
    std::optional<vm_id> reader;
    time_point reader_heard_at;
    time_point started_at;
    bool check_scheduled = false;

    // Start-up.
    std::vector<address> unasked_seeds;
    time_point next_request_at{};
    duration seed_timeout{};
    // When another daemon last answered a request of this one, and the largest number of members
    // that one has told.
    time_point peer_answered_at;
    std::size_t told_member_count = 0;
    // When any message of another daemon last arrived.
    time_point peer_heard_at;
    // Whether another daemon has told this one its view of the members.
    bool met_others = false;
    // Whether one of the topics was known, and the other not, when this daemon last checked.
    bool was_half_listed = false;
    duration load_retry_delay{};
    // Daemons that get a snapshot as soon as this one has it, and those that got one lately.
    std::vector<wire::member_entry> waiting_daemons;
    std::deque<wire::member_entry> served_daemons;
    std::size_t next_served = 0;
    time_point serving_window_begin;
    std::size_t served_in_window = 0;
    // When this daemon asked others for what it missed, unless it was answered with something
    // newer.
    std::optional<time_point> pulled_at;

    // Members.
    std::map<vm_id, child_report> reports;
    std::map<vm_id, wire::member_entry> pending_changes;
    bool pending_for_all = false;
    bool flush_scheduled = false;
    std::optional<time_point> members_listed_at;
    bool announced = false;
    bool looked_for_members = false;
};

} // namespace azureshore::sharing
