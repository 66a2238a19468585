#pragma once

#include <cstdint>

namespace hawthornslip {

/** Limits retries to a fraction of the successes, so that a failing system gets no extra load. */
class RetryBudget
{
public:
    /** @param ratio retries allowed per success. */
    explicit RetryBudget(double ratio);

    /** Changes the ratio; the balance is kept. */
    void setRatio(double ratio) { m_ratio = ratio; }

    /** Records a successful request. */
    void onSuccess();

    /** Takes one retry. @return false when the budget is exhausted. */
    bool tryTake();

    /** @return the number of retries that may be taken now. */
    double balance() const { return m_balance; }

private:
    double m_ratio;
    double m_balance;
};

} // namespace hawthornslip
