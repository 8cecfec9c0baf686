#include "azureshore/platform/topic_follower.hpp"

#include <utility>

namespace azureshore::platform {

class topic_follower::state : public std::enable_shared_from_this<topic_follower::state> {
public:
    state(keyed_topic followed, follower_settings chosen, follower_hooks told)
        : topic(std::move(followed)), settings(chosen), hooks(std::move(told))
    {
    }

    void list()
    {
        this->topic.list([weak = this->weak_from_this()](const keyed_list& result) {
            if (const auto self = weak.lock()) {
                self->list_ended(result);
            }
        });
    }

    bool listed_once = false;

private:
    void list_ended(const keyed_list& result)
    {
        if (!result.ok) {
            this->failed([](state& self) { self.list(); });
            return;
        }
        this->answered();
        this->listed_once = true;
        this->next_offset = result.next_offset;
        this->hooks.listed(result.records);
        this->read();
    }

    void read()
    {
        this->topic.read(this->next_offset, this->settings.wait,
                         [weak = this->weak_from_this()](const keyed_read& result) {
                             if (const auto self = weak.lock()) {
                                 self->read_ended(result);
                             }
                         });
    }

    void read_ended(const keyed_read& result)
    {
        if (result.outcome == read_outcome::unavailable) {
            this->failed([](state& self) { self.read(); });
            return;
        }
        this->answered();
        if (result.outcome == read_outcome::expired) {
            this->list();
            return;
        }
        this->next_offset = result.next_offset;
        for (const auto& each : result.records) {
            this->hooks.changed(each);
        }
        this->later(this->settings.interval, [](state& self) { self.read(); });
    }

    void failed(void (*again)(state&))
    {
        if (!this->away) {
            this->away = true;
            this->hooks.lost();
        }
        this->later(this->settings.retry, again);
    }

    void answered()
    {
        if (this->away) {
            this->away = false;
            this->hooks.back();
        }
    }

    void later(duration wait, void (*what)(state&))
    {
        this->hooks.after(wait, [weak = this->weak_from_this(), what] {
            if (const auto self = weak.lock()) {
                what(*self);
            }
        });
    }

    keyed_topic topic;
    follower_settings settings;
    follower_hooks hooks;
    std::uint64_t next_offset = 0;
    bool away = false;
};

topic_follower::topic_follower(keyed_topic topic, follower_settings settings, follower_hooks hooks)
    : inner(std::make_shared<state>(std::move(topic), settings, std::move(hooks)))
{
}

topic_follower::~topic_follower() = default;

void topic_follower::start()
{
    this->inner->list();
}

bool topic_follower::listed() const
{
    return this->inner->listed_once;
}

} // namespace azureshore::platform
