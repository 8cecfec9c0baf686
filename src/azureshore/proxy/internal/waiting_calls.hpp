#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/net/http_server.hpp"

#include <array>
#include <cstddef>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace azureshore::proxy::detail {

// The calls that wait for their final word, in shards that are locked one by one.
class waiting_calls {
public:
    void add(request_number request, net::responder respond)
    {
        shard& part = this->shard_of(request);
        const std::scoped_lock lock(part.mutex);
        part.calls.emplace(request, std::move(respond));
    }

    // Takes a call out; empty when it is not there.
    net::responder take(request_number request)
    {
        shard& part = this->shard_of(request);
        const std::scoped_lock lock(part.mutex);
        auto node = part.calls.extract(request);
        return node.empty() ? net::responder{} : std::move(node.mapped());
    }

    [[nodiscard]] std::size_t size() const
    {
        std::size_t count = 0;
        for (const auto& part : this->shards) {
            const std::scoped_lock lock(part.mutex);
            count += part.calls.size();
        }
        return count;
    }

private:
    static constexpr std::size_t shard_count = 16;

    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<request_number, net::responder> calls;
    };

    shard& shard_of(request_number request)
    {
        // The lowest bits of a number name a thread of the server.
        constexpr unsigned thread_bits = 8;
        return this->shards.at((request.value >> thread_bits) % shard_count);
    }

    std::array<shard, shard_count> shards;
};

} // namespace azureshore::proxy::detail
