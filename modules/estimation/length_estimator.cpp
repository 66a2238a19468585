#include "modules/estimation/length_estimator.h"

namespace hawthornslip {

namespace {

// Answers follow the traffic of the last few hundred requests of the profile.
constexpr double kWindowSamples = 500;
// The prior is wide (a factor of 2.2 either way) and is outweighed after a few answers.
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
