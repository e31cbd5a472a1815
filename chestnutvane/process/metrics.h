// Counters, gauges and latency summaries of one instance, kept with Boost.Accumulators and written
// in the usual text exposition format.
//
// Example:
//
//   Metrics metrics;
//   metrics.observe("seat-map", Microseconds{21'500});
//   metrics.increment("vane_requests_total", {{"class", "seat-map"}, {"outcome", "ran"}});
//   std::string text = metrics.exposition();
//
// Thread-safe.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chestnutvane/base/time.h"

namespace chestnutvane {

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

class Metrics
{
public:
    Metrics();
    ~Metrics();

    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // Adds to a counter.
    void increment(std::string_view name, const MetricLabels &labels = {}, double amount = 1);

    // Sets a gauge.
    void set(std::string_view name, const MetricLabels &labels, double number);

    // Adds the latency of one request of a class to its summary.
    void observe(const std::string &requestClass, Duration latency);

    // Mean latency of a class, or of all classes if the name is empty; zero without observations.
    Duration meanLatency(const std::string &requestClass) const;

    // Returns the value of a counter or gauge, 0 if it was never set.
    double value(std::string_view name, const MetricLabels &labels = {}) const;

    // Returns all metrics in the text exposition format.
    std::string exposition() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace chestnutvane
