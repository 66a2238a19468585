#pragma once

#include "core/interfaces/metrics.h"

#include <memory>
#include <string>

namespace hawthornslip {

/** Metrics in a prometheus-cpp registry. All calls may come from any thread. */
class PrometheusMetrics : public Metrics
{
public:
    PrometheusMetrics();
    ~PrometheusMetrics() override;

    void count(std::string_view name, const MetricLabels &labels, double amount) override;
    void gauge(std::string_view name, const MetricLabels &labels, double value) override;
    void observe(std::string_view name, const MetricLabels &labels, double value) override;

    /** @return all metrics in the Prometheus text format. */
    std::string serialize() const;

private:
    struct Registry;
    std::unique_ptr<Registry> m_registry;
};

} // namespace hawthornslip
