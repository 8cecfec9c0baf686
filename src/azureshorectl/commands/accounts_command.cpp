// The command that sums up client accounts from the metrics pages of gateways: accounts.

#include "azureshorectl/commands/command.hpp"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <ostream>
#include <sstream>
#include <string_view>
#include <utility>

namespace azureshore::ctl {

namespace {

constexpr std::size_t most_pages = 10'000;
constexpr std::string_view requests_series = "azureshore_account_requests_total{";
constexpr std::string_view rate_series = "azureshore_account_quota_rate{";
constexpr std::string_view burst_series = "azureshore_account_quota_burst{";
constexpr std::string_view listed_series = "azureshore_accounts_listed ";

struct account_use {
    double rate = 0;
    double burst = 0;
    double requests = 0;
    double answered = 0;
    double quota_exceeded = 0;
    double quota_unavailable = 0;
};

// What the pages of all gateways tell.
struct account_summary {
    std::map<std::string, account_use> uses;
    // The accounts of the longest list that a gateway has; without a value, none has a list.
    std::optional<double> listed;
};

struct series_value {
    std::string account;
    std::string outcome;
    double value = 0;
};

std::string label(std::string_view line, std::string_view name)
{
    const auto begin_text = fmt::format("{}=\"", name);
    const auto at = line.find(begin_text);
    if (at == std::string_view::npos) {
        return {};
    }
    const auto begin = at + begin_text.size();
    return std::string(line.substr(begin, line.find('"', begin) - begin));
}

std::optional<series_value> parse_series(std::string_view line, std::string_view series)
{
    if (!line.starts_with(series)) {
        return std::nullopt;
    }
    series_value made{label(line, "account"), label(line, "outcome")};
    if (!absl::SimpleAtod(std::string(line.substr(line.rfind(' ') + 1)), &made.value)) {
        return std::nullopt;
    }
    return made;
}

// Adds the series of one gateway's page. Quotas are those of the deployment, so the latest page
// counts, and requests add up.
void add_page(const std::string& page, account_summary& to)
{
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        if (const auto rate = parse_series(line, rate_series)) {
            to.uses[rate->account].rate = rate->value;
        }
        else if (const auto burst = parse_series(line, burst_series)) {
            to.uses[burst->account].burst = burst->value;
        }
        else if (const auto requests = parse_series(line, requests_series)) {
            auto& use = to.uses[requests->account];
            use.requests += requests->value;
            use.answered += requests->outcome == "answered" ? requests->value : 0;
            use.quota_exceeded += requests->outcome == "quota_exceeded" ? requests->value : 0;
            use.quota_unavailable += requests->outcome == "quota_unavailable" ? requests->value : 0;
        }
        else if (const auto listed = parse_series(line, listed_series)) {
            to.listed = std::max(to.listed.value_or(0), listed->value);
        }
    }
}

exit_status accounts(environment& world, const options& given)
{
    account_summary all;
    for (const auto& path : given.arguments) {
        const auto page = world.read_file(path);
        if (!page.ok()) {
            *world.err << path << ": " << page.status().message() << '\n';
            return exit_status::failed;
        }
        add_page(*page, all);
    }
    if (all.uses.empty() && !all.listed) {
        *world.err << "no page tells of client accounts\n";
        return exit_status::failed;
    }
    if (all.listed == 0) {
        *world.out << "the list of client accounts is empty: no key is accepted\n";
    }
    std::vector<std::pair<std::string, account_use>> rows(all.uses.begin(), all.uses.end());
    std::stable_sort(rows.begin(), rows.end(), [](const auto& left, const auto& right) {
        return left.second.requests > right.second.requests;
    });
    *world.out << fmt::format("{:<24} {:>10} {:>10} {:>10} {:>10} {:>11} {:>11} {:>11}\n",
                              "ACCOUNT", "RATE", "BURST", "REQUESTS", "ANSWERED", "OVER_QUOTA",
                              "NO_QUOTA", "OTHER");
    for (const auto& [name, use] : rows) {
        *world.out << fmt::format(
            "{:<24} {:>10} {:>10} {:>10} {:>10} {:>11} {:>11} {:>11}\n", name,
            use.rate > 0 ? fmt::format("{:.1f}", use.rate) : "none",
            use.rate > 0 ? fmt::format("{:.1f}", use.burst) : "none", use.requests, use.answered,
            use.quota_exceeded, use.quota_unavailable,
            use.requests - use.answered - use.quota_exceeded - use.quota_unavailable);
    }
    return exit_status::done;
}

} // namespace

command make_accounts()
{
    command made;
    made.group = "accounts";
    made.arguments = "METRICS_PAGE...";
    made.least_arguments = 1;
    made.most_arguments = most_pages;
    made.help = "sum up quotas, use and refusals of client accounts from metrics pages of gateways";
    made.needs_log = false;
    made.run = accounts;
    return made;
}

} // namespace azureshore::ctl
