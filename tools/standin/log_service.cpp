#include "log_service.hpp"

#include "http_tools.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <utility>

namespace azureshore::standin {

namespace {

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_not_found = 404;
constexpr int status_gone = 410;
constexpr int status_too_many = 429;
constexpr int status_error = 500;
constexpr int status_unavailable = 503;
constexpr std::size_t max_records_per_read = 2'000;
constexpr std::string_view streams_prefix = "/streams/";
constexpr std::string_view records_suffix = "/records";

net::http_answer not_written(int status)
{
    return {status, {{"Log-Written", "no"}}, "", false};
}

std::string stream_name(const std::string& path)
{
    const bool fits = path.starts_with(streams_prefix) && path.ends_with(records_suffix) &&
                      path.size() > streams_prefix.size() + records_suffix.size();
    if (!fits) {
        return {};
    }
    const auto length = path.size() - streams_prefix.size() - records_suffix.size();
    return path.substr(streams_prefix.size(), length);
}

} // namespace

log_service::log_service(log_limits bounds, delay_function delay)
    : limits(bounds), after(std::move(delay)),
      appends(static_cast<double>(bounds.appends_per_second))
{
}

void log_service::handle(const net::http_call& call, net::responder respond)
{
    const auto parts = split_target(call.target);
    if (parts.path == "/standin/faults") {
        this->set_faults(call, respond);
        return;
    }
    const auto name = stream_name(parts.path);
    if (name.empty()) {
        respond(not_written(status_not_found));
        return;
    }
    {
        const std::lock_guard hold(this->lock);
        if (this->faults.silent) {
            return;
        }
        respond = held_back(std::move(respond), this->faults.slow, this->after);
        if (this->faults.outage) {
            respond(not_written(status_unavailable));
            return;
        }
    }
    if (call.method == "POST") {
        this->append(name, call.body, respond);
        return;
    }
    const auto from = static_cast<std::uint64_t>(parts.number("from", 0));
    const auto wait = std::chrono::milliseconds(parts.number("wait_ms", 0));
    this->read(name, from, wait, std::move(respond));
}

void log_service::append(const std::string& name, const std::string& bytes,
                         const net::responder& respond)
{
    std::vector<std::function<void()>> woken;
    net::http_answer answer;
    {
        const std::lock_guard hold(this->lock);
        const auto now = steady_now();
        if (!this->appends.take(now)) {
            answer = not_written(status_too_many);
        }
        else {
            auto& into = this->streams[name];
            const auto offset = into.next();
            into.records.push_back({now, bytes});
            this->expire(into, now);
            woken = this->wake(name);
            answer = {status_created, {{"Log-Offset", std::to_string(offset)}}, "", false};
            if (this->faults.lost_acks > 0) {
                --this->faults.lost_acks;
                answer = {status_error, {}, "", false};
            }
        }
    }
    respond(answer);
    for (const auto& each : woken) {
        each();
    }
}

void log_service::expire(stream& of, time_point now)
{
    while (!of.records.empty() && (of.records.size() > this->limits.retained_records ||
                                   now - of.records.front().when > this->limits.retained_for)) {
        of.records.pop_front();
        ++of.first;
    }
}

net::http_answer log_service::records_answer(stream& of, std::uint64_t from)
{
    this->expire(of, steady_now());
    const auto hidden = std::min<std::uint64_t>(this->faults.stale_records, of.records.size());
    const auto next = of.next() - hidden;
    net::http_answer answer;
    answer.headers = {{"Log-First-Offset", std::to_string(of.first)},
                      {"Log-Next-Offset", std::to_string(next)}};
    if (from < of.first) {
        answer.status = status_gone;
        return answer;
    }
    std::vector<std::pair<std::uint64_t, std::string>> records;
    for (auto offset = from; offset < next && records.size() < max_records_per_read; ++offset) {
        records.emplace_back(offset, of.records[offset - of.first].bytes);
    }
    msgpack::sbuffer body;
    msgpack::pack(body, records);
    answer.status = status_ok;
    answer.headers.push_back({"Content-Type", "application/msgpack"});
    answer.body.assign(body.data(), body.size());
    return answer;
}

void log_service::read(const std::string& name, std::uint64_t from, duration wait,
                       net::responder respond)
{
    net::http_answer answer;
    {
        const std::lock_guard hold(this->lock);
        auto& of = this->streams[name];
        const auto visible =
            of.next() - std::min<std::uint64_t>(this->faults.stale_records, of.records.size());
        if (wait > duration::zero() && from >= visible) {
            const auto id = this->waiters.add(name, from, std::move(respond));
            this->after(wait, [this, id] { this->end_wait(id); });
            return;
        }
        answer = this->records_answer(of, from);
    }
    respond(answer);
}

std::vector<std::function<void()>> log_service::wake(const std::string& name)
{
    std::vector<std::function<void()>> woken;
    if (this->faults.stale_records > 0) {
        return woken;
    }
    for (auto& each : this->waiters.take_all(name)) {
        woken.emplace_back(
            [respond = std::move(each.respond),
             answer = this->records_answer(this->streams[name], each.from)] { respond(answer); });
    }
    return woken;
}

void log_service::end_wait(std::uint64_t id)
{
    std::optional<waiting_read> ended;
    net::http_answer answer;
    {
        const std::lock_guard hold(this->lock);
        ended = this->waiters.take(id);
        if (!ended) {
            return;
        }
        answer = this->faults.outage
                     ? not_written(status_unavailable)
                     : this->records_answer(this->streams[ended->name], ended->from);
    }
    ended->respond(answer);
}

void log_service::set_faults(const net::http_call& call, const net::responder& respond)
{
    const auto parts = split_target(call.target);
    {
        const std::lock_guard hold(this->lock);
        auto& now = this->faults;
        now.outage = parts.number("outage", now.outage ? 1 : 0) != 0;
        now.silent = parts.number("silent", now.silent ? 1 : 0) != 0;
        const auto slow = std::chrono::duration_cast<std::chrono::milliseconds>(now.slow);
        now.slow = std::chrono::milliseconds(parts.number("slow_ms", slow.count()));
        now.lost_acks = parts.number("lost_acks", now.lost_acks);
        const auto stale = static_cast<std::int64_t>(now.stale_records);
        now.stale_records = static_cast<std::uint64_t>(parts.number("stale_records", stale));
    }
    respond(json_answer(status_ok, "{}"));
}

} // namespace azureshore::standin
