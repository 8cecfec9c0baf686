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

void latency_histogram::write(std::string& out, const std::string& name, const labels& of) const
{
    std::ostringstream text;
    std::uint64_t so_far = 0;
    const auto write_bucket = [&](const std::string& bound, std::uint64_t count) {
        so_far += count;
        auto with_bound = of;
        with_bound.push_back({"le", bound});
        text << name << "_bucket" << written(with_bound) << ' ' << so_far << '\n';
    };
    for (std::size_t i = 0; i < bounds_ms.size(); ++i) {
        std::ostringstream seconds;
        seconds << bounds_ms.at(i) / milliseconds_per_second;
        write_bucket(seconds.str(), this->counts.at(i));
    }
    write_bucket("+Inf", this->counts.back());
    text << name << "_sum" << written(of) << ' ' << std::chrono::duration<double>(this->sum).count()
         << '\n'
         << name << "_count" << written(of) << ' ' << so_far << '\n';
    out += text.str();
}

} // namespace azureshore::observe
