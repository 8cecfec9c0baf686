// Helpers of the third review's scripts: processes, a client, backend servers and a record of what
// happened. Everything listens on loopback addresses and uses the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

inline const std::chrono::steady_clock::time_point script_began = std::chrono::steady_clock::now();

// Seconds since the script began.
inline double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - script_began).count();
}

inline void pause_s(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

inline void wait_until(double at)
{
    pause_s(at - now());
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline std::string text(const char* format, ...)
{
    char buffer[4096];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(buffer, sizeof buffer, format, arguments);
    va_end(arguments);
    return buffer;
}

// What was sent, answered and run, one line each, in record.txt.
class record_file {
public:
    explicit record_file(const std::string& path) : file(fopen(path.c_str(), "w")) {}
    ~record_file()
    {
        if (this->file != nullptr) {
            fclose(this->file);
        }
    }
    void line(const std::string& what)
    {
        const std::lock_guard hold(this->lock);
        if (this->file != nullptr) {
            fprintf(this->file, "%9.4f %s\n", now(), what.c_str());
            fflush(this->file);
        }
    }

private:
    FILE* file;
    std::mutex lock;
};

inline record_file* record = nullptr;

inline void note(const std::string& what)
{
    if (record != nullptr) {
        record->line(what);
    }
}

// A note that is printed too.
inline void say(const std::string& what)
{
    note(what);
    printf("%s\n", what.c_str());
    fflush(stdout);
}

inline bool trouble()
{
    const char* set = getenv("TROUBLE");
    return set == nullptr || std::string(set) != "0";
}

// --- Processes ---------------------------------------------------------------------------------

class child {
public:
    child() = default;
    ~child() { this->end(); }
    child(const child&) = delete;
    child& operator=(const child&) = delete;

    void start(const std::vector<std::string>& command, const std::string& log)
    {
        std::vector<char*> words;
        for (const auto& each : command) {
            words.push_back(const_cast<char*>(each.c_str()));
        }
        words.push_back(nullptr);
        this->pid = fork();
        if (this->pid == 0) {
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            for (int each = 3; each < 1024; ++each) {
                close(each);
            }
            execv(words[0], words.data());
            _exit(127);
        }
    }

    void send(int signal) const
    {
        if (this->pid > 0) {
            kill(this->pid, signal);
        }
    }

    // Whether it has ended; reaps it.
    bool ended()
    {
        if (this->pid > 0 && waitpid(this->pid, &this->status, WNOHANG) == this->pid) {
            this->pid = -1;
        }
        return this->pid <= 0;
    }

    // Waits for its end. Returns false when it runs still.
    bool wait_end(double seconds)
    {
        const double until = now() + seconds;
        while (!this->ended()) {
            if (now() > until) {
                return false;
            }
            pause_s(0.005);
        }
        return true;
    }

    void end()
    {
        if (!this->ended()) {
            kill(this->pid, SIGKILL);
            waitpid(this->pid, &this->status, 0);
            this->pid = -1;
        }
    }

    pid_t pid = -1;
    int status = 0;
};

// --- Sockets and HTTP --------------------------------------------------------------------------

inline sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &made.sin_addr);
    return made;
}

