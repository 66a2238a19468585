#include "servers/request_path/budgeted_retry_limiter.h"

namespace hawthornslip {

bool BudgetedRetryLimiter::take(const Profile &profile, TimePoint /*now*/)
{
    const std::lock_guard lock(m_mutex);
    return entryOf(profile).budget.tryTake();
}

void BudgetedRetryLimiter::succeeded(const Profile &profile, Duration timeToFirstToken,
                                     TimePoint /*now*/)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = entryOf(profile);
    entry.budget.onSuccess();
    if (timeToFirstToken.count() > 0)
        entry.hedges.observeFirstToken(timeToFirstToken);
}

std::optional<Duration> BudgetedRetryLimiter::hedgeDelay(const Profile &profile)
{
    const std::lock_guard lock(m_mutex);
    return entryOf(profile).hedges.delay(profile);
}

BudgetedRetryLimiter::Entry &BudgetedRetryLimiter::entryOf(const Profile &profile)
{
    const auto it =
            m_entries.try_emplace(profile.name, Entry{RetryBudget(profile.retryRatio), {}}).first;
    // The current configuration may have changed the ratio.
    it->second.budget.setRatio(profile.retryRatio);
    return it->second;
}

} // namespace hawthornslip
