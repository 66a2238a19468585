#include "modules/estimation/service_estimator.h"

#include <algorithm>

namespace hawthornslip {

namespace {

constexpr double kWindow = 200;
// Before any observation an upstream is assumed to need a fifth of the target to the first token
// and half of the target between tokens; a pessimistic prior would refuse work that fits.
constexpr double kFirstTokenPrior = 0.2;
constexpr double kTokenTimePrior = 0.5;
constexpr double kPriorSigma = 0.5;
constexpr double kPriorWeight = 4;
constexpr double kTokenTimeGain = 0.05;

} // namespace

ServiceEstimator::ServiceEstimator(const Profile &profile)
    : m_lengths(profile.expectedTokens)
    , m_firstToken(kWindow)
    , m_tokenTimeUs(kTokenTimePrior * static_cast<double>(profile.tokenTarget.count()))
{
    m_firstToken.addPrior(kFirstTokenPrior * static_cast<double>(profile.firstTokenTarget.count()),
                          kPriorSigma, kPriorWeight);
}

void ServiceEstimator::observeFirstToken(Duration firstToken)
{
    m_firstToken.add(static_cast<double>(firstToken.count()));
}

void ServiceEstimator::observeTokenTime(Duration tokenTime)
{
    m_tokenTimeUs += kTokenTimeGain * (static_cast<double>(tokenTime.count()) - m_tokenTimeUs);
}

Duration ServiceEstimator::firstToken(double q) const
{
    return Duration(static_cast<std::int64_t>(m_firstToken.quantile(q)));
}

Duration ServiceEstimator::tokenTime() const
{
    return Duration(static_cast<std::int64_t>(m_tokenTimeUs));
}

double ServiceEstimator::probabilityInTime(Duration left, std::uint32_t tokensDone) const
{
    const double forTokens = static_cast<double>((left - firstToken(0.5)).count());
    if (forTokens <= 0)
        return 0;
    return m_lengths.probabilityWithin(forTokens / std::max(m_tokenTimeUs, 1.0), tokensDone);
}

Duration ServiceEstimator::meanDuration(std::uint32_t tokensDone) const
{
    const double tokens = m_lengths.meanRemaining(tokensDone);
    return firstToken(0.5) + Duration(static_cast<std::int64_t>(tokens * m_tokenTimeUs));
}

} // namespace hawthornslip
