#include "azureshore/observe/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>
#include <variant>

namespace azureshore::observe {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.99, 0.999};

// Markers below the quantiles shown keep the estimate of the median steady.
constexpr std::array<double, 5> markers{0.25, 0.5, 0.9, 0.99, 0.999};

using summary_set = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

enum class series_kind { counter, gauge, summary };

struct series {
    std::mutex lock;
    std::uint64_t count = 0;
    double value = 0;
    summary_set spans{acc::extended_p_square_probabilities = markers};
};

struct family {
    series_kind kind = series_kind::counter;
    std::map<labels, std::unique_ptr<series>> members;
};

std::string_view type_name(series_kind kind)
{
    switch (kind) {
    case series_kind::counter:
        return "counter";
    case series_kind::gauge:
        return "gauge";
    case series_kind::summary:
        return "summary";
    }
    return "untyped";
}

std::string written_quantile(labels of, double quantile)
{
    std::ostringstream text;
    text << quantile;
    of.push_back({"quantile", text.str()});
    return written(of);
}

void write_summary(std::ostream& out, const std::string& name, const labels& of,
                   const summary_set& spans)
{
    const auto count = acc::count(spans);
    if (count > 0) {
        for (const double quantile : quantiles) {
            const double value = acc::quantile(spans, acc::quantile_probability = quantile);
            out << name << written_quantile(of, quantile) << ' ' << value << '\n';
        }
    }
    out << name << "_sum" << written(of) << ' ' << acc::sum(spans) << '\n';
    out << name << "_count" << written(of) << ' ' << count << '\n';
}

void write_series(std::ostream& out, const std::string& name, series_kind kind, const labels& of,
                  series& each)
{
    const std::lock_guard hold(each.lock);
    switch (kind) {
    case series_kind::counter:
        out << name << written(of) << ' ' << each.count << '\n';
        break;
    case series_kind::gauge:
        out << name << written(of) << ' ' << each.value << '\n';
        break;
    case series_kind::summary:
        write_summary(out, name, of, each.spans);
        break;
    }
}

} // namespace

class metrics::state {
public:
    series& find(series_kind kind, std::string_view name, const labels& of)
    {
        const std::lock_guard hold(this->lock);
        auto& group = this->families[std::string(name)];
        group.kind = kind;
        auto& member = group.members[of];
        if (!member) {
            member = std::make_unique<series>();
        }
        return *member;
    }

    std::string to_text()
    {
        const std::lock_guard hold(this->lock);
        std::ostringstream out;
        for (auto& [name, group] : this->families) {
            out << "# TYPE " << name << ' ' << type_name(group.kind) << '\n';
            for (auto& [of, each] : group.members) {
                write_series(out, name, group.kind, of, *each);
            }
        }
        return out.str();
    }

private:
    std::mutex lock;
    std::map<std::string, family> families;
};

metrics::metrics() : inner(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::add(std::string_view name, const labels& of, std::uint64_t count)
{
    auto& found = this->inner->find(series_kind::counter, name, of);
    const std::lock_guard hold(found.lock);
    found.count += count;
}

void metrics::set(std::string_view name, const labels& of, double value)
{
    auto& found = this->inner->find(series_kind::gauge, name, of);
    const std::lock_guard hold(found.lock);
    found.value = value;
}

void metrics::observe(std::string_view name, const labels& of, duration span)
{
    auto& found = this->inner->find(series_kind::summary, name, of);
    const std::lock_guard hold(found.lock);
    found.spans(std::chrono::duration<double>(span).count());
}

std::string metrics::to_text() const
{
    return this->inner->to_text();
}

} // namespace azureshore::observe
