#include "modules/limits/shared_permits.h"

#include <algorithm>
#include <cmath>

namespace hawthornslip {

namespace {

constexpr double kPermitLifetimeSeconds = 1;
// The end of a limit is noticed only in an answer.
constexpr double kMinRequestsPerSecond = 0.25;
constexpr Duration kLongestWait = seconds(3600);

} // namespace

SharedPermits::SharedPermits(double requestsPerSecond, double phase, TimePoint now)
    : m_limit(requestsPerSecond)
    , m_credit(phase)
    , m_updatedAt(now)
{}

void SharedPermits::setLimit(double requestsPerSecond, double share, TimePoint now)
{
    m_credit = creditAt(share, now);
    m_updatedAt = now;
    m_limit = requestsPerSecond;
}

Duration SharedPermits::wait(double share, TimePoint now) const
{
    const double missing = 1 - creditAt(share, now);
    if (missing <= 0)
        return Duration(0);
    const double wait = missing / std::max(rate(share), 1 / toSeconds(kLongestWait));
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::min(wait, toSeconds(kLongestWait))));
}

void SharedPermits::onSent(double share, TimePoint now)
{
    m_credit = creditAt(share, now) - 1;
    m_updatedAt = now;
}

double SharedPermits::rate(double share) const
{
    return share * std::max(m_limit, kMinRequestsPerSecond);
}

double SharedPermits::creditAt(double share, TimePoint now) const
{
    const double perSecond = rate(share);
    const double credit = m_credit + perSecond * std::max(0.0, toSeconds(now - m_updatedAt));
    // The oldest permits are lost one by one.
    const double most = 1 + perSecond * kPermitLifetimeSeconds;
    return credit > most ? credit - std::ceil(credit - most) : credit;
}

} // namespace hawthornslip
