#include "azureshore/daemon/internal/platform_link.hpp"

#include "azureshore/platform/log_client.hpp"
#include "azureshore/platform/vm_list_client.hpp"

#include <utility>

namespace azureshore::daemon::detail {

platform_link::platform_link(io_thread& on, const settings::daemon_settings& settings)
    : thread(on), http(on.executor()),
      direct(platform::make_log_client(this->http, settings.log, settings.platform_timeout)),
      vm_list(settings.vm_list), timeout(settings.platform_timeout),
      interval(settings.vm_list_interval)
{
}

platform::log_hooks platform_link::log()
{
    platform::log_hooks hooks;
    hooks.append = [this](const std::string& stream, std::string bytes,
                          std::function<void(platform::append_result)> done) {
        this->thread.post(
            [this, stream, bytes = std::move(bytes), done = std::move(done)]() mutable {
                this->direct.append(stream, std::move(bytes), std::move(done));
            });
    };
    hooks.read = [this](const std::string& stream, std::uint64_t from,
                        std::chrono::milliseconds wait,
                        std::function<void(platform::read_result)> done) {
        this->thread.post([this, stream, from, wait, done = std::move(done)]() mutable {
            this->direct.read(stream, from, wait, std::move(done));
        });
    };
    return hooks;
}

void platform_link::follow_list(
    std::function<void(const std::vector<platform::vm_entry>&)> receiver)
{
    this->listed = std::move(receiver);
    this->thread.post([this] { this->fetch_list(); });
}

void platform_link::fetch_list()
{
    platform::fetch_vm_list(this->http, this->vm_list, this->timeout,
                            [this](const platform::vm_list_result& result) {
                                if (result.ok()) {
                                    this->listed(*result);
                                }
                                this->thread.after(this->interval, [this] { this->fetch_list(); });
                            });
}

} // namespace azureshore::daemon::detail