inline bool port_is_free(const std::string& ip, int port)
{
    for (const int kind : {SOCK_STREAM, SOCK_DGRAM}) {
        const int made = socket(AF_INET, kind | SOCK_CLOEXEC, 0);
        const auto where = address_of(ip, port);
        const bool free =
            bind(made, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0;
        close(made);
        if (!free) {
            return false;
        }
    }
    return true;
}

inline int listen_at(const std::string& ip, int port, int* bound)
{
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto where = address_of(ip, port);
    if (bind(made, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 ||
        listen(made, 512) != 0) {
        close(made);
        return -1;
    }
    socklen_t length = sizeof where;
    getsockname(made, reinterpret_cast<sockaddr*>(&where), &length);
    if (bound != nullptr) {
        *bound = ntohs(where.sin_port);
    }
    return made;
}

inline int connect_to(const std::string& ip, int port, double seconds)
{
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto where = address_of(ip, port);
    if (connect(made, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 &&
        errno != EINPROGRESS) {
        close(made);
        return -1;
    }
    pollfd ready{made, POLLOUT, 0};
    int error = 0;
    socklen_t length = sizeof error;
    if (poll(&ready, 1, static_cast<int>(seconds * 1000)) != 1 ||
        getsockopt(made, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
        close(made);
        return -1;
    }
    fcntl(made, F_SETFL, fcntl(made, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return made;
}

inline bool send_all(int to, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(to, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct message {
    // Its first line and its fields, the names in lower case.
    std::string line;
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? "" : found->second;
    }
    [[nodiscard]] int status() const
    {
        return this->line.size() > 12 ? atoi(this->line.c_str() + 9) : 0;
    }
    [[nodiscard]] std::string word(int index) const
    {
        std::istringstream words(this->line);
        std::string found;
        for (int i = 0; i <= index; ++i) {
            words >> found;
        }
        return found;
    }
};

// Reads messages with a Content-Length from one connection.
class message_source {
public:
    explicit message_source(int from) : socket(from) {}

    // Nothing if the connection ends, or at the time limit.
    std::optional<message> next(double until)
    {
        std::size_t head = std::string::npos;
        while ((head = this->bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more(until)) {
                return std::nullopt;
            }
        }
        message made;
        std::istringstream lines(this->bytes.substr(0, head));
        std::string each;
        while (std::getline(lines, each)) {
            if (!each.empty() && each.back() == '\r') {
                each.pop_back();
            }
            if (made.line.empty()) {
                made.line = each;
                continue;
            }
            const auto colon = each.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto name = each.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            const auto value = each.find_first_not_of(' ', colon + 1);
            made.fields[name] = value == std::string::npos ? "" : each.substr(value);
        }
        const auto length = static_cast<std::size_t>(atol(made.field("content-length").c_str()));
        while (this->bytes.size() < head + 4 + length) {
            if (!this->more(until)) {
                return std::nullopt;
            }
        }
        made.body = this->bytes.substr(head + 4, length);
        this->bytes.erase(0, head + 4 + length);
        return made;
    }

    // Whether the peer ended the connection, and not the time limit the reading.
    bool ended = false;

private:
    bool more(double until)
    {
        pollfd ready{this->socket, POLLIN, 0};
        const double left = until - now();
        if (left <= 0 || poll(&ready, 1, static_cast<int>(left * 1000) + 1) != 1) {
            return false;
        }
        char buffer[65536];
        const auto count = recv(this->socket, buffer, sizeof buffer, 0);
        if (count <= 0) {
            this->ended = true;
            return false;
        }
        this->bytes.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int socket;
    std::string bytes;
};

// One request on a connection of its own.
inline std::optional<message> ask(const std::string& ip, int port, const std::string& request,
                                  double seconds, double connect_seconds = 1)
{
    const double until = now() + seconds;
    const int to = connect_to(ip, port, std::min(connect_seconds, seconds));
    if (to < 0) {
        return std::nullopt;
    }
    std::optional<message> answer;
    if (send_all(to, request)) {
        message_source from(to);
        answer = from.next(until);
        while (answer && answer->status() < 200) {
            answer = from.next(until);
        }
    }
    close(to);
    return answer;
}

// --- Backend servers ---------------------------------------------------------------------------

// What a backend server does with one request that it begins to run.
struct reply {
    int status = 200;
    double work_s = 0.02;
    // Resets the connection instead of answering.
    bool reset = false;
    // The process ends: all its connections are reset, and it listens no more.
    bool crash = false;
    bool not_executed = false;
};

class backend {
public:
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    std::string ip = "127.0.2.1";
    int port = 0;
    int slots = 8;
    std::int64_t born = 0;
    int sequence = 1;
    std::atomic<int> running{0};
    // Milliseconds for which it stays cold.
    std::function<long()> cold_ms = [] { return 0L; };
    std::function<reply(const message&, backend&)> run = [](const message&, backend&) {
        return reply{};
    };

    ~backend() { this->stop(); }

    bool start()
    {
        this->listener = listen_at(this->ip, this->port, &this->port);
        if (this->listener < 0) {
            return false;
        }
        this->born = unix_ms();
        this->ended = false;
        this->acceptor = std::thread([this] { this->accept_all(); });
        return true;
    }

    // Ends like a process that crashes: resets all connections.
    void stop()
    {
        this->ended = true;
        if (this->listener >= 0) {
            shutdown(this->listener, SHUT_RDWR);
        }
        if (this->acceptor.joinable() && this->acceptor.get_id() != std::this_thread::get_id()) {
            this->acceptor.join();
        }
        if (this->listener >= 0) {
            close(this->listener);
            this->listener = -1;
        }
        {
            const std::lock_guard hold(this->lock);
            for (const int each : this->open) {
                reset(each);
            }
        }
        while (this->threads > 0) {
            pause_s(0.002);
        }
    }

    [[nodiscard]] std::string registration(const std::string& state = "ready") const
    {
        return text("{\"address\":\"%s:%d\",\"born\":%lld,\"info\":{\"service\":\"%s\","
                    "\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},\"status\":{\"state\":\"%s\","
                    "\"sequence\":%d,\"cold_remaining_ms\":%ld}}",
                    this->ip.c_str(), this->port, static_cast<long long>(this->born),
                    this->service.c_str(), this->zone.c_str(), this->slots, state.c_str(),
                    this->sequence, this->cold_ms());
    }

    std::atomic<bool> ended{true};

private:
    static void reset(int socket)
    {
        const linger at_once{1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        // The thread of the connection closes it, which sends the reset.
        shutdown(socket, SHUT_RD);
    }

    void accept_all()
    {
        while (!this->ended) {
            pollfd ready{this->listener, POLLIN, 0};
            if (poll(&ready, 1, 50) != 1) {
                continue;
            }
            const int made = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (made < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard hold(this->lock);
                this->open.insert(made);
            }
            ++this->threads;
            std::thread([this, made] { this->serve(made); }).detach();
        }
    }

    void serve(int socket)
    {
        message_source from(socket);
        while (!this->ended) {
            const auto request = from.next(now() + 30);
            if (!request || this->ended || !this->answer(socket, *request)) {
                break;
            }
        }
        {
            const std::lock_guard hold(this->lock);
            this->open.erase(socket);
        }
        if (this->ended) {
            reset(socket);
        }
        close(socket);
        --this->threads;
    }

    bool answer(int socket, const message& request)
    {
        const auto load = text("X-Backend-Load: %d,0,%d\r\n", this->running.load(), this->slots);
        if (request.word(1) == "/health") {
            const long cold = this->cold_ms();
            return send_all(socket, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + this->id + "\r\n" + load +
                                        (cold > 0 ? text("X-Cold-Ms: %ld\r\n", cold) : "") +
                                        "Content-Length: 0\r\n\r\n");
        }
        const auto request_id = request.field("x-request-id");
        const auto head = "X-Request-Id: " + request_id + "\r\n" + load;
        if (request.field("x-expect-instance") != this->id) {
            return send_all(socket, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " +
                                        this->id + "\r\n" + head + "Content-Length: 0\r\n\r\n");
        }
        if (this->running >= this->slots) {
            note("turned away " + request_id + " by " + this->id);
            return send_all(socket, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" +
                                        head + "Content-Length: 0\r\n\r\n");
        }
        ++this->running;
        const auto what = this->run(request, *this);
        pause_s(what.work_s);
        --this->running;
        if (what.reset || this->ended) {
            reset(socket);
            return false;
        }
        const auto body = "body of " + request_id;
        return send_all(socket, text("HTTP/1.1 %d %s\r\n", what.status,
                                     what.status < 300 ? "OK" : "Failed") +
                                    head + (what.not_executed ? "X-Not-Executed: 1\r\n" : "") +
                                    "X-Server-Signature: s." + request_id + "\r\n" +
                                    text("Content-Length: %zu\r\n\r\n", body.size()) + body);
    }

    int listener = -1;
    std::thread acceptor;
    std::mutex lock;
    std::set<int> open;
    std::atomic<int> threads{0};
};

// --- The deployment ----------------------------------------------------------------------------

struct gateway {
    std::string name;
    std::string ip;
    child process;
    double started_at = 0;
};

struct deployment_options {
    int gateways = 3;
    // All zones in turn.
    std::vector<std::string> zones{"zone-a"};
    // Addresses of seeds where no gateway runs; the first three gateways otherwise.
    std::vector<std::string> seeds;
    double retry_slack = 56;
    int probes_per_second = 60;
};

class deployment {
public:
    explicit deployment(deployment_options chosen) : options(std::move(chosen))
    {
        char name[] = "/tmp/azureshore-review-XXXXXX";
        this->folder = mkdtemp(name);
        std::random_device seed;
        for (int attempt = 0; attempt < 200 && this->base_port == 0; ++attempt) {
            const int base = 20000 + static_cast<int>(seed() % 10000);
            bool free = true;
            for (int vm = 1; vm <= this->options.gateways && free; ++vm) {
                for (int each = 0; each < 5 && free; ++each) {
                    free = port_is_free(this->ip_of(vm), base + each);
                }
            }
            this->base_port = free ? base : 0;
        }
    }

    ~deployment()
    {
        for (auto& each : this->gateways) {
            each->process.end();
        }
        this->store_process.end();
        if (getenv("KEEP_LOGS") == nullptr) {
            const auto remove = "rm -rf '" + this->folder + "'";
            if (system(remove.c_str()) != 0) {
                note("the temporary folder stays");
            }
        }
        else {
            printf("logs in %s\n", this->folder.c_str());
        }
    }

    static std::string ip_of(int vm) { return "127.0.1." + std::to_string(vm); }
    [[nodiscard]] int callers_port() const { return this->base_port; }
    [[nodiscard]] int ready_port() const { return this->base_port + 1; }

    bool start_store()
    {
        const auto log = this->folder + "/store.log";
        this->store_process.start({"target/tools/standin/azureshore-standin", "store", "--listen",
                                   "127.0.0.1:0", "--writes-per-second", "400",
                                   "--reads-per-second", "2000"},
                                  log);
        for (int attempt = 0; attempt < 400; ++attempt) {
            std::ifstream file(log);
            std::string line;
            while (std::getline(file, line)) {
                const auto at = line.find("listening on ");
                const auto colon = line.rfind(':');
                if (at != std::string::npos && colon != std::string::npos) {
                    this->store_port = atoi(line.c_str() + colon + 1);
                    return this->store_port > 0;
                }
            }
            pause_s(0.01);
        }
        return false;
    }

    // Writes a record as operators and backend servers do; without a value the key is dropped.
    bool put(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value)
    {
        const auto body = value.value_or("");
        const auto answer =
            ask("127.0.0.1", this->store_port,
                std::string(value ? "PUT" : "DELETE") + " /standin/record?topic=" + topic +
                    "&key=" + key + " HTTP/1.1\r\nHost: store\r\n" +
                    text("Content-Length: %zu\r\n\r\n", body.size()) + body,
                2);
        return answer && answer->status() < 300;
    }

    bool enlist(backend& server, const std::string& state = "ready")
    {
        const bool done = this->put("keyed.servers", server.id, server.registration(state));
        ++server.sequence;
        return done;
    }

    void add_gateways(bool first_start)
    {
        for (int vm = 1; vm <= this->options.gateways; ++vm) {
            auto made = std::make_unique<gateway>();
            made->name = "front-" + std::to_string(vm);
            made->ip = ip_of(vm);
            this->gateways.push_back(std::move(made));
            this->start(*this->gateways.back(), first_start);
        }
    }

    // Writes what the template of the deploy file makes of the platform's fields.
    void write_settings(const gateway& which, bool first_start) const
    {
        const auto file = this->settings_file(which);
        const auto vm = atoi(which.name.c_str() + strlen("front-"));
        const auto zone = this->options.zones[static_cast<std::size_t>(vm - 1) %
                                              this->options.zones.size()];
        std::string seeds;
        if (this->options.seeds.empty()) {
            for (int each = 1; each <= std::min(3, this->options.gateways); ++each) {
                seeds += (seeds.empty() ? "\"" : ", \"") + ip_of(each) +
                         text(":%d\"", this->base_port + 4);
            }
        }
        for (const auto& each : this->options.seeds) {
            seeds += (seeds.empty() ? "\"" : ", \"") + each + text(":%d\"", this->base_port + 4);
        }
        std::ofstream(file)
            << "[vm]\nname = \"" << which.name << "\"\ndata_centre = \"" << zone << "\"\n[listen]\n"
            << text("callers = \"%s:%d\"\nready = \"%s:%d\"\npeers = \"%s:%d\"\n", which.ip.c_str(),
                    this->base_port, which.ip.c_str(), this->base_port + 1, which.ip.c_str(),
                    this->base_port + 2)
            << text("metrics = \"%s:%d\"\n", which.ip.c_str(), this->base_port + 3)
            << "[peers]\nseeds = [" << seeds
            << "]\nfirst_start = " << (first_start ? "true" : "false") << "\n[store]\n"
            << text("address = \"127.0.0.1:%d\"\n", this->store_port)
            << "[bounds]\napply_within = 2000\nstop_within = " << this->stop_within
            << "\nretry_ratio = 0.2\n"
            << text("retry_slack = %g\nprobes_per_second = %d\nretry_window = 10000\n",
                    this->options.retry_slack, this->options.probes_per_second)
            << "[limits]\nmemory = 260\n";
    }

    // Starts a gateway with the command of the deploy file.
    void start(gateway& which, bool first_start)
    {
        this->write_settings(which, first_start);
        which.process.start({"target/src/azureshored/azureshored", "--gateway", "--settings",
                             this->settings_file(which)},
                            this->folder + "/" + which.name + ".log");
        which.started_at = now();
        note("start " + which.name);
    }

    [[nodiscard]] std::string settings_file(const gateway& which) const
    {
        return this->folder + "/" + which.name + ".toml";
    }

    [[nodiscard]] bool is_ready(const gateway& which) const
    {
        const auto answer = ask(which.ip, this->ready_port(),
                                "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", 0.5, 0.2);
        return answer && answer->status() == 200;
    }

    bool wait_all_ready(double seconds)
    {
        const double until = now() + seconds;
        for (const auto& each : this->gateways) {
            while (!this->is_ready(*each)) {
                if (now() > until) {
                    return false;
                }
                pause_s(0.05);
            }
        }
        return true;
    }

    // "grace_period_s" of the platform with "000" after it, as the template has it.
    std::string stop_within = "6000";
    deployment_options options;
    std::string folder;
    int base_port = 0;
    int store_port = 0;
    child store_process;
    std::vector<std::unique_ptr<gateway>> gateways;
};

// One route and one service of a configuration.
struct service_plan {
    std::string name;
    std::string host;
    std::string prefix;
    bool safe = true;
    int timeout_ms = 1500;
    int target_ms = 600;
    int max_attempts = 2;
    double cold_start_s = 3;
    double cold_per_s = 2.9;
};

inline std::string configuration(int version, const std::vector<service_plan>& all)
{
    std::string listeners;
    std::string clusters;
    for (const auto& each : all) {
        listeners += text(
            "%s{\"host\":\"%s\",\"rule_set\":[{\"name\":\"r-%s\",\"kind\":\"%s\","
            "\"target_latency_ms\":%d,\"priority\":1,\"match_criteria\":{\"path_prefix\":\"%s\"},"
            "\"route_action\":{\"service\":\"%s\",\"timeout_ms\":%d,\"max_attempts\":%d}}]}",
            listeners.empty() ? "" : ",", each.host.c_str(), each.name.c_str(),
            each.safe ? "safe" : "unsafe", each.target_ms, each.prefix.c_str(), each.name.c_str(),
            each.timeout_ms, each.max_attempts);
        clusters += text("%s{\"name\":\"%s\",\"health_path\":\"/health\",\"max_connections\":220,"
                         "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":%g,\"cold_per_s\":%g}",
                         clusters.empty() ? "" : ",", each.name.c_str(), each.cold_start_s,
                         each.cold_per_s);
    }
    return text("{\"version\":\"%08x\",\"limits\":{\"max_header_bytes\":16384,"
                "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                "\"listeners\":[",
                version) +
           listeners + "],\"clusters\":[" + clusters + "]}";
}

inline std::string request_text(const std::string& method, const std::string& host,
                                const std::string& path, const std::string& id, int deadline_ms,
                                const std::string& body = "")
{
    auto made = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id +
                "\r\n" + text("X-Deadline-Ms: %d\r\n", deadline_ms);
    if (method != "GET") {
        made += text("Content-Length: %zu\r\n", body.size());
    }
    return made + "\r\n" + body;
}

// Runs a case: opens the record, ends with its verdict, and with 2 if it could not run.
inline int run_case(const char* folder, const std::function<int()>& body)
{
    signal(SIGPIPE, SIG_IGN);
    record_file file(std::string(folder) + "/record.txt");
    record = &file;
    int result = exit_not_run;
    try {
        result = body();
    }
    catch (const std::exception& error) {
        say(std::string("could not run: ") + error.what());
    }
    say(result == exit_held     ? "result: the rule held"
        : result == exit_broken ? "result: the rule was broken"
                                : "result: the case could not run");
    record = nullptr;
    return result;
}

} // namespace review
