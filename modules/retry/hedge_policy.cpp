#include "modules/retry/hedge_policy.h"

#include <algorithm>

namespace hawthornslip {

namespace {

constexpr double kWindowSamples = 500;
// 5% of the attempts are slower than this quantile, within the usual retry budget of 10%.
constexpr double kDelayQuantile = 0.95;
constexpr double kMinSampleWeight = 20;
// An earlier hedge would duplicate attempts that are well within their target.
constexpr double kMinFractionOfTarget = 0.3;
constexpr double kMaxFractionOfTarget = 0.7;

} // namespace

HedgePolicy::HedgePolicy()
    : m_timeToFirstToken(kWindowSamples)
{}

void HedgePolicy::observeFirstToken(Duration timeToFirstToken)
{
    m_timeToFirstToken.add(static_cast<double>(timeToFirstToken.count()));
}

std::optional<Duration> HedgePolicy::delay(const Profile &profile) const
{
    if (!profile.idempotent || profile.retryRatio <= 0 ||
        m_timeToFirstToken.weight() < kMinSampleWeight)
        return std::nullopt;
    const auto target = static_cast<double>(profile.firstTokenTarget.count());
    const double us = std::clamp(m_timeToFirstToken.quantile(kDelayQuantile),
                                 kMinFractionOfTarget * target, kMaxFractionOfTarget * target);
    return Duration(static_cast<std::int64_t>(us));
}

bool HedgePolicy::tryStart(const Profile &profile, RetryBudget &budget)
{
    return profile.idempotent && budget.tryTake();
}

} // namespace hawthornslip
