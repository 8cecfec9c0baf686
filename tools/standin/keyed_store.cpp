#include "keyed_store.hpp"

#include "azureshore/core/big_endian.hpp"
#include "http_tools.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace azureshore::standin {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad = 400;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_gone = 410;
constexpr int status_changed = 412;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

// The platform's limits of one call.
constexpr std::size_t items_per_page = 500;
constexpr std::size_t bytes_per_read = 1024UL * 1024UL;
constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;
constexpr auto longest_wait = std::chrono::milliseconds(30'000);

std::string content_of(const std::string& key, const std::optional<std::string>& value)
{
    return std::string(1, static_cast<char>(key.size())) + key + value.value_or("");
}

bool written_by_others(const std::string& topic)
{
    return topic == "keyed.op" || topic == "keyed.servers";
}

} // namespace

keyed_store::keyed_store(store_limits bounds, delay_function delay)
    : limits(bounds), after(std::move(delay)), writes(bounds.writes_per_second),
      reads(bounds.reads_per_second)
{
}

std::uint64_t keyed_store::topic_state::first_offset() const
{
    return this->history.empty() ? this->next_offset : this->history.front().offset;
}

void keyed_store::set_faults(const store_faults& now)
{
    const std::lock_guard hold(this->lock);
    this->faults = now;
}

std::optional<net::http_answer> keyed_store::turned_away(bool writes_something)
{
    if (this->faults.outage) {
        return json_answer(status_unavailable, "{}");
    }
    if (!(writes_something ? this->writes : this->reads).take(steady_now())) {
        return json_answer(status_too_many, "{}");
    }
    return std::nullopt;
}

net::http_answer keyed_store::with_era(net::http_answer answer) const
{
    answer.headers.push_back({"Store-Era", std::to_string(this->era)});
    return answer;
}

void keyed_store::handle(const net::http_call& call, net::responder respond)
{
    const auto path = split_target(call.target).path;
    if (path.starts_with("/standin/")) {
        this->control(path, call, respond);
        return;
    }
    std::optional<net::http_answer> answer;
    pending_answers woken;
    {
        const std::lock_guard hold(this->lock);
        if (this->faults.silent) {
            return;
        }
        respond = held_back(std::move(respond), this->faults.slow, this->after);
        answer = this->turned_away(call.method == "POST");
        if (!answer) {
            answer = this->serve(path, call, respond, woken);
        }
        if (answer) {
            answer = this->with_era(std::move(*answer));
        }
    }
    if (answer) {
        respond(std::move(*answer));
    }
    for (const auto& each : woken) {
        each();
    }
}

std::optional<net::http_answer> keyed_store::serve(const std::string& path,
                                                   const net::http_call& call,
                                                   const net::responder& respond,
                                                   pending_answers& woken)
{
    if (path == "/log-append") {
        return this->append(call, woken);
    }
    if (path == "/log-read") {
        return this->read(call, respond);
    }
    if (path == "/log-newest") {
        return this->newest(call);
    }
    return json_answer(status_not_found, "{}");
}

// What operators, backend servers and tests do: PUT /standin/record?topic=T&key=K with the value,
// DELETE to drop a key, POST /standin/faults?outage=1&silent=0&slow_ms=5,
// POST /standin/compact?topic=T, POST /standin/backup and POST /standin/restore.
void keyed_store::control(const std::string& path, const net::http_call& call,
                          const net::responder& respond)
{
    auto parts = split_target(call.target);
    if (path == "/standin/record") {
        this->put(parts.query["topic"], parts.query["key"],
                  call.method == "DELETE" ? std::nullopt : std::optional<std::string>(call.body));
    }
    else if (path == "/standin/compact") {
        this->compact(parts.query["topic"]);
    }
    else if (path == "/standin/backup") {
        this->take_backup();
    }
    else if (path == "/standin/restore") {
        this->restore_backup();
    }
    else if (path == "/standin/faults") {
        store_faults now;
        now.outage = parts.number("outage", 0) != 0;
        now.silent = parts.number("silent", 0) != 0;
        now.slow = std::chrono::milliseconds(parts.number("slow_ms", 0));
        now.lost_answers = parts.number("lost_answers", 0);
        now.late_appends = parts.number("late_appends", 0);
        this->set_faults(now);
    }
    else {
        respond(json_answer(status_not_found, "{}"));
        return;
    }
    respond(json_answer(status_ok, "{}"));
}

std::optional<net::http_answer> keyed_store::append(const net::http_call& call,
                                                    pending_answers& woken)
{
    auto parts = split_target(call.target);
    const auto name = parts.query["topic"];
    if (written_by_others(name)) {
        return json_answer(status_forbidden, "{}");
    }
    std::vector<record> records;
    std::string_view rest = call.body;
    while (rest.size() >= length_bytes) {
        const auto length = from_big_endian(rest.substr(0, length_bytes));
        const auto content = rest.substr(length_bytes, length);
        const std::size_t key_length =
            content.empty() ? 0 : static_cast<unsigned char>(content.front());
        if (content.size() != length || content.size() < 1 + key_length) {
            break;
        }
        record made;
        made.key = content.substr(1, key_length);
        if (content.size() > 1 + key_length) {
            made.value = content.substr(1 + key_length);
        }
        records.push_back(std::move(made));
        rest.remove_prefix(length_bytes + length);
    }
    if (!rest.empty() || records.empty()) {
        return json_answer(status_bad, "{}");
    }
    if (this->faults.late_appends > 0) {
        --this->faults.late_appends;
        this->after(this->faults.late_by, [this, name, records] {
            for (const auto& each : records) {
                this->put(name, each.key, each.value);
            }
        });
        return std::nullopt;
    }
    auto& of = this->topics[name];
    const auto end = static_cast<std::int64_t>(of.next_offset);
    const auto first = of.next_offset;
    std::optional<net::http_answer> answer;
    if (parts.number("at", end) == end) {
        for (auto& each : records) {
            auto some = this->add(name, std::move(each));
            woken.insert(woken.end(), some.begin(), some.end());
        }
        answer = json_answer(
            status_ok, nlohmann::json{{"offset", first}, {"end_offset", of.next_offset}}.dump());
    }
    else {
        answer = json_answer(status_changed, nlohmann::json{{"end_offset", end}}.dump());
    }
    if (this->faults.lost_answers > 0) {
        --this->faults.lost_answers;
        answer.reset();
    }
    return answer;
}

