#include "backend_server.hpp"

#include "azureshore/net/field_text.hpp"
#include "backend_switches.hpp"
#include "http_tools.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace azureshore::standin {

namespace {

constexpr int ok = 200;
constexpr int internal_error = 500;
constexpr int unavailable = 503;
constexpr int bad_request = 400;
constexpr double collapse_factor = 10;
constexpr double longest_draw = 100;
constexpr duration no_deadline = std::chrono::minutes(5);
constexpr std::string_view crash_mark = "/crash";

duration time_left(const net::http_call& call)
{
    const auto given = net::parse_number(call.header("Azureshore-Deadline-Ms"));
    return given ? std::min<duration>(std::chrono::milliseconds(*given), no_deadline) : no_deadline;
}

bool marked_to_crash(const net::http_call& call)
{
    return !call.header("Azureshore-Standin-Crash").empty() ||
           call.target.find(crash_mark) != std::string::npos;
}

std::uint64_t most(const std::map<std::string, std::uint64_t>& counts)
{
    std::uint64_t found = 0;
    for (const auto& [name, count] : counts) {
        found = std::max(found, count);
    }
    return found;
}

bool take_one(std::int64_t& left)
{
    return left > 0 && left-- > 0;
}

} // namespace

backend_server::backend_server(backend_plan given, delay_function delay, exit_function on_crash)
    : plan(std::move(given)), after(std::move(delay)), crash(std::move(on_crash)),
      random(seeded_random(this->plan.seed)), cold(this->plan.warm_after > 0)
{
    if (this->plan.instance.empty()) {
        this->plan.instance = this->plan.name + "-1";
    }
}

void backend_server::handle(const net::http_call& call, const net::responder& respond)
{
    const std::scoped_lock guard(this->lock);
    const auto path = split_target(call.target).path;
    if (path == "/azureshore/load") {
        this->tell_load(respond);
    }
    else if (path == "/standin/runs") {
        this->tell_runs(respond);
    }
    else if (path == "/standin/faults") {
        this->set_faults(call, respond);
    }
    else {
        this->take_in(call, respond);
    }
}

bool backend_server::refuses(const net::http_call& call) const
{
    const bool full = this->present() >= this->plan.connections;
    const bool busy = this->present() >= this->plan.slots;
    return this->faults.drain || full || (this->faults.shed && busy) ||
           time_left(call) <= duration::zero();
}

void backend_server::take_in(const net::http_call& call, const net::responder& respond)
{
    if (this->refuses(call)) {
        respond(this->refusal_for(call));
        return;
    }
    if (this->faults.fail) {
        ++this->counts.runs;
        ++this->counts.by_attempt[std::string(call.header("Azureshore-Attempt"))];
        respond(this->answer_for(call, internal_error));
        return;
    }
    this->waiting.push_back({call, respond, steady_now() + time_left(call), ++this->last_job});
    const std::uint64_t at_once = this->present();
    this->counts.most_at_once = std::max(this->counts.most_at_once, at_once);
    if (this->cold) {
        this->counts.most_at_once_cold = std::max(this->counts.most_at_once_cold, at_once);
        this->counts.collapses += at_once > this->plan.cold_window ? 1 : 0;
    }
    this->start_waiting();
    this->note_load();
}

void backend_server::start_waiting()
{
    while (!this->waiting.empty() && this->running.size() < this->plan.slots) {
        auto next = std::move(this->waiting.front());
        this->waiting.pop_front();
        if (steady_now() >= next.deadline) {
            next.respond(this->refusal_for(next.call));
            continue;
        }
        this->run(std::move(next));
    }
}

void backend_server::run(job started)
{
    ++this->counts.runs;
    ++this->counts.by_attempt[std::string(started.call.header("Azureshore-Attempt"))];
    const auto key = started.call.header("Idempotency-Key");
    if (!key.empty()) {
        ++this->counts.by_key[std::string(key)];
    }
    if (marked_to_crash(started.call)) {
        this->crash();
    }
    const auto call = started.call.number;
    const auto number = started.number;
    this->running.insert_or_assign(call, std::move(started));
    this->after(this->draw_time(), [this, call, number] {
        const std::scoped_lock guard(this->lock);
        this->finish(call, number);
    });
}

void backend_server::finish(net::call_number call, std::uint64_t number)
{
    const auto found = this->running.find(call);
    if (found == this->running.end() || found->second.number != number) {
        return;
    }
    const job done = std::move(found->second);
    this->running.erase(found);
    if (this->cold && ++this->finished_cold >= this->plan.warm_after) {
        this->set_cold(false);
    }
    this->reply(done);
    this->start_waiting();
    this->note_load();
}

