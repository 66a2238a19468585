#include "modules/retry/hedge_policy.h"

#include <algorithm>

namespace hawthornslip {

namespace {

constexpr double kWindow = 500;
// Five in a hundred attempts are slower than this quantile, within the usual budget of a tenth.
constexpr double kQuantile = 0.95;
constexpr double kMinWeight = 20;
// An earlier hedge would race attempts that are well within their target.
constexpr double kMinShareOfTarget = 0.3;
constexpr double kMaxShareOfTarget = 0.7;

} // namespace

HedgePolicy::HedgePolicy()
    : m_firstToken(kWindow)
{}

void HedgePolicy::observeFirstToken(Duration firstToken)
{
    m_firstToken.add(static_cast<double>(firstToken.count()));
}

std::optional<Duration> HedgePolicy::delay(const Profile &profile) const
{
    if (!profile.idempotent || profile.retryRatio <= 0 || m_firstToken.weight() < kMinWeight)
        return std::nullopt;
    const auto target = static_cast<double>(profile.firstTokenTarget.count());
    const double us = std::clamp(m_firstToken.quantile(kQuantile), kMinShareOfTarget * target,
                                 kMaxShareOfTarget * target);
    return Duration(static_cast<std::int64_t>(us));
}

bool HedgePolicy::mayStart(const Profile &profile, RetryBudget &budget)
{
    return profile.idempotent && budget.tryTake();
}

} // namespace hawthornslip