keyed_store::pending_answers keyed_store::add(const std::string& topic, record entry)
{
    auto& of = this->topics[topic];
    entry.offset = of.next_offset++;
    if (entry.value) {
        of.newest[entry.key] = entry;
    }
    else {
        of.newest.erase(entry.key);
    }
    of.history.push_back(std::move(entry));
    while (of.history.size() > this->limits.retained_records) {
        of.history.pop_front();
    }
    pending_answers woken;
    if (this->faults.sleepy) {
        return woken;
    }
    for (auto& each : this->waiters.take_all(topic)) {
        woken.emplace_back(
            [respond = std::move(each.respond),
             answer = this->with_era(this->records_answer(of, each.from))] { respond(answer); });
    }
    return woken;
}

net::http_answer keyed_store::records_answer(const topic_state& of, std::uint64_t from) const
{
    // An offset beyond the end was assigned before a restore.
    if (from < of.first_offset() || from > of.next_offset) {
        return json_answer(status_gone, nlohmann::json{{"first_offset", of.first_offset()}}.dump());
    }
    net::http_answer answer;
    answer.body = to_big_endian(of.next_offset, offset_bytes) +
                  to_big_endian(of.first_offset(), offset_bytes);
    for (const auto& each : of.history) {
        if (each.offset >= from && answer.body.size() < bytes_per_read) {
            const auto content = content_of(each.key, each.value);
            answer.body += to_big_endian(content.size(), length_bytes) + content;
        }
    }
    return answer;
}

std::optional<net::http_answer> keyed_store::read(const net::http_call& call,
                                                  const net::responder& respond)
{
    auto parts = split_target(call.target);
    const auto name = parts.query["topic"];
    const auto from = static_cast<std::uint64_t>(parts.number("from", 0));
    const auto wait = std::chrono::milliseconds(parts.number("wait_ms", 0));
    if (wait > longest_wait) {
        return json_answer(status_bad, "{}");
    }
    const auto& of = this->topics[name];
    if (from == of.next_offset && wait > std::chrono::milliseconds(0)) {
        const auto id = this->waiters.add(name, from, respond);
        this->after(wait, [this, id] { this->end_wait(id); });
        return std::nullopt;
    }
    return this->records_answer(of, from);
}

void keyed_store::end_wait(std::uint64_t id)
{
    std::optional<waiting_read> ended;
    net::http_answer answer;
    {
        const std::lock_guard hold(this->lock);
        ended = this->waiters.take(id);
        if (!ended) {
            return;
        }
        answer = this->with_era(this->faults.outage
                                    ? json_answer(status_unavailable, "{}")
                                    : this->records_answer(this->topics[ended->name], ended->from));
    }
    ended->respond(std::move(answer));
}

net::http_answer keyed_store::newest(const net::http_call& call)
{
    auto parts = split_target(call.target);
    const auto name = parts.query["topic"];
    nlohmann::json page{{"items", nlohmann::json::array()}, {"more", false}};
    const auto& of = this->topics[name];
    auto next = parts.query.count("after") > 0 ? of.newest.upper_bound(parts.query["after"])
                                               : of.newest.begin();
    for (; next != of.newest.end() && page["items"].size() < items_per_page; ++next) {
        page["items"].push_back({{"key", next->first},
                                 {"value", absl::Base64Escape(next->second.value.value_or(""))},
                                 {"offset", next->second.offset}});
    }
    page["more"] = next != of.newest.end();
    page["end_offset"] = of.next_offset;
    return json_answer(status_ok, page.dump());
}

void keyed_store::put(const std::string& topic, const std::string& key,
                      std::optional<std::string> value)
{
    pending_answers woken;
    {
        const std::lock_guard hold(this->lock);
        woken = this->add(topic, {0, key, std::move(value)});
    }
    for (const auto& each : woken) {
        each();
    }
}

void keyed_store::compact(const std::string& topic)
{
    const std::lock_guard hold(this->lock);
    auto& of = this->topics[topic];
    std::erase_if(of.history,
                  [&of](const record& each) { return each.offset + 1 < of.next_offset; });
}

void keyed_store::take_backup()
{
    const std::lock_guard hold(this->lock);
    this->backup = this->topics;
}

void keyed_store::restore_backup()
{
    std::vector<waiting_read> ended;
    net::http_answer answer;
    {
        const std::lock_guard hold(this->lock);
        this->topics = this->backup;
        ++this->era;
        ended = this->waiters.take_all();
        // Records written from now on are not those that these reads wait for.
        answer = this->with_era(json_answer(status_unavailable, "{}"));
    }
    for (const auto& each : ended) {
        each.respond(answer);
    }
}

} // namespace azureshore::standin
