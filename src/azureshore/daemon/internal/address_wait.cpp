#include "azureshore/daemon/internal/address_wait.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>

#include <stdexcept>

namespace azureshore::daemon::detail {

namespace {

// Binds a socket for a moment, with the options that the daemon's own sockets have.
asio::error_code try_bind(const listen_address& wanted)
{
    asio::io_context unused;
    asio::error_code error;
    const auto host = asio::ip::make_address(wanted.where.host, error);
    if (error) {
        return error;
    }
    if (wanted.protocol == transport_protocol::udp) {
        const asio::ip::udp::endpoint at(host, wanted.where.port);
        asio::ip::udp::socket socket(unused);
        socket.open(at.protocol(), error);
        return error ? error : socket.bind(at, error);
    }
    const asio::ip::tcp::endpoint at(host, wanted.where.port);
    asio::ip::tcp::acceptor socket(unused);
    socket.open(at.protocol(), error);
    if (!error) {
        socket.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    }
    return error ? error : socket.bind(at, error);
}

} // namespace

bool wait_for_addresses(const std::vector<listen_address>& all, duration limit,
                        const std::function<bool()>& pause,
                        const std::function<void(const listen_address&)>& waiting)
{
    const auto until = steady_now() + limit;
    for (const auto& each : all) {
        bool told = false;
        while (const auto error = try_bind(each)) {
            if (error != asio::error::address_in_use || steady_now() >= until) {
                throw std::runtime_error(each.key + ": can't listen on " + to_string(each.where) +
                                         ": " + error.message());
            }
            if (!told) {
                waiting(each);
                told = true;
            }
            if (!pause()) {
                return false;
            }
        }
    }
    return true;
}

} // namespace azureshore::daemon::detail
