#include "modules/retry/retry_budget.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// The initial balance allows retries for the first failures after a restart; the maximum keeps a
// long period without failures from allowing a burst of retries.
constexpr double kInitialBalance = 3;
constexpr double kMaxBalance = 20;

} // namespace

RetryBudget::RetryBudget(double ratio)
    : m_ratio(ratio)
    , m_balance(ratio > 0 ? kInitialBalance : 0)
{}

void RetryBudget::onSuccess()
{
    m_balance = std::min(kMaxBalance, m_balance + m_ratio);
}

bool RetryBudget::tryTake()
{
    if (m_balance < 1)
        return false;
    m_balance -= 1;
    return true;
}

} // namespace hawthornslip
