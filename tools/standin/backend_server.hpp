#pragma once

#include "azureshore/core/random.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/net/http_server.hpp"
#include "service_tools.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace azureshore::standin {

// How a backend server behaves while no fault is switched on.
struct backend_plan {
    std::string name = "backend";
    std::string instance;
    std::string service;
    // Requests that run at once; others wait.
    unsigned slots = 2;
    // Requests that it bears while cold; more make it collapse.
    unsigned cold_window = 1;
    // It is warm once it has finished this many requests; zero starts it warm.
    unsigned warm_after = 0;
    // Requests that run or wait at once; more are refused before running.
    unsigned connections = 220;
    // Mean and spread of the log-normal time that a request runs.
    duration mean_time = std::chrono::milliseconds(2);
    double spread = 0.8;
    std::uint64_t seed = 1;
};

// Faults of a backend server, switched at run time.
struct backend_faults {
    // Refuses every new request before running it.
    bool drain = false;
    // Refuses before running when all slots are busy.
    bool shed = false;
    // Answers 500 at once.
    bool fail = false;
    // Multiplies the time that a request runs.
    double slow = 1;
    // The load endpoint answers with this status.
    int health = 200;
    // Loads are told this late.
    duration load_lag{};
    // Running requests that loads tell in place of the true number; negative tells the truth.
    std::int64_t load_lie = -1;
    // Answers are held back this long after the work is done and the slot is free.
    duration late{};
    // This many further requests are run and then:
    // the connection closes without an answer,
    std::int64_t reset = 0;
    // the answer is cut short,
    std::int64_t cut = 0;
    // the answer names another attempt,
    std::int64_t crossed = 0;
    // no answer is sent.
    std::int64_t silent = 0;
};

// Counts of what ran, by which tests check that nothing ran twice or was overloaded.
struct backend_counts {
    std::uint64_t runs = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t collapses = 0;
    // The most requests that ran or waited at once.
    std::uint64_t most_at_once = 0;
    std::uint64_t most_at_once_cold = 0;
    std::map<std::string, std::uint64_t> by_attempt;
    std::map<std::string, std::uint64_t> by_key;
};

// A backend server as a stand-in: it runs requests for a drawn time in a few slots.
class backend_server {
public:
    using exit_function = std::function<void()>;

    // `crash` ends the process, when a request marked for it runs.
    backend_server(backend_plan plan, delay_function after, exit_function crash);

    // Handles one HTTP call.
    void handle(const net::http_call& call, const net::responder& respond);

    // The caller of a request hung up: it is not run, or its slot is free.
    void gone(net::call_number call);

private:
    struct job {
        net::http_call call;
        net::responder respond;
        time_point deadline;
        // The answer's fate, drawn when the work ends.
        std::uint64_t number = 0;
    };

    void take_in(const net::http_call& call, const net::responder& respond);
    bool refuses(const net::http_call& call) const;
    void start_waiting();
    void run(job started);
    void finish(net::call_number call, std::uint64_t number);
    void reply(const job& done);
    duration draw_time();
    void note_load();
    void set_cold(bool cold);
    void set_faults(const net::http_call& call, const net::responder& respond);
    void tell_runs(const net::responder& respond) const;
    void tell_load(const net::responder& respond);
    [[nodiscard]] std::size_t present() const;
    [[nodiscard]] std::string load_text() const;
    net::http_answer answer_for(const net::http_call& call, int status) const;
    net::http_answer refusal_for(const net::http_call& call);

    backend_plan plan;
    delay_function after;
    exit_function crash;
    random_source random;
    mutable std::mutex lock;
    backend_faults faults;
    backend_counts counts;
    bool cold = false;
    unsigned finished_cold = 0;
    std::uint64_t last_job = 0;
    unsigned restarts = 0;
    std::deque<job> waiting;
    std::map<net::call_number, job> running;
    std::int64_t told_running = 0;
};

// Runs the stand-in for a backend server until SIGTERM or SIGINT; returns the exit status.
int run_backend_server(const std::vector<std::string>& arguments);

} // namespace azureshore::standin
