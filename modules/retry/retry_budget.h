#pragma once

#include <cstdint>

namespace hawthornslip {

/** Allows repeats as a fraction of successes, so that a failing system gets no extra load. */
class RetryBudget
{
public:
    /** @param ratio repeats allowed for each success. */
    explicit RetryBudget(double ratio);

    /** Changes the ratio; the balance is kept. */
    void setRatio(double ratio) { m_ratio = ratio; }

    /** Takes note of a request that succeeded. */
    void onSuccess();

    /** Spends one repeat. @return false when the budget is empty. */
    bool tryTake();

    /** @return the repeats that may be made now. */
    double balance() const { return m_balance; }

private:
    double m_ratio;
    double m_balance;
};

} // namespace hawthornslip
