#pragma once

#include "modules/retry/hedge_policy.h"
#include "modules/retry/retry_budget.h"
#include "servers/request_path/retry_limiter.h"

#include <map>
#include <mutex>

namespace hawthornslip {

/** Keeps a retry budget and a hedge policy for each profile. Thread-safe. */
class BudgetedRetryLimiter : public RetryLimiter
{
public:
    bool take(const Profile &profile, TimePoint now) override;
    void succeeded(const Profile &profile, Duration timeToFirstToken, TimePoint now) override;
    std::optional<Duration> hedgeDelay(const Profile &profile) override;

private:
    struct Entry
    {
        RetryBudget budget;
        HedgePolicy hedges;
    };

    Entry &entryOf(const Profile &profile);

    std::mutex m_mutex;
    std::map<ProfileName, Entry> m_entries;
};

} // namespace hawthornslip
