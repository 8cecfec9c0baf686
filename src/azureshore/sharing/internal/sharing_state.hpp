#pragma once

#include "azureshore/sharing/store_sharing.hpp"

#include <array>
#include <deque>
#include <map>
#include <optional>

namespace azureshore::sharing {

class store_sharing::state : public std::enable_shared_from_this<store_sharing::state> {
public:
    state(sharing_settings own_settings, shared_topics store_topics, sharing_hooks owner_hooks);

    void start();
    void leave();
    void receive(const wire::envelope& received);
    void broadcast_crash_suspicion(std::uint64_t fingerprint);
    [[nodiscard]] bool topics_listed() const;

    members known_members;
    bool members_listed = false;
    double total_request_rate = 0;

private:
    // The records of one read in [first_offset, next_offset) that changed anything. They are sent
    // again with the next reads, so that a lost message does no harm.
    struct read_round {
        std::uint64_t first_offset = 0;
        std::uint64_t next_offset = 0;
        std::vector<wire::shared_record> records;
    };
    struct topic_state {
        wire::shared_topic kind;
        platform::keyed_topic store;
        bool listed = false;
        bool call_in_flight = false;
        // Another read starts as soon as the one in flight ends.
        bool read_again = false;
        std::uint64_t next_offset = 0;
        // The last time at which this daemon knew all that the store held.
        time_point current_as_of{};
        bool last_call_failed = false;
        // Another daemon has records that this one lacks.
        bool missed_records = false;
        std::deque<read_round> recent_reads{};
        // The newest record of each key, for snapshots to daemons that start.
        std::map<std::string, wire::shared_record> newest_records{};
        // The parts received so far of an incomplete snapshot, by part number, and the offset after
        // the last record of the whole snapshot.
        std::map<std::uint32_t, std::vector<wire::shared_record>> snapshot_parts{};
        std::uint64_t snapshot_next_offset = 0;
    };

    [[nodiscard]] time_point now() const { return this->hooks.clock(); }
    topic_state& topic_for(wire::shared_topic kind);
    void run_after(duration delay, std::function<void(state&)> action);

    // Calls to the store.
    void list_topic(topic_state& topic);
    void read_topic(topic_state& topic, std::chrono::milliseconds max_wait);
    void handle_read_result(topic_state& topic, time_point began,
                            const platform::keyed_read& result);
    void handle_store_failure(topic_state& topic);
    void handle_store_success(topic_state& topic, time_point began);
    void apply_read(topic_state& topic, const platform::keyed_read& result);
    void apply_list(topic_state& topic, std::uint64_t next_offset,
                    const std::vector<platform::keyed_record>& records);
    bool apply_record(topic_state& topic, const platform::keyed_record& record);

    // Start-up.
    void load_topics();
    void list_unlisted_topics();
    void send_snapshots(const std::vector<wire::member_entry>& recipients);
    void handle_snapshot(const wire::topic_snapshot& snapshot);

    // When to read the store.
    void check_staleness();
    [[nodiscard]] duration max_staleness() const;
    void start_operators_long_poll();
    [[nodiscard]] bool is_reader() const;

    // Messages between daemons.
    void send_to(const std::vector<wire::member_entry>& recipients, const wire::message& body);
    void forward_within_data_centre(const wire::envelope& received, const vm_id& origin);
    void send_news(topic_state& topic);
    void handle_news(const wire::topic_news& news);
    double sum_request_rates();
    void handle_hello(const vm_id& sender, const wire::member_hello& hello);
    void send_hello(const address& recipient, bool wants_all = false);
    void send_hello_to_best_ranked();
    void announce();
    void list_members();
    void remove_silent_members();
    void set_store_unavailable(bool unavailable);

    sharing_settings settings;
    sharing_hooks hooks;
    platform::keyed_topic members_topic;
    std::array<topic_state, 2> topics;
    bool leaving = false;
    bool store_unavailable = false;
    // This daemon read records of the operators' topic and has not sent them to the others.
    bool operator_records_unsent = false;
    // The best-ranked daemon whose news arrived lately, and when they last arrived.
    std::optional<vm_id> reader;
    time_point reader_heard_at;
    time_point started_at;
    // The time since which this daemon has been the reader. It is set to the current time at every
    // check until the daemon is the reader and member_timeout has passed since the start.
    time_point reader_since;
    bool check_scheduled = false;
    // The requests per second that each daemon last reported to this one.
    std::map<vm_id, double> request_rates;
    // Some daemon's set of known members differs from this one's.
    bool member_views_differ = false;
};

} // namespace azureshore::sharing
