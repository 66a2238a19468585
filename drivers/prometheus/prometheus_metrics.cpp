#include "drivers/prometheus/prometheus_metrics.h"

#include "core/metric_names.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <stdexcept>

namespace hawthornslip {

namespace {

// Upper bounds in seconds, dense around the first-token targets of a fraction of a second.
const prometheus::Histogram::BucketBoundaries kBuckets{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                                       0.1,   0.2,    0.4,   0.6,  0.87,  1.25,
                                                       2.5,   5,      10,    20,   60,    120};

prometheus::Labels convertLabels(const MetricLabels &labels)
{
    prometheus::Labels converted;
    for (const auto &[name, value] : labels)
        converted.emplace(std::string(name), std::string(value));
    return converted;
}

} // namespace

struct PrometheusMetrics::Registry
{
    prometheus::Registry registry;
    std::map<std::string_view, prometheus::Family<prometheus::Counter> *> counters;
    std::map<std::string_view, prometheus::Family<prometheus::Gauge> *> gauges;
    std::map<std::string_view, prometheus::Family<prometheus::Histogram> *> histograms;

    void add(const metric::Info &info)
    {
        const std::string name(info.name);
        const std::string help(info.help);
        switch (info.kind) {
        case metric::Kind::Counter:
            counters[info.name] =
                    &prometheus::BuildCounter().Name(name).Help(help).Register(registry);
            break;
        case metric::Kind::Gauge:
            gauges[info.name] = &prometheus::BuildGauge().Name(name).Help(help).Register(registry);
            break;
        case metric::Kind::Histogram:
            histograms[info.name] =
                    &prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
            break;
        }
    }
};

PrometheusMetrics::PrometheusMetrics()
    : m_registry(std::make_unique<Registry>())
{
    for (const auto &it : metric::kAll)
        m_registry->add(it);
}

PrometheusMetrics::~PrometheusMetrics() = default;

void PrometheusMetrics::count(std::string_view name, const MetricLabels &labels, double amount)
{
    m_registry->counters.at(name)->Add(convertLabels(labels)).Increment(amount);
}

void PrometheusMetrics::gauge(std::string_view name, const MetricLabels &labels, double value)
{
    m_registry->gauges.at(name)->Add(convertLabels(labels)).Set(value);
}

void PrometheusMetrics::observe(std::string_view name, const MetricLabels &labels, double value)
{
    m_registry->histograms.at(name)->Add(convertLabels(labels), kBuckets).Observe(value);
}

std::string PrometheusMetrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_registry->registry.Collect());
}

} // namespace hawthornslip
