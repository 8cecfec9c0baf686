#pragma once

#include "azureshore/core/random.hpp"
#include "azureshore/sharing/store_sharing.hpp"
#include "support/virtual_clock.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azureshore::test {

// The platform's store as daemons see it, in virtual time: keyed topics, answers after a while,
// reads that wait, and outages in which calls get no answer.
class fake_store {
public:
    fake_store(virtual_clock& time, random_source numbers);

    // Appends at once, as another writer would; gives the offset.
    std::uint64_t put(const std::string& topic, const std::string& key,
                      std::optional<std::string> value);

    // The topic as one daemon calls it.
    platform::keyed_topic topic(const vm_id& caller, const std::string& name);
    void announce(const vm_id& caller, const std::string& what,
                  const std::function<void(bool)>& done);

    // Forgets old records, as compaction does.
    void compact(const std::string& topic);

    // Calls of a daemon get no answer while its name is in here; "*" stands for all.
    std::set<std::string> unanswered;
    std::uint64_t calls = 0;
    // Whether a waiting read is answered when a record comes, and not only at its end.
    bool wakes_reads = true;

private:
    struct stored {
        std::uint64_t first = 0;
        std::vector<platform::keyed_record> records;
        std::map<std::string, platform::keyed_record> newest;
    };
    struct waiting_read {
        std::string topic;
        std::uint64_t from = 0;
        bool done = false;
        std::function<void(platform::keyed_read)> answer;
    };

    [[nodiscard]] bool answers(const vm_id& caller) const;
    void finish(const std::shared_ptr<waiting_read>& read, bool answered);

    virtual_clock& clock;
    random_source random;
    std::map<std::string, stored> topics;
    std::vector<std::shared_ptr<waiting_read>> waiting;
};

// Daemons that share the reading of a store, over a network that loses messages.
class sharing_cluster {
public:
    sharing_cluster(std::size_t daemons, std::uint64_t seed);

    void start(std::size_t daemon);
    void kill(std::size_t daemon);
    [[nodiscard]] bool lives(std::size_t daemon) const { return this->all[daemon] != nullptr; }
    [[nodiscard]] vm_id name_of(std::size_t daemon) const;

    // The newest value of a key that a daemon knows; empty if none.
    [[nodiscard]] std::string known(std::size_t daemon, wire::shared_topic topic,
                                    const std::string& key) const;
    [[nodiscard]] const sharing::members& members_of(std::size_t daemon) const;
    sharing::store_sharing& sharing_of(std::size_t daemon) { return *this->all[daemon]->sharing; }

    virtual_clock clock;
    random_source random;
    fake_store store;
    // The share of messages that are lost.
    double loss = 0;
    // No messages pass to or from these.
    std::set<std::size_t> cut_off;
    std::uint64_t messages = 0;
    // The times that a daemon reported the store as lost.
    std::size_t losses = 0;

    static constexpr const char* operators = "operators";
    static constexpr const char* registrations = "registrations";

private:
    struct process {
        std::map<std::string, std::string> known[2];
        std::unique_ptr<sharing::store_sharing> sharing;
    };

    void deliver(std::size_t from, const address& where, const wire::message& body);
    sharing::sharing_hooks hooks_of(std::size_t index, const std::weak_ptr<process>& owner);

    std::vector<std::shared_ptr<process>> all;
};

} // namespace azureshore::test
