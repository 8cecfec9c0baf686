#pragma once

#include "azureshore/platform/keyed_topic.hpp"

#include <memory>

namespace azureshore::platform {

struct follower_settings {
    // How long a read may wait for the next record; zero asks for what is there.
    std::chrono::milliseconds wait{0};
    // Pause between the end of one read and the next.
    duration interval = std::chrono::milliseconds(500);
    // Pause after a read that failed.
    duration retry = std::chrono::milliseconds(300);
};

struct follower_hooks {
    std::function<void(duration, std::function<void()>)> after;
    // The newest record of every key: at first, and whenever records were missed.
    std::function<void(const std::vector<keyed_record>&)> listed;
    std::function<void(const keyed_record&)> changed;
    // The topic could not be read, or can be read again.
    std::function<void()> lost;
    std::function<void()> back;
};

// Follows a topic: lists it once, then reads on from there. All calls on one thread.
class topic_follower {
public:
    topic_follower(keyed_topic topic, follower_settings settings, follower_hooks hooks);
    ~topic_follower();
    topic_follower(const topic_follower&) = delete;
    topic_follower& operator=(const topic_follower&) = delete;
    topic_follower(topic_follower&&) = delete;
    topic_follower& operator=(topic_follower&&) = delete;

    void start();

    // Whether the topic has been listed at least once.
    [[nodiscard]] bool listed() const;

private:
    class state;
    std::shared_ptr<state> inner;
};

} // namespace azureshore::platform
