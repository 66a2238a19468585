#pragma once

#include "modules/estimation/decaying_histogram.h"

#include <cstdint>

namespace hawthornslip {

/** Estimates the distribution of the response lengths, in tokens, of one profile. */
class LengthEstimator
{
public:
    /** @param expectedTokens median of the prior, used before any response was observed. */
    explicit LengthEstimator(double expectedTokens);

    /** Adds the length of a complete response. */
    void observe(std::uint32_t tokens) { m_lengths.add(tokens); }

    /** Adds a response that was cancelled after @p tokens, a lower bound of its full length. */
    void observeTruncated(std::uint32_t tokens) { m_lengths.addCensored(tokens); }

    /** @return the @p q quantile of the tokens still to come after @p generatedTokens. */
    double remaining(double q, std::uint32_t generatedTokens = 0) const;

    /** @return the expected number of tokens still to come after @p generatedTokens. */
    double meanRemaining(std::uint32_t generatedTokens = 0) const;

    /** @return the probability of at most @p tokens still to come after @p generatedTokens. */
    double probabilityWithin(double tokens, std::uint32_t generatedTokens = 0) const;

private:
    DecayingHistogram m_lengths;
};

} // namespace hawthornslip