void backend_server::reply(const job& done)
{
    if (take_one(this->faults.silent)) {
        return;
    }
    auto answer = this->answer_for(done.call, ok);
    answer.body = this->plan.name + ' ' + done.call.method + ' ' + done.call.target;
    if (!done.call.body.empty()) {
        answer.body += '\n' + done.call.body;
    }
    if (take_one(this->faults.reset)) {
        answer.fault = net::answer_fault::dropped;
    }
    else if (take_one(this->faults.cut)) {
        answer.fault = net::answer_fault::cut;
    }
    else if (take_one(this->faults.crossed)) {
        answer.headers.front().value += "-of-another";
    }
    if (this->faults.late > duration::zero()) {
        this->after(this->faults.late, [respond = done.respond, answer] { respond(answer); });
        return;
    }
    done.respond(std::move(answer));
}

void backend_server::gone(net::call_number call)
{
    const std::scoped_lock guard(this->lock);
    const auto waited =
        std::erase_if(this->waiting, [&](const job& each) { return each.call.number == call; });
    this->counts.cancelled += waited + this->running.erase(call);
    this->start_waiting();
    this->note_load();
}

// A log-normal time of the planned mean; a collapsed server takes many times longer.
duration backend_server::draw_time()
{
    const double first = std::max(uniform(this->random), 1e-12);
    const double second = uniform(this->random);
    const double normal = std::sqrt(-2 * std::log(first)) * std::cos(2 * std::numbers::pi * second);
    const double spread = this->plan.spread;
    const double drawn = std::min(longest_draw, std::exp(spread * normal - spread * spread / 2));
    const bool collapsed = this->cold && this->present() > this->plan.cold_window;
    const double factor = drawn * this->faults.slow * (collapsed ? collapse_factor : 1);
    return std::chrono::duration_cast<duration>(this->plan.mean_time * factor);
}

std::size_t backend_server::present() const
{
    return this->running.size() + this->waiting.size();
}

void backend_server::set_cold(bool now_cold)
{
    this->cold = now_cold;
    this->finished_cold = 0;
}

// Tells the number of running requests, at once or as late as the fault says.
void backend_server::note_load()
{
    const auto running_now = static_cast<std::int64_t>(this->present());
    if (this->faults.load_lag <= duration::zero()) {
        this->told_running = running_now;
        return;
    }
    this->after(this->faults.load_lag, [this, running_now] {
        const std::scoped_lock guard(this->lock);
        this->told_running = running_now;
    });
}

std::string backend_server::load_text() const
{
    const auto told = this->faults.load_lie >= 0 ? this->faults.load_lie : this->told_running;
    return "running=" + std::to_string(told) + ", slots=" + std::to_string(this->plan.slots);
}

net::http_answer backend_server::answer_for(const net::http_call& call, int status) const
{
    net::http_answer answer;
    answer.status = status;
    answer.headers = {{"Azureshore-Attempt", std::string(call.header("Azureshore-Attempt"))},
                      {"Azureshore-Instance", this->plan.instance},
                      {"Azureshore-Load", this->load_text()}};
    return answer;
}

net::http_answer backend_server::refusal_for(const net::http_call& call)
{
    ++this->counts.refused;
    auto answer = this->answer_for(call, unavailable);
    answer.headers.push_back({"Azureshore-Run", "not-run"});
    return answer;
}

void backend_server::tell_load(const net::responder& respond)
{
    respond(this->answer_for({}, this->faults.health));
}

void backend_server::tell_runs(const net::responder& respond) const
{
    const nlohmann::json told{{"runs", this->counts.runs},
                              {"refused", this->counts.refused},
                              {"cancelled", this->counts.cancelled},
                              {"collapses", this->counts.collapses},
                              {"cold", this->cold},
                              {"instance", this->plan.instance},
                              {"most_at_once", this->counts.most_at_once},
                              {"most_at_once_cold", this->counts.most_at_once_cold},
                              {"most_by_attempt", most(this->counts.by_attempt)},
                              {"most_by_key", most(this->counts.by_key)},
                              {"by_attempt", this->counts.by_attempt},
                              {"by_key", this->counts.by_key}};
    respond(json_answer(ok, told.dump()));
}

void backend_server::set_faults(const net::http_call& call, const net::responder& respond)
{
    const auto switches = read_switches(call, this->faults);
    if (!switches) {
        respond(json_answer(bad_request, R"({"error":"an unknown switch or a wrong value"})"));
        return;
    }
    this->faults = switches->faults;
    if (switches->restart) {
        ++this->restarts;
        this->plan.instance = this->plan.name + '-' + std::to_string(this->restarts + 1);
    }
    if (switches->cold) {
        this->set_cold(*switches->cold);
    }
    respond(json_answer(ok, "{}"));
}

} // namespace azureshore::standin
