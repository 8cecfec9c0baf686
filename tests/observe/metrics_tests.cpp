#include "azureshore/observe/latency_histogram.hpp"
#include "azureshore/observe/metrics.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::observe;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(metrics_text)

BOOST_AUTO_TEST_CASE(counters_and_gauges_are_written_sorted_with_their_type)
{
    metrics all;
    all.add("requests_total", {{"service", "ordbog"}}, 2);
    all.add("requests_total", {{"service", "licens"}});
    all.set("in_flight", {}, 3);
    BOOST_TEST(all.to_text() == "# TYPE in_flight gauge\n"
                                "in_flight 3\n"
                                "# TYPE requests_total counter\n"
                                "requests_total{service=\"licens\"} 1\n"
                                "requests_total{service=\"ordbog\"} 2\n");
}

BOOST_AUTO_TEST_CASE(a_label_value_is_escaped)
{
    metrics all;
    all.add("x_total", {{"why", "a \"b\"\n\\"}});
    BOOST_TEST(all.to_text() == "# TYPE x_total counter\nx_total{why=\"a \\\"b\\\"\\n\\\\\"} 1\n");
}

BOOST_AUTO_TEST_CASE(a_summary_estimates_its_quantiles)
{
    metrics all;
    for (int i = 1; i <= 10'000; ++i) {
        // 7,919 is coprime to 10,000, so every millisecond comes once, in a mixed order.
        all.observe("seconds", {}, std::chrono::milliseconds(i * 7'919LL % 10'000));
    }
    const auto text = all.to_text();
    const auto at = text.find("quantile=\"0.99\"} ");
    BOOST_REQUIRE(at != std::string::npos);
    const double p99 = std::stod(text.substr(at + 17));
    BOOST_TEST(p99 > 9.7);
    BOOST_TEST(p99 < 10.0);
    BOOST_TEST(text.find("seconds_count 10000") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_histogram_counts_spans_up_to_each_bound)
{
    latency_histogram spans;
    spans.add(milliseconds(1));
    spans.add(milliseconds(3));
    spans.add(seconds(60));
    std::string text;
    spans.write(text, "x_seconds", {{"service", "a"}});
    for (const std::string line :
         {"x_seconds_bucket{service=\"a\",le=\"0.001\"} 1\n",
          "x_seconds_bucket{service=\"a\",le=\"0.002\"} 1\n",
          "x_seconds_bucket{service=\"a\",le=\"0.005\"} 2\n",
          "x_seconds_bucket{service=\"a\",le=\"10\"} 2\n",
          "x_seconds_bucket{service=\"a\",le=\"+Inf\"} 3\n",
          "x_seconds_sum{service=\"a\"} 60.004\n", "x_seconds_count{service=\"a\"} 3\n"}) {
        BOOST_TEST(text.find(line) != std::string::npos, line);
    }
    text.clear();
    spans.write(text, "x_seconds", {{"service", "a\"b"}});
    BOOST_TEST(text.find("x_seconds_count{service=\"a\\\"b\"} 3\n") != std::string::npos);
    text.clear();
    spans.write(text, "x_seconds", {});
    BOOST_TEST(text.find("x_seconds_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
    BOOST_TEST(text.find("x_seconds_count 3\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
