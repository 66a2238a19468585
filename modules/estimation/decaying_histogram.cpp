#include "modules/estimation/decaying_histogram.h"

#include <algorithm>
#include <cmath>

namespace hawthornslip {

DecayingHistogram::DecayingHistogram(double window)
    : m_decayFactor(1 - 1 / std::max(window, 2.0))
{}

std::size_t DecayingHistogram::bucketOf(double value)
{
    if (value <= 1)
        return 0;
    const auto bucket = static_cast<std::size_t>(std::log2(value) * kBucketsPerDoubling);
    return std::min(bucket, kBuckets - 1);
}

double DecayingHistogram::bucketMidpoint(std::size_t bucket)
{
    // Cached because every sample visits all buckets; computing exp2() for each of them dominated
    // the time to process a grant release.
    static const auto kMidpoints = [] {
        std::array<double, kBuckets> midpoints{};
        for (std::size_t i = 0; i < kBuckets; ++i)
            midpoints[i] = std::exp2((static_cast<double>(i) + 0.5) / kBucketsPerDoubling);
        return midpoints;
    }();
    return kMidpoints[bucket];
}

void DecayingHistogram::addPrior(double median, double sigma, double weight)
{
    const double center = std::log(std::max(median, 1.0));
    std::array<double, kBuckets> density{};
    double total = 0;
    for (std::size_t i = 0; i < kBuckets; ++i) {
        const double z = (std::log(bucketMidpoint(i)) - center) / sigma;
        density[i] = std::exp(-z * z / 2);
        total += density[i];
    }
    for (std::size_t i = 0; i < kBuckets; ++i)
        m_counts[i] += weight * density[i] / total;
    updateSuffixSums();
}

void DecayingHistogram::add(double value)
{
    decay();
    m_counts[bucketOf(value)] += 1;
    updateSuffixSums();
}

void DecayingHistogram::addCensored(double value)
{
    const std::size_t first = bucketOf(value);
    const double above = m_suffixWeight[first];
    decay();
    if (above <= 0) {
        m_counts[first] += 1;
    } else {
        const double scale = 1 + 1 / (above * m_decayFactor);
        for (std::size_t i = first; i < kBuckets; ++i)
            m_counts[i] *= scale;
    }
    updateSuffixSums();
}

void DecayingHistogram::decay()
{
    for (auto &it : m_counts)
        it *= m_decayFactor;
}

void DecayingHistogram::updateSuffixSums()
{
    for (std::size_t i = kBuckets; i-- > 0;) {
        m_suffixWeight[i] = m_suffixWeight[i + 1] + m_counts[i];
        m_suffixSum[i] = m_suffixSum[i + 1] + m_counts[i] * bucketMidpoint(i);
    }
}

double DecayingHistogram::quantile(double q, double above) const
{
    const std::size_t first = above <= 0 ? 0 : bucketOf(above);
    const double total = m_suffixWeight[first];
    if (total <= 0)
        return above;
    const double targetWeight = (1 - q) * total;
    std::size_t i = first;
    while (i + 1 < kBuckets && m_suffixWeight[i + 1] > targetWeight)
        ++i;
    // Interpolates linearly in log space within the bucket.
    const double fraction =
            m_counts[i] > 0 ? (m_suffixWeight[i] - targetWeight) / m_counts[i] : 0.5;
    const double exponent = (static_cast<double>(i) + std::clamp(fraction, 0.0, 1.0));
    return std::max(above, std::exp2(exponent / kBucketsPerDoubling));
}

double DecayingHistogram::mean(double above) const
{
    const std::size_t first = above <= 0 ? 0 : bucketOf(above);
    return m_suffixWeight[first] > 0 ? std::max(above, m_suffixSum[first] / m_suffixWeight[first])
                                     : above;
}

double DecayingHistogram::probabilityAtMost(double value, double above) const
{
    if (value <= above)
        return 0;
    const std::size_t first = above <= 0 ? 0 : bucketOf(above);
    if (m_suffixWeight[first] <= 0)
        return 1;
    const std::size_t last = bucketOf(value);
    const double bucketFraction =
            std::log2(std::max(value, 1.0)) * kBucketsPerDoubling - static_cast<double>(last);
    const double weightAbove =
            m_suffixWeight[last] - m_counts[last] * std::clamp(bucketFraction, 0.0, 1.0);
    return std::clamp(1 - weightAbove / m_suffixWeight[first], 0.0, 1.0);
}

} // namespace hawthornslip
