#pragma once

#include <string_view>
#include <utility>
#include <vector>

namespace hawthornslip {

/** Labels of a metric as (name, value) pairs. */
using MetricLabels = std::vector<std::pair<std::string_view, std::string_view>>;

/** Records metrics; their names and help texts are in core/metric_names.h. */
class Metrics
{
public:
    virtual ~Metrics() = default;

    /** Adds @p amount to the counter @p name with @p labels. */
    virtual void count(std::string_view name, const MetricLabels &labels = {},
                       double amount = 1) = 0;

    /** Sets the gauge @p name. */
    virtual void gauge(std::string_view name, const MetricLabels &labels, double value) = 0;

    /** Adds a sample in seconds to the histogram @p name. */
    virtual void observe(std::string_view name, const MetricLabels &labels, double value) = 0;
};

} // namespace hawthornslip
