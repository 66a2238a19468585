#include "modules/estimation/length_estimator.h"

namespace hawthornslip {

namespace {

// Tracks the last few hundred requests of the profile.
constexpr double kWindowSamples = 500;
// A wide prior (one sigma is a factor of 2.2) that a few observed responses outweigh.
constexpr double kPriorSigma = 0.8;
constexpr double kPriorWeight = 4;

} // namespace

LengthEstimator::LengthEstimator(double expectedTokens)
    : m_lengths(kWindowSamples)
{
    m_lengths.addPrior(expectedTokens, kPriorSigma, kPriorWeight);
}

double LengthEstimator::remaining(double q, std::uint32_t generatedTokens) const
{
    return m_lengths.quantile(q, generatedTokens) - generatedTokens;
}

double LengthEstimator::meanRemaining(std::uint32_t generatedTokens) const
{
    return m_lengths.mean(generatedTokens) - generatedTokens;
}

double LengthEstimator::probabilityWithin(double tokens, std::uint32_t generatedTokens) const
{
    return m_lengths.probabilityAtMost(tokens + generatedTokens, generatedTokens);
}

} // namespace hawthornslip
