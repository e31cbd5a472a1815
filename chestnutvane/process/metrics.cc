#include "chestnutvane/process/metrics.h"

#include <fmt/format.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <map>

#include "chestnutvane/process/guarded.h"

namespace chestnutvane {
namespace internal {
namespace {

namespace ba = boost::accumulators;

constexpr double quantiles[] = {0.5, 0.99, 0.999};

using Summary = ba::accumulator_set<double,
                                    ba::stats<ba::tag::count, ba::tag::sum, ba::tag::mean,
                                              ba::tag::extended_p_square_quantile>>;

Summary makeSummary()
{
    return Summary(ba::extended_p_square_probabilities = quantiles);
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Writes "name{a="x",b="y"}"; the text also is the key of the metric.
std::string metricKey(std::string_view name, const MetricLabels &labels)
{
    std::string key(name);
    if (labels.empty())
        return key;
    char separator = '{';
    for (const auto &[label, text] : labels) {
        key += separator;
        key += fmt::format("{}=\"{}\"", label, text);
        separator = ',';
    }
    return key + '}';
}

} // namespace
} // namespace internal

struct Metrics::State
{
    struct Tables
    {
        std::map<std::string, double> values;
        std::map<std::string, internal::Summary> latencies;
    };
    Guarded<Tables, LockRank::Metrics> tables;
};

Metrics::Metrics() : state_(std::make_unique<State>()) { }

Metrics::~Metrics() = default;

void Metrics::increment(std::string_view name, const MetricLabels &labels, double amount)
{
    const auto key = internal::metricKey(name, labels);
    state_->tables.use([&](State::Tables &tables) { tables.values[key] += amount; });
}

void Metrics::set(std::string_view name, const MetricLabels &labels, double number)
{
    const auto key = internal::metricKey(name, labels);
    state_->tables.use([&](State::Tables &tables) { tables.values[key] = number; });
}

void Metrics::observe(const std::string &requestClass, Duration latency)
{
    state_->tables.use([&](State::Tables &tables) {
        auto entry = tables.latencies.find(requestClass);
        if (entry == tables.latencies.end())
            entry = tables.latencies.emplace(requestClass, internal::makeSummary()).first;
        entry->second(internal::seconds(latency));
    });
}

Duration Metrics::meanLatency(const std::string &requestClass) const
{
    return state_->tables.use([&](State::Tables &tables) {
        double sum = 0;
        double count = 0;
        for (const auto &[name, summary] : tables.latencies) {
            if (!requestClass.empty() && name != requestClass)
                continue;
            sum += internal::ba::sum(summary);
            count += static_cast<double>(internal::ba::count(summary));
        }
        const std::chrono::duration<double> mean(count == 0 ? 0 : sum / count);
        return std::chrono::duration_cast<Duration>(mean);
    });
}

double Metrics::value(std::string_view name, const MetricLabels &labels) const
{
    const auto key = internal::metricKey(name, labels);
    return state_->tables.use([&](State::Tables &tables) {
        const auto entry = tables.values.find(key);
        return entry == tables.values.end() ? 0.0 : entry->second;
    });
}

std::string Metrics::exposition() const
{
    return state_->tables.use([&](State::Tables &tables) {
        std::string text;
        for (const auto &[key, number] : tables.values)
            text += fmt::format("{} {}\n", key, number);
        for (const auto &[name, summary] : tables.latencies) {
            for (const double q : internal::quantiles)
                text += fmt::format(
                        "vane_request_seconds{{class=\"{}\",quantile=\"{}\"}} {:.6f}\n", name, q,
                        internal::ba::quantile(summary, internal::ba::quantile_probability = q));
            text += fmt::format("vane_request_seconds_sum{{class=\"{}\"}} {:.6f}\n", name,
                                internal::ba::sum(summary));
            text += fmt::format("vane_request_seconds_count{{class=\"{}\"}} {}\n", name,
                                internal::ba::count(summary));
        }
        return text;
    });
}

} // namespace chestnutvane
