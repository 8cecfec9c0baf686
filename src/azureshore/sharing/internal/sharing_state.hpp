#pragma once

#include "azureshore/sharing/store_sharing.hpp"

#include <array>
#include <deque>
#include <map>
#include <optional>

namespace azureshore::sharing {

class store_sharing::state : public std::enable_shared_from_this<store_sharing::state> {
public:
    state(sharing_settings chosen, shared_topics followed, sharing_hooks told);

    void start();
    void leave();
    void receive(const wire::envelope& received);
    void broadcast_crash_suspicion(std::uint64_t fingerprint);
    [[nodiscard]] bool topics_listed() const;

    members known;
    bool members_listed = false;
    double total_request_rate = 0;

private:
    // What one read found, kept so that a lost message is made up for by the next ones.
    struct round {
        std::uint64_t from = 0;
        std::uint64_t next = 0;
        std::vector<wire::shared_record> records;
    };
    struct followed_topic {
        wire::shared_topic kind;
        platform::keyed_topic calls;
        bool listed = false;
        bool busy = false;
        // A read is wanted as soon as the one under way ends.
        bool again = false;
        std::uint64_t next = 0;
        // When the knowledge was last as new as the store's.
        time_point fresh_at{};
        // The last read failed.
        bool failed = false;
        // Another daemon knows more than this one.
        bool behind = false;
        std::deque<round> rounds{};
        // The newest record of each key, for daemons that start.
        std::map<std::string, wire::shared_record> newest{};
        // Parts of a snapshot that have come, and where it ends.
        std::map<std::uint32_t, std::vector<wire::shared_record>> parts{};
        std::uint64_t parts_next = 0;
    };

    [[nodiscard]] time_point now() const { return this->hooks.clock(); }
    followed_topic& topic(wire::shared_topic kind);
    void later(duration wait, std::function<void(state&)> work);

    // Reading.
    void list(followed_topic& from);
    void read(followed_topic& from, std::chrono::milliseconds wait);
    void read_ended(followed_topic& from, time_point began, const platform::keyed_read& result);
    void read_failed(followed_topic& from);
    void read_succeeded(followed_topic& from, time_point began);
    void take(followed_topic& from, const platform::keyed_read& result);
    void take_list(followed_topic& from, std::uint64_t next,
                   const std::vector<platform::keyed_record>& records);
    bool take_record(followed_topic& from, const platform::keyed_record& record);

    // Starting.
    void learn();
    void list_unless_learned();
    void tell_snapshots(const std::vector<wire::member_entry>& to);
    void heard_snapshot(const wire::topic_snapshot& snapshot);

    // When to read.
    void check();
    [[nodiscard]] duration due_after() const;
    void read_operators_on();
    [[nodiscard]] bool reads_for_all() const;

    // Messages.
    void tell(const std::vector<wire::member_entry>& to, const wire::message& body);
    void pass_on(const wire::envelope& received, const vm_id& origin);
    void tell_news(followed_topic& of);
    void heard_news(const wire::topic_news& news);
    double sum_of_rates();
    void heard_hello(const vm_id& from, const wire::member_hello& hello);
    void say_hello(const address& to, bool wants_all = false);
    void say_hello_to_first();
    void announce();
    void list_members();
    void drop_silent_members();
    void set_away(bool now_away);

    sharing_settings settings;
    sharing_hooks hooks;
    platform::keyed_topic members_topic;
    std::array<followed_topic, 2> topics;
    bool leaving = false;
    bool away = false;
    // Records of the operators were read that no other daemon was told of.
    bool operators_untold = false;
    // The best-ranked daemon whose news were heard, and when.
    std::optional<vm_id> reader;
    time_point reader_heard;
    time_point started;
    // Since when this daemon reads for all.
    time_point reading_since;
    bool check_set = false;
    // What each daemon told this one of its requests a second.
    std::map<vm_id, double> request_rates;
    // Some daemon knows others than this one does.
    bool views_differ = false;
};

} // namespace azureshore::sharing
