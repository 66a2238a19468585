#pragma once

#include <array>
#include <cstddef>

namespace hawthornslip {

/**
 * A distribution of positive values learned online: logarithmic buckets whose old samples decay. It
 * has no bound on the tail below 2^30 and costs the same for each sample.
 */
class DecayingHistogram
{
public:
    /** @param window number of samples after which an old one has faded to 1/e. */
    explicit DecayingHistogram(double window);

    /** Adds a log-normal prior around @p median that weighs as much as @p weight samples. */
    void addPrior(double median, double sigma, double weight);

    /** Adds @p value. */
    void add(double value);

    /**
     * Adds a sample known only to be above @p value, such as the length of a cancelled answer. Its
     * weight is spread over what was seen above that value.
     */
    void addCensored(double value);

    /** @return the weight of all samples, at most about the window. */
    double weight() const { return m_suffixWeight[0]; }

    /** @return the @p q quantile of the values above @p above; @p above when none was seen. */
    double quantile(double q, double above = 0) const;

    /** @return the mean of the values above @p above; @p above when none was seen. */
    double mean(double above = 0) const;

    /** @return the probability of a value at most @p value among those above @p above. */
    double probabilityAtMost(double value, double above = 0) const;

private:
    static constexpr std::size_t kBucketsPerDoubling = 4;
    static constexpr std::size_t kBuckets = 30 * kBucketsPerDoubling;

    static std::size_t bucketOf(double value);
    static double bucketMidpoint(std::size_t bucket);
    void decay();
    void updateSuffixSums();

    double m_decayFactor;
    std::array<double, kBuckets> m_counts{};
    // Sums over this bucket and all above, so that conditional means take constant time.
    std::array<double, kBuckets + 1> m_suffixWeight{};
    std::array<double, kBuckets + 1> m_suffixSum{};
};

} // namespace hawthornslip
