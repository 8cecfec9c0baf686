#include "load_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>

namespace azureshore::load {

namespace {

constexpr int ok = 200;

// The text after details=" in Proxy-Status.
std::string cause_of(std::string_view proxy_status)
{
    constexpr std::string_view mark = "details=\"";
    const auto start = proxy_status.find(mark);
    if (start == std::string_view::npos) {
        return "unnamed";
    }
    const auto rest = proxy_status.substr(start + mark.size());
    return std::string(rest.substr(0, rest.find('"')));
}

double percentile(const std::vector<duration>& sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return to_milliseconds(sorted.at(static_cast<std::size_t>(last * share)));
}

template <class Key>
nlohmann::json counts_of(const std::map<Key, std::uint64_t>& counts)
{
    auto told = nlohmann::json::object();
    for (const auto& [key, count] : counts) {
        if constexpr (std::is_same_v<Key, int>) {
            told[std::to_string(key)] = count;
        }
        else {
            told[key] = count;
        }
    }
    return told;
}

} // namespace

void load_report::add(const net::http_result& result, const std::string& own)
{
    if (result.why != failure::none) {
        ++this->failures[std::string(to_string(result.why))];
        return;
    }
    ++this->statuses[result.status];
    if (result.status == ok) {
        this->latencies.push_back(result.elapsed);
        const bool whole = own.empty() || result.body.find(own) != std::string::npos;
        this->wrong_answers += whole ? 0 : 1;
        return;
    }
    const auto status = result.header("Proxy-Status");
    if (!status.empty()) {
        ++this->refusals[cause_of(status)];
    }
}

std::string to_json(const load_report& report)
{
    auto sorted = report.latencies;
    std::sort(sorted.begin(), sorted.end());
    const double seconds = std::chrono::duration<double>(report.length).count();
    const nlohmann::ordered_json told{
        {"sent", report.sent},
        {"answered", sorted.size()},
        {"per_second", seconds > 0 ? static_cast<double>(sorted.size()) / seconds : 0},
        {"p50_ms", percentile(sorted, 0.5)},
        {"p99_ms", percentile(sorted, 0.99)},
        {"p999_ms", percentile(sorted, 0.999)},
        {"max_ms", percentile(sorted, 1)},
        {"skipped", report.skipped},
        {"wrong_answers", report.wrong_answers},
        {"statuses", counts_of(report.statuses)},
        {"refusals", counts_of(report.refusals)},
        {"failures", counts_of(report.failures)},
    };
    return told.dump();
}

} // namespace azureshore::load
