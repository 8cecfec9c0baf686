#include "azureshore/net/internal/connection_state.hpp"

#include <sys/socket.h>

#include <string>

namespace azureshore::net::detail {

namespace {

constexpr std::string_view interim_answer = "HTTP/1.1 100 Continue\r\n\r\n";

std::string to_text(const http_answer& answer)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " \r\n";
    for (const auto& each : answer.headers) {
        text += each.name + ": " + each.value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    return text + "Connection: close\r\n\r\n" + answer.body;
}

} // namespace

connection_state::connection_state(int descriptor, std::size_t max_body,
                                   const http_server_hooks& given)
    : native(descriptor), hooks(given), guard(max_body)
{
}

bool connection_state::take(std::string_view bytes)
{
    if (this->refused) {
        return false;
    }
    if (const auto why = this->guard.read(bytes)) {
        this->refuse(*why);
        return false;
    }
    if (this->guard.take_continue() && this->calls.empty()) {
        this->send(interim_answer);
    }
    return true;
}

// An answer still owed to an earlier request of the connection would come out of order, so then
// the connection just closes.
void connection_state::refuse(early_refusal why)
{
    this->refused = true;
    if (this->calls.empty()) {
        this->send(to_text(this->hooks.refuse ? this->hooks.refuse(why) : plain_refusal(why)));
    }
    ::shutdown(this->native, SHUT_WR);
}

void connection_state::peer_closed()
{
    this->ended = true;
}

void connection_state::closing()
{
    if (this->guard.inside_message() && !this->refused && !this->ended && this->calls.empty()) {
        this->refuse(early_refusal::too_slow);
    }
}

void connection_state::drop()
{
    this->refused = true;
    ::shutdown(this->native, SHUT_RDWR);
}

// What does not fit into the kernel's buffer at once is lost; the server never waits here.
void connection_state::send(std::string_view bytes) const
{
    ::send(this->native, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

std::shared_ptr<connection_state> connection_registry::open(const endpoint& peer, int native)
{
    auto state = std::make_shared<connection_state>(native, this->max_body, *this->hooks);
    this->connections.insert_or_assign(peer, state);
    return state;
}

std::shared_ptr<connection_state> connection_registry::find(const endpoint& peer) const
{
    const auto found = this->connections.find(peer);
    return found == this->connections.end() ? nullptr : found->second;
}

void connection_registry::close(const endpoint& peer)
{
    const auto node = this->connections.extract(peer);
    if (node.empty()) {
        return;
    }
    for (const call_number each : node.mapped()->calls) {
        this->gone(each);
    }
}

} // namespace azureshore::net::detail
