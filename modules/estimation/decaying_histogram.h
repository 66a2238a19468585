#pragma once

#include <array>
#include <cstddef>

namespace hawthornslip {

/**
 * An online histogram of positive values up to 2^30 with logarithmic buckets and exponential decay
 * of old samples. Adding a sample takes constant time.
 */
class DecayingHistogram
{
public:
    /** @param window number of samples after which the weight of an old one has decayed to 1/e. */
    explicit DecayingHistogram(double window);

    /** Adds a log-normal prior with the given median that counts as @p weight samples. */
    void addPrior(double median, double sigma, double weight);

    /** Adds @p value. */
    void add(double value);

    /**
     * Adds a right-censored sample: one known only to be above @p value, such as the length of a
     * cancelled response. Its weight is distributed over the samples already seen above @p value.
     */
    void addCensored(double value);

    /** @return the total weight of all samples, which converges to the window size. */
    double weight() const { return m_suffixWeight[0]; }

    /** @return the @p q quantile of the values above @p above, or @p above if there are none. */
    double quantile(double q, double above = 0) const;

    /** @return the mean of the values above @p above, or @p above if there are none. */
    double mean(double above = 0) const;

    /** @return the conditional probability P(x <= @p value | x > @p above). */
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
    // Suffix sums (this bucket and all above), so that conditional means take constant time.
    std::array<double, kBuckets + 1> m_suffixWeight{};
    std::array<double, kBuckets + 1> m_suffixSum{};
};

} // namespace hawthornslip
