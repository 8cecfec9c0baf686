#include "azureshore/observe/latency_histogram.hpp"

#include <algorithm>
#include <sstream>

namespace azureshore::observe {

namespace {

constexpr double milliseconds_per_second = 1000;

} // namespace

void latency_histogram::add(duration span)
{
    const auto bucket = std::lower_bound(
        bounds_ms.begin(), bounds_ms.end(), span,
        [](std::uint32_t bound, duration of) { return std::chrono::milliseconds(bound) < of; });
    ++this->counts.at(static_cast<std::size_t>(bucket - bounds_ms.begin()));
    this->sum += span;
}

void latency_histogram::write(std::string& out, const std::string& name,
                              const std::string& labels) const
{
    const std::string more = labels.empty() ? "" : labels + ',';
    const std::string all = labels.empty() ? "" : '{' + labels + '}';
    std::ostringstream text;
    std::uint64_t so_far = 0;
    for (std::size_t i = 0; i < bounds_ms.size(); ++i) {
        so_far += this->counts.at(i);
        text << name << "_bucket{" << more << "le=\"" << bounds_ms.at(i) / milliseconds_per_second
             << "\"} " << so_far << '\n';
    }
    so_far += this->counts.back();
    text << name << "_bucket{" << more << "le=\"+Inf\"} " << so_far << '\n'
         << name << "_sum" << all << ' ' << std::chrono::duration<double>(this->sum).count() << '\n'
         << name << "_count" << all << ' ' << so_far << '\n';
    out += text.str();
}

} // namespace azureshore::observe
