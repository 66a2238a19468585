#include "modules/estimation/decaying_histogram.h"

#include <algorithm>
#include <cmath>

namespace hawthornslip {

DecayingHistogram::DecayingHistogram(double window)
    : m_keep(1 - 1 / std::max(window, 2.0))
{}

std::size_t DecayingHistogram::bucketOf(double value)
{
    if (value <= 1)
        return 0;
    const auto bucket = static_cast<std::size_t>(std::log2(value) * kBucketsPerDoubling);
    return std::min(bucket, kBuckets - 1);
}

double DecayingHistogram::middleOf(std::size_t bucket)
{
    // Each sample goes over all buckets; computing the powers there took most of a release's time.
    static const auto kMiddles = [] {
        std::array<double, kBuckets> middles{};
        for (std::size_t i = 0; i < kBuckets; ++i)
            middles[i] = std::exp2((static_cast<double>(i) + 0.5) / kBucketsPerDoubling);
        return middles;
    }();
    return kMiddles[bucket];
}

void DecayingHistogram::addPrior(double median, double sigma, double weight)
{
    const double center = std::log(std::max(median, 1.0));
    std::array<double, kBuckets> density{};
    double total = 0;
    for (std::size_t i = 0; i < kBuckets; ++i) {
        const double z = (std::log(middleOf(i)) - center) / sigma;
        density[i] = std::exp(-z * z / 2);
        total += density[i];
    }
    for (std::size_t i = 0; i < kBuckets; ++i)
        m_counts[i] += weight * density[i] / total;
    sumUp();
}

void DecayingHistogram::add(double value)
{
    fade();
    m_counts[bucketOf(value)] += 1;
    sumUp();
}

void DecayingHistogram::addCensored(double value)
{
    const std::size_t first = bucketOf(value);
    const double above = m_weight[first];
    fade();
    if (above <= 0) {
        m_counts[first] += 1;
    } else {
        const double scale = 1 + 1 / (above * m_keep);
        for (std::size_t i = first; i < kBuckets; ++i)
            m_counts[i] *= scale;
    }
    sumUp();
}

void DecayingHistogram::fade()
{
    for (auto &it : m_counts)
        it *= m_keep;
}

void DecayingHistogram::sumUp()
{
    for (std::size_t i = kBuckets; i-- > 0;) {
        m_weight[i] = m_weight[i + 1] + m_counts[i];
        m_sum[i] = m_sum[i + 1] + m_counts[i] * middleOf(i);
    }
}

double DecayingHistogram::quantile(double q, double above) const
{
    const std::size_t first = above <= 0 ? 0 : bucketOf(above);
    const double total = m_weight[first];
    if (total <= 0)
        return above;
    const double wanted = (1 - q) * total;
    std::size_t i = first;
    while (i + 1 < kBuckets && m_weight[i + 1] > wanted)
        ++i;
    // Places the quantile inside its bucket by linear interpolation of the logarithm.
    const double inside = m_counts[i] > 0 ? (m_weight[i] - wanted) / m_counts[i] : 0.5;
    const double exponent = (static_cast<double>(i) + std::clamp(inside, 0.0, 1.0));
    return std::max(above, std::exp2(exponent / kBucketsPerDoubling));
}

double DecayingHistogram::mean(double above) const
{
    const std::size_t first = above <= 0 ? 0 : bucketOf(above);
    return m_weight[first] > 0 ? std::max(above, m_sum[first] / m_weight[first]) : above;
}

double DecayingHistogram::probabilityAtMost(double value, double above) const
{
    if (value <= above)
        return 0;
    const std::size_t first = above <= 0 ? 0 : bucketOf(above);
    if (m_weight[first] <= 0)
        return 1;
    const std::size_t last = bucketOf(value);
    const double part =
            std::log2(std::max(value, 1.0)) * kBucketsPerDoubling - static_cast<double>(last);
    const double beyond = m_weight[last] - m_counts[last] * std::clamp(part, 0.0, 1.0);
    return std::clamp(1 - beyond / m_weight[first], 0.0, 1.0);
}

} // namespace hawthornslip
