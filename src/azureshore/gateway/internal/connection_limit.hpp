#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <utility>

namespace azureshore::gateway::detail {

// Bounds the open connections of callers. At the limit, those that are idle or have sent only a
// part of a request are closed for new ones, first the one that has been so for longest.
class connection_limit {
public:
    explicit connection_limit(std::size_t most_open) : most(most_open) {}

    // The place of one open connection.
    class place {
    public:
        place(connection_limit& in, std::function<void()> how) : limit(&in), close(std::move(how))
        {
            ++this->limit->open;
            this->waits();
        }
        ~place()
        {
            --this->limit->open;
            this->works();
        }
        place(const place&) = delete;
        place& operator=(const place&) = delete;
        place(place&&) = delete;
        place& operator=(place&&) = delete;

        // No whole request is being handled: the connection may be closed for others.
        void waits()
        {
            this->works();
            this->at = this->limit->waiting.insert(this->limit->waiting.end(), this);
            this->listed = true;
        }

        // A whole request is being handled.
        void works()
        {
            if (std::exchange(this->listed, false)) {
                this->limit->waiting.erase(this->at);
            }
        }

    private:
        friend class connection_limit;

        connection_limit* limit;
        std::function<void()> close;
        std::list<place*>::iterator at;
        bool listed = false;
    };

    // Whether one more connection may open; closes another one for it if need be.
    bool make_room()
    {
        if (this->open < this->most) {
            return true;
        }
        if (this->waiting.empty()) {
            return false;
        }
        ++this->closed;
        auto* const oldest = this->waiting.front();
        oldest->works();
        // The call ends the place that holds the function.
        const auto close = oldest->close;
        close();
        return true;
    }

    [[nodiscard]] std::size_t open_connections() const { return this->open; }
    [[nodiscard]] std::uint64_t closed_for_room() const { return this->closed; }

private:
    std::size_t most;
    std::size_t open = 0;
    std::uint64_t closed = 0;
    std::list<place*> waiting;
};

} // namespace azureshore::gateway::detail
