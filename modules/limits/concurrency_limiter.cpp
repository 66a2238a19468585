#include "modules/limits/concurrency_limiter.h"

#include <algorithm>

namespace hawthornslip {

namespace {

constexpr Duration kWindow = milliseconds(500);
// A cut acts only as running requests end; cutting again at once would overshoot.
constexpr Duration kSettle = seconds(2);
constexpr std::uint32_t kMinSamples = 4;
// The targets hold for 95 in 100 requests; a twentieth of late samples is the sign of overload.
constexpr double kLateShare = 0.05;
constexpr double kCut = 0.9;
constexpr double kOverloadCut = 0.7;
constexpr double kRiseShare = 0.03;
constexpr double kUsedShare = 0.85;
// The limit stops rising this far below the target, so that it does not swing around it.
constexpr double kRiseBelow = 0.9;

} // namespace

ConcurrencyLimiter::ConcurrencyLimiter(std::uint32_t maximum)
    : m_maximum(std::max(maximum, 1U))
    , m_limit(std::max(1.0, m_maximum / 2))
{}

void ConcurrencyLimiter::setMaximum(std::uint32_t maximum)
{
    m_maximum = std::max(maximum, 1U);
    m_limit = std::min(m_limit, m_maximum);
}

void ConcurrencyLimiter::observe(double ratioToTarget)
{
    ++m_samples;
    m_ratioSum += ratioToTarget;
    if (ratioToTarget > 1)
        ++m_late;
}

void ConcurrencyLimiter::cut(double factor, TimePoint now)
{
    m_limit = std::max(1.0, m_limit * factor);
    m_settled = now + kSettle;
}

void ConcurrencyLimiter::update(std::uint32_t inFlight, TimePoint now)
{
    if (now - m_windowStart < kWindow)
        return;
    const bool settled = now >= m_settled;
    if (m_overloads > 0) {
        if (settled)
            cut(kOverloadCut, now);
    } else if (m_samples < kMinSamples) {
        return;
    } else if (m_late > kLateShare * m_samples) {
        if (settled)
            cut(kCut, now);
    } else if (settled && inFlight >= kUsedShare * m_limit && m_ratioSum < kRiseBelow * m_samples) {
        m_limit = std::min(m_maximum, m_limit + std::max(1.0, kRiseShare * m_limit));
    }
    m_windowStart = now;
    m_samples = 0;
    m_late = 0;
    m_ratioSum = 0;
    m_overloads = 0;
}

} // namespace hawthornslip
