#pragma once

#include "azureshore/core/address.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace azureshore::testing {

// What one connection of a crowd sends: a head, and then a text again and again.
struct crowd_script {
    std::string head;
    const std::string* repeated = nullptr;
    // Bytes that it sends after the head.
    std::size_t repeated_bytes = 0;
    // Bytes that it sends before the next connection has its turn.
    std::size_t piece_bytes = 64UL * 1024UL;
    // Whether it reads what comes.
    bool reads = true;
    // Its receive buffer in bytes; the system's when zero.
    int receive_buffer_bytes = 0;
};

// Connections that send in turn, none waiting for another, and stay open after that.
class crowd {
public:
    crowd(const address& to, std::vector<crowd_script> scripts);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;
    crowd(crowd&&) = delete;
    crowd& operator=(crowd&&) = delete;

    // Sends until all have sent all or are closed, or until nothing moves any more. `observe` is
    // called again and again meanwhile.
    void run(const std::function<void()>& observe);

private:
    struct member {
        crowd_script script;
        int descriptor = -1;
        std::size_t sent = 0;
    };

    // Whether a byte moved.
    static bool take_turn(member& of);
    static bool receive(member& of);
    static void close(member& of);

    std::vector<member> members;
};

} // namespace azureshore::testing
