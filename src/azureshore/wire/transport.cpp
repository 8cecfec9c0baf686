#include "azureshore/wire/transport.hpp"

#include "azureshore/core/failure.hpp"
#include "azureshore/wire/internal/listener.hpp"
#include "azureshore/wire/internal/peer.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <map>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <thread>
#include <utility>

namespace azureshore::wire {

transport_error::transport_error(absl::Status why)
    : std::runtime_error(std::string(why.message())), reason(std::move(why))
{
}

class transport::state {
public:
    state(const address& listen, std::function<void(std::string)> on_received)
        : inbox(this->executor, listen, std::move(on_received)),
          thread([this] { this->executor.run(); })
    {
    }

    ~state()
    {
        this->executor.stop();
        this->thread.join();
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;

    [[nodiscard]] address where() const { return this->inbox.where(); }

    void send(const address& to, std::string bytes)
    {
        if (bytes.size() > max_carried_bytes) {
            ++this->dropped_oversized;
            return;
        }
        this->peer_at(to)->send(std::move(bytes));
    }

    void keep_only(const std::vector<address>& wanted)
    {
        const std::set<address> kept(wanted.begin(), wanted.end());
        const std::unique_lock lock(this->mutex);
        for (auto each = this->peers.begin(); each != this->peers.end();) {
            if (kept.count(each->first) == 0) {
                each->second->close();
                each = this->peers.erase(each);
            }
            else {
                ++each;
            }
        }
    }

    [[nodiscard]] transport_counts counts() const
    {
        transport_counts now;
        now.sent = this->peer_totals.sent;
        now.received = this->inbox.received();
        now.dropped_full = this->peer_totals.dropped_full;
        now.dropped_late = this->peer_totals.dropped_late;
        now.dropped_oversized = this->dropped_oversized;
        return now;
    }

private:
    std::shared_ptr<detail::peer> peer_at(const address& to)
    {
        {
            const std::shared_lock lock(this->mutex);
            const auto found = this->peers.find(to);
            if (found != this->peers.end()) {
                return found->second;
            }
        }
        const std::unique_lock lock(this->mutex);
        auto& slot = this->peers[to];
        if (!slot) {
            slot = std::make_shared<detail::peer>(this->executor, to, this->peer_totals);
        }
        return slot;
    }

    // Outlives the executor, whose last handlers hold peers.
    detail::peer_counts peer_totals;
    asio::io_context executor{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{this->executor.get_executor()};
    detail::listener inbox;
    std::atomic<std::uint64_t> dropped_oversized{0};
    std::shared_mutex mutex;
    std::map<address, std::shared_ptr<detail::peer>> peers;
    std::thread thread;
};

transport::transport(const address& listen, std::function<void(std::string)> received)
    : inner(std::make_unique<state>(listen, std::move(received)))
{
}

transport::~transport() = default;

address transport::where() const
{
    return this->inner->where();
}

void transport::send(const address& to, std::string bytes)
{
    this->inner->send(to, std::move(bytes));
}

void transport::keep_only(const std::vector<address>& peers)
{
    this->inner->keep_only(peers);
}

transport_counts transport::counts() const
{
    return this->inner->counts();
}

} // namespace azureshore::wire
