#include "azureshore/daemon/internal/admin_pages.hpp"

namespace azureshore::daemon::detail {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

net::http_answer text_answer(int status, const std::string& type, std::string body)
{
    return {status, {{"Content-Type", type}}, std::move(body), false};
}

net::http_answer ready_page(const std::string& reason)
{
    if (reason.empty()) {
        return text_answer(status_ok, "text/plain", "ready\n");
    }
    return text_answer(status_unavailable, "text/plain", "not ready: " + reason + '\n');
}

} // namespace

net::http_answer admin_page(const net::http_call& call, const admin_sources& sources)
{
    if (call.target == "/healthz") {
        return text_answer(status_ok, "text/plain", "ok\n");
    }
    if (call.target == "/readyz") {
        return ready_page(sources.not_ready());
    }
    if (call.target == "/metrics") {
        return text_answer(status_ok, "text/plain; version=0.0.4", sources.metrics());
    }
    if (call.target == "/status") {
        return text_answer(status_ok, "application/json", sources.status());
    }
    return text_answer(status_not_found, "text/plain", "no such page\n");
}

} // namespace azureshore::daemon::detail
