#pragma once

#include "modules/estimation/decaying_histogram.h"

#include <cstdint>

namespace hawthornslip {

/** Learns the answer lengths of one profile with their uncertainty. Lengths are in tokens. */
class LengthEstimator
{
public:
    /** @param expectedTokens median before any answer was observed. */
    explicit LengthEstimator(double expectedTokens);

    /** Takes the length of a whole answer. */
    void observe(std::uint32_t tokens) { m_lengths.add(tokens); }

    /** Takes an answer that was cut off after @p tokens, so that its length is a lower bound. */
    void observeTruncated(std::uint32_t tokens) { m_lengths.addCensored(tokens); }

    /** @return the @p q quantile of the tokens that follow after @p generatedTokens. */
    double remaining(double q, std::uint32_t generatedTokens = 0) const;

    /** @return the expected number of tokens that follow after @p generatedTokens. */
    double meanRemaining(std::uint32_t generatedTokens = 0) const;

    /** @return the probability that at most @p tokens follow after @p generatedTokens. */
    double probabilityWithin(double tokens, std::uint32_t generatedTokens = 0) const;

private:
    DecayingHistogram m_lengths;
};

} // namespace hawthornslip
