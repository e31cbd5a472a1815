#include "chestnutvane/process/metrics.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Guards against quantiles that are mixed up between classes or units.
TEST(MetricsTest, ExpositionHasCountersGaugesAndQuantiles)
{
    Metrics metrics;
    for (int i = 1; i <= 1000; ++i)
        metrics.observe("seat-map", Milliseconds(i));
    metrics.increment("vane_retries_total");
    metrics.increment("vane_retries_total");
    metrics.set("vane_headroom", {{"region", "taipei"}}, 0.25);
    const auto text = metrics.exposition();
    EXPECT_NE(text.find("vane_retries_total 2\n"), std::string::npos);
    EXPECT_NE(text.find("vane_headroom{region=\"taipei\"} 0.25\n"), std::string::npos);
    EXPECT_NE(text.find("vane_request_seconds_count{class=\"seat-map\"} 1000\n"),
              std::string::npos);
    const std::string row = "vane_request_seconds{class=\"seat-map\",quantile=\"0.5\"} ";
    const auto at = text.find(row);
    ASSERT_NE(at, std::string::npos);
    EXPECT_NEAR(std::stod(text.substr(at + row.size())), 0.5, 0.05);
    EXPECT_NEAR(static_cast<double>(metrics.meanLatency("seat-map") / Milliseconds(1)), 500, 1);
}

} // namespace
} // namespace chestnutvane
