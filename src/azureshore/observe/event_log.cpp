#include "azureshore/observe/event_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <string_view>
#include <utility>

namespace azureshore::observe {

event_sink descriptor_sink(int descriptor)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
    return [descriptor](std::string_view bytes) {
        const auto written = ::write(descriptor, bytes.data(), bytes.size());
        return written < 0 ? std::size_t{0} : static_cast<std::size_t>(written);
    };
}

event_log::event_log(event_log_settings bounds, event_sink to,
                     std::function<std::int64_t()> wall_clock)
    : settings(bounds), sink(std::move(to)), clock(std::move(wall_clock))
{
}

void event_log::write(time_point now, event_kind kind, const decision& event)
{
    if (now - this->second_began >= std::chrono::seconds(1)) {
        this->begin_second(now);
    }
    auto& count = this->lines.at(static_cast<std::size_t>(kind));
    if (count >= this->settings.lines_per_second ||
        this->waiting.size() >= this->settings.most_waiting) {
        ++this->dropped_now;
        ++this->total_dropped;
        return;
    }
    ++count;
    this->add_line(event);
    if (this->waiting.size() >= this->settings.write_at) {
        this->flush();
    }
}

void event_log::begin_second(time_point now)
{
    this->second_began = now;
    this->lines = {};
    if (this->dropped_now > 0) {
        this->add_line({"log_lines_dropped", {{"count", std::to_string(this->dropped_now)}}});
        this->dropped_now = 0;
    }
}

void event_log::add_line(const decision& event)
{
    this->waiting.append("time=").append(std::to_string(this->clock())).append(" event=");
    this->waiting.append(to_line(event)).append("\n");
}

void event_log::flush()
{
    if (!this->waiting.empty()) {
        this->waiting.erase(0, this->sink(this->waiting));
    }
}

} // namespace azureshore::observe
