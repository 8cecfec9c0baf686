#include "hostile_callers/crowd.hpp"

#include "azureshore/core/time.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <thread>

namespace azureshore::testing {

namespace {

constexpr auto still_for = std::chrono::seconds(3);
constexpr auto longest = std::chrono::seconds(60);
constexpr auto pause = std::chrono::milliseconds(2);

// The next bytes of a script, at most a piece.
std::string_view next_of(const crowd_script& script, std::size_t sent)
{
    if (sent < script.head.size()) {
        return std::string_view(script.head).substr(sent, script.piece_bytes);
    }
    const auto done = sent - script.head.size();
    if (done >= script.repeated_bytes) {
        return {};
    }
    const auto most = std::min(script.piece_bytes, script.repeated_bytes - done);
    return std::string_view(*script.repeated).substr(done % script.repeated->size(), most);
}

} // namespace

crowd::crowd(const address& to, std::vector<crowd_script> scripts)
{
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &where.sin_addr);
    for (auto& each : scripts) {
        auto& made = this->members.emplace_back();
        made.script = std::move(each);
        made.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (const int size = made.script.receive_buffer_bytes; size > 0) {
            setsockopt(made.descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
        }
        // Its end shows when the member sends.
        (void)connect(made.descriptor, reinterpret_cast<const sockaddr*>(&where), sizeof where);
    }
}

crowd::~crowd()
{
    for (auto& each : this->members) {
        close(each);
    }
}

void crowd::run(const std::function<void()>& observe)
{
    const auto until = steady_now() + longest;
    auto moved_at = steady_now();
    bool unfinished = true;
    while (unfinished && steady_now() < until && steady_now() - moved_at < still_for) {
        unfinished = false;
        bool moved = false;
        for (auto& each : this->members) {
            moved = take_turn(each) || moved;
            unfinished =
                unfinished || (each.descriptor >= 0 && !next_of(each.script, each.sent).empty());
        }
        observe();
        if (moved) {
            moved_at = steady_now();
        }
        else {
            std::this_thread::sleep_for(pause);
        }
    }
}

bool crowd::take_turn(member& of)
{
    if (of.descriptor < 0) {
        return false;
    }
    const bool received = of.script.reads && receive(of);
    const auto next = next_of(of.script, of.sent);
    if (of.descriptor < 0 || next.empty()) {
        return received;
    }
    const auto count = send(of.descriptor, next.data(), next.size(), MSG_NOSIGNAL);
    if (count < 0) {
        if (errno != EAGAIN && errno != ENOTCONN) {
            close(of);
        }
        return received;
    }
    of.sent += static_cast<std::size_t>(count);
    return true;
}

bool crowd::receive(member& of)
{
    std::array<char, 65536> bytes{};
    const auto count = recv(of.descriptor, bytes.data(), bytes.size(), 0);
    if (count == 0 || (count < 0 && errno != EAGAIN && errno != ENOTCONN)) {
        close(of);
    }
    return count > 0;
}

void crowd::close(member& of)
{
    if (of.descriptor >= 0) {
        ::close(of.descriptor);
        of.descriptor = -1;
    }
}

} // namespace azureshore::testing
