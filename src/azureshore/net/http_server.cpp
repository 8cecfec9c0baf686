#include "azureshore/net/http_server.hpp"

#include "azureshore/net/field_text.hpp"
#include "azureshore/net/internal/server_shard.hpp"

#include <future>
#include <utility>
#include <vector>

namespace azureshore::net {

class http_server::state {
public:
    state(http_server_settings settings, http_server_hooks given)
        : hooks(std::make_shared<const http_server_hooks>(std::move(given)))
    {
        const std::size_t count = std::max<std::size_t>(1, settings.threads);
        for (std::size_t index = 0; index < count; ++index) {
            this->shards.push_back(
                std::make_unique<detail::server_shard>(settings, this->hooks, index));
            // The first one settles which port it is.
            settings.where.port = this->shards.front()->port();
        }
    }

    [[nodiscard]] std::uint16_t port() const { return this->shards.front()->port(); }

    void stop()
    {
        for (const auto& shard : this->shards) {
            shard->stop();
        }
    }

private:
    std::shared_ptr<const http_server_hooks> hooks;
    std::vector<std::unique_ptr<detail::server_shard>> shards;
};

http_server::http_server(http_server_settings settings, http_server_hooks hooks)
    : inner(std::make_unique<state>(std::move(settings), std::move(hooks)))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return this->inner->port();
}

void http_server::stop()
{
    this->inner->stop();
}

std::string_view http_call::header(std::string_view name) const
{
    return find_field(this->headers, name);
}

} // namespace azureshore::net
