#include "modules/estimation/service_estimator.h"

#include <algorithm>

namespace hawthornslip {

namespace {

constexpr double kWindowSamples = 200;
// Priors: a fifth of the target time to first token and half of the target inter-token latency. A
// pessimistic prior would reject requests that can be served in time.
constexpr double kFirstTokenPriorRatio = 0.2;
constexpr double kTokenTimePriorRatio = 0.5;
constexpr double kPriorSigma = 0.5;
constexpr double kPriorWeight = 4;
constexpr double kTokenTimeSmoothing = 0.05;

} // namespace

ServiceEstimator::ServiceEstimator(const Profile &profile)
    : m_lengths(profile.expectedTokens)
    , m_firstToken(kWindowSamples)
    , m_tokenTimeUs(kTokenTimePriorRatio * static_cast<double>(profile.tokenTarget.count()))
{
    m_firstToken.addPrior(kFirstTokenPriorRatio *
                                  static_cast<double>(profile.firstTokenTarget.count()),
                          kPriorSigma, kPriorWeight);
}

void ServiceEstimator::observeFirstToken(Duration firstToken)
{
    m_firstToken.add(static_cast<double>(firstToken.count()));
}

void ServiceEstimator::observeTokenTime(Duration tokenTime)
{
    m_tokenTimeUs += kTokenTimeSmoothing * (static_cast<double>(tokenTime.count()) - m_tokenTimeUs);
}

Duration ServiceEstimator::firstToken(double q) const
{
    return Duration(static_cast<std::int64_t>(m_firstToken.quantile(q)));
}

Duration ServiceEstimator::tokenTime() const
{
    return Duration(static_cast<std::int64_t>(m_tokenTimeUs));
}

double ServiceEstimator::probabilityOfFinishingWithin(Duration remainingTime,
                                                      std::uint32_t generatedTokens) const
{
    const double decodeTimeUs = static_cast<double>((remainingTime - firstToken(0.5)).count());
    if (decodeTimeUs <= 0)
        return 0;
    return m_lengths.probabilityWithin(decodeTimeUs / std::max(m_tokenTimeUs, 1.0),
                                       generatedTokens);
}

Duration ServiceEstimator::meanDuration(std::uint32_t generatedTokens) const
{
    const double tokens = m_lengths.meanRemaining(generatedTokens);
    return firstToken(0.5) + Duration(static_cast<std::int64_t>(tokens * m_tokenTimeUs));
}

} // namespace hawthornslip
