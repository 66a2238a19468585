#pragma once

#include "core/interfaces/metrics.h"

#include <map>
#include <string>

namespace hawthornslip::test {

/** Keeps the sum of each counter over all labels. */
class CountingMetrics : public Metrics
{
public:
    void count(std::string_view name, const MetricLabels & /*labels*/, double amount) override
    {
        m_counts[std::string(name)] += amount;
    }
    void gauge(std::string_view /*name*/, const MetricLabels & /*labels*/,
               double /*value*/) override
    {}
    void observe(std::string_view /*name*/, const MetricLabels & /*labels*/,
                 double /*value*/) override
    {}

    /** @return the sum of the counter @p name. */
    double total(std::string_view name) const
    {
        const auto it = m_counts.find(std::string(name));
        return it == m_counts.end() ? 0 : it->second;
    }

private:
    std::map<std::string, double> m_counts;
};

} // namespace hawthornslip::test
