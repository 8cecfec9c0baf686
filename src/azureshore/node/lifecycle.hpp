#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/observe/decision.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>

namespace azureshore::node {

// The stages of an entry VM's run, in order. A second signal skips to `stopped`.
enum class life_stage {
    serving,
    // Not ready towards the platform's balancer, which sends new requests until it has seen that.
    draining,
    // Leads nothing more and gives permits back; takes no new requests.
    handing_over,
    // Waits for the requests in flight.
    finishing,
    stopped,
};

std::string_view to_string(life_stage stage);

struct lifecycle_options {
    // How long the balancer may go on sending requests to a VM that is not ready.
    duration balancer_lag = std::chrono::seconds(5);
    // How long the hand-over may take.
    duration hand_over_limit = std::chrono::seconds(2);
    // The whole stop, from the signal on; what runs then is cut off.
    duration stop_limit = std::chrono::seconds(30);
};

// Where the lifecycle's actions go. Hooks must not call back into the lifecycle.
struct lifecycle_hooks {
    // Answers the balancer's readiness checks with "not ready" from now on.
    std::function<void()> stop_being_ready;
    // Tells the other VMs that this one leaves, and hands leads and permits over; ends in
    // `handed_over`.
    std::function<void()> hand_over;
    // Takes no new connections and requests from callers.
    std::function<void()> stop_accepting;
    // Ends the process with this status.
    std::function<void(int status)> exit;
    observe::decision_hook log;
};

// Decides the steps of a planned stop, so that no request in flight is cut off.
class lifecycle {
public:
    static constexpr int clean_exit = 0;
    static constexpr int forced_exit = 1;

    lifecycle(const lifecycle_options& options, lifecycle_hooks hooks);

    // The process was told to stop. The first signal begins the planned stop, the second ends the
    // process at once with status 1.
    void signalled(time_point now);

    // The hand-over is done.
    void handed_over(time_point now);

    // Requests that this VM took in and that have no final answer yet.
    void set_in_flight(time_point now, std::size_t count);

    void tick(time_point now);
    [[nodiscard]] time_point next_tick() const;

    [[nodiscard]] life_stage stage() const { return this->now_in; }

    // Whether the balancer should send requests, as far as the lifecycle says.
    [[nodiscard]] bool ready() const { return this->now_in == life_stage::serving; }

private:
    void enter(life_stage next);
    void begin_hand_over(time_point now);
    void finish();
    void stop(int status, std::string_view reason);
    [[nodiscard]] bool stopping() const;

    lifecycle_options options;
    lifecycle_hooks hooks;
    life_stage now_in = life_stage::serving;
    std::size_t in_flight = 0;
    time_point stage_ends = time_point::max();
    time_point stop_ends = time_point::max();
};

} // namespace azureshore::node
