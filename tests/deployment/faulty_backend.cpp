#include "deployment/faulty_backend.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

namespace azureshore::testing {

std::string health_answer(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id +
           "\r\nX-Backend-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n";
}

std::string head_of_answer(const std::string& request, const std::string& status)
{
    return "HTTP/1.1 " + status +
           "\r\nX-Request-Id: " + test_support::field_of(request, "X-Request-Id") +
           "\r\nX-Server-Signature: signed\r\n";
}

std::string whole_answer(const std::string& request, const std::string& body,
                         const std::string& more_fields)
{
    return head_of_answer(request) + more_fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::size_t body_bytes_of(const std::string& request)
{
    constexpr std::string_view head_end = "\r\n\r\n";
    return request.size() - request.find(head_end) - head_end.size();
}

std::string registration_of(std::uint16_t port)
{
    return nlohmann::json{
        {"address", "127.0.0.1:" + std::to_string(port)},
        {"born", 1},
        {"info", {{"service", "plates"}, {"version", "v1"}, {"zone", "north"}, {"slots", 4}}},
        {"status", {{"state", "ready"}, {"sequence", 1}, {"cold_remaining_ms", 0}}}}
        .dump();
}

bool is_health_check(const std::string& request)
{
    return request.starts_with("GET /health ");
}

} // namespace azureshore::testing
