#include "outcomes/fake_log.hpp"

#include <algorithm>
#include <memory>

namespace azureshore::outcomes::testing {

duration fake_log::add_jitter(duration mean)
{
    return duration(static_cast<duration::rep>(static_cast<double>(mean.count()) *
                                               (0.5 + uniform(this->random))));
}

std::uint64_t fake_log::put(stream_state& stream, std::string bytes)
{
    stream.records.push_back({std::move(bytes), this->time.now()});
    const auto reads = std::exchange(stream.waiting_reads, {});
    for (const auto& each : reads) {
        this->reply(stream, each);
    }
    return stream.first + stream.records.size() - 1;
}

void fake_log::append(const std::string& stream_name, std::string bytes,
                      const std::function<void(platform::append_result)>& done)
{
    using platform::append_outcome;
    ++this->appends;
    auto& stream = this->streams[stream_name];
    const auto request_time = this->add_jitter(this->faults.append_time) / 2;
    const auto response_time = this->add_jitter(this->faults.append_time) / 2;
    if (this->unavailable || this->chance(this->faults.refused_append)) {
        // An outage may also lose the response.
        const auto outcome = this->chance(0.5) ? append_outcome::refused : append_outcome::unknown;
        this->time.after(request_time + response_time, [done, outcome] { done({outcome, 0}); });
        return;
    }
    if (this->chance(this->faults.lost_append)) {
        this->time.after(request_time + response_time, [done] {
            done({append_outcome::unknown, 0});
        });
        return;
    }
    const bool late = this->chance(this->faults.late_effect);
    const bool lost = late || this->chance(this->faults.lost_acknowledgement);
    const auto put_delay =
        late ? request_time + this->add_jitter(std::chrono::milliseconds(800)) : request_time;
    auto offset = std::make_shared<std::uint64_t>(0);
    this->time.after(put_delay, [this, &stream, offset, record_bytes = std::move(bytes)]() mutable {
        *offset = this->put(stream, std::move(record_bytes));
    });
    this->time.after(request_time + response_time, [done, lost, offset] {
        done(lost ? platform::append_result{append_outcome::unknown, 0}
                  : platform::append_result{append_outcome::accepted, *offset});
    });
}

void fake_log::read(const std::string& stream_name, std::uint64_t from, duration wait,
                    std::function<void(platform::read_result)> done)
{
    if (this->unavailable) {
        this->time.after(this->faults.read_time, [done] { done({}); });
        return;
    }
    auto& stream = this->streams[stream_name];
    while (!stream.records.empty() &&
           stream.records.front().appended_at + this->faults.retention < this->time.now()) {
        stream.records.pop_front();
        ++stream.first;
    }
    const waiting_read read{++this->last_read, from, std::move(done)};
    if (from < stream.first + stream.records.size()) {
        this->reply(stream, read);
        return;
    }
    stream.waiting_reads.push_back(read);
    this->time.after(wait, [this, &stream, number = read.number] {
        const auto it = std::find_if(stream.waiting_reads.begin(), stream.waiting_reads.end(),
                                     [&](const auto& each) { return each.number == number; });
        if (it != stream.waiting_reads.end()) {
            const auto waiting = std::move(*it);
            stream.waiting_reads.erase(it);
            this->reply(stream, waiting);
        }
    });
}

void fake_log::reply(stream_state& stream, const waiting_read& read)
{
    platform::read_result result;
    if (this->unavailable) {
        this->time.after(this->faults.read_time, [done = read.done, result] { done(result); });
        return;
    }
    result.first_offset = stream.first;
    auto end = stream.first + stream.records.size();
    if (end > stream.first && this->chance(this->faults.stale_read)) {
        end -= 1 + uniform_index(this->random, stream.records.size());
    }
    result.next_offset = end;
    result.outcome =
        read.from < stream.first ? platform::read_outcome::expired : platform::read_outcome::ok;
    for (auto offset = std::max(read.from, stream.first);
         offset < end && result.outcome == platform::read_outcome::ok; ++offset) {
        result.records.push_back({offset, stream.records[offset - stream.first].bytes});
    }
    this->time.after(this->add_jitter(this->faults.read_time),
                     [done = read.done, result] { done(result); });
}

} // namespace azureshore::outcomes::testing
