#pragma once

#include "azureshore/net/http_server.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace azureshore::net::detail {

// One thread of a server with connections of its own; the kernel spreads new connections over all
// shards that listen on the same port.
class server_shard {
public:
    server_shard(const http_server_settings& settings,
                 std::shared_ptr<const http_server_hooks> hooks, std::size_t index);
    ~server_shard();
    server_shard(const server_shard&) = delete;
    server_shard& operator=(const server_shard&) = delete;
    server_shard(server_shard&&) = delete;
    server_shard& operator=(server_shard&&) = delete;

    [[nodiscard]] std::uint16_t port() const;
    void stop();

private:
    class state;
    std::shared_ptr<state> inner;
};

} // namespace azureshore::net::detail
