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
constexpr double kLateRatio = 0.97;
// The limit stops rising this far below the target, so that it does not swing around it.
constexpr double kNearRatio = 0.9;
// Requests should wait in the queue of the group, where tiers count, and not in the upstream.
constexpr double kLateFirstToken = 0.6;
constexpr double kNearFirstToken = 0.5;
// Cuts for late first tokens have failed when this share of the limit is left and most are as late.
constexpr double kFutileLimit = 0.6;
constexpr double kFutileLate = 0.7;
constexpr Duration kShortestIgnore = seconds(60);
constexpr Duration kLongestIgnore = seconds(960);
constexpr double kCut = 0.9;
constexpr double kOverloadCut = 0.7;
constexpr double kRiseShare = 0.03;
// Until the first cut the limit is only a guess; a new owner must find it within a burst.
constexpr double kFirstRiseShare = 0.15;
constexpr double kUsedShare = 0.85;
// Above this share of the last cut's limit, one more request is tried at this interval.
constexpr double kCeilingShare = 0.93;
constexpr Duration kProbeInterval = seconds(8);

} // namespace

ConcurrencyLimiter::ConcurrencyLimiter(std::uint32_t maximum)
    : m_maximum(std::max(maximum, 1U))
    , m_limit(std::max(1.0, m_maximum / 2))
    , m_ceiling(m_maximum * 2)
{}

void ConcurrencyLimiter::setMaximum(std::uint32_t maximum)
{
    m_maximum = std::max(maximum, 1U);
    m_limit = std::min(m_limit, m_maximum);
    m_ceiling = m_maximum * 2;
}

void ConcurrencyLimiter::Samples::add(double ratio, double lateRatio, double nearRatio)
{
    ++count;
    late += ratio > lateRatio ? 1 : 0;
    near += ratio > nearRatio ? 1 : 0;
}

void ConcurrencyLimiter::observeTokenTime(double ratioToTarget)
{
    m_tokenTimes.add(ratioToTarget, kLateRatio, kNearRatio);
}

void ConcurrencyLimiter::observeFirstToken(double ratioToTarget)
{
    m_firstTokens.add(ratioToTarget, kLateFirstToken, kNearFirstToken);
}

void ConcurrencyLimiter::observeQueued(std::uint32_t queued)
{
    m_queued = std::min(queued, m_lastQueued);
    m_lastQueued = queued;
}

void ConcurrencyLimiter::cut(double limit, TimePoint now)
{
    m_ceiling = m_limit;
    m_limit = std::max(1.0, limit);
    m_settled = now + kSettle;
    m_probed = now;
}

void ConcurrencyLimiter::rise(TimePoint now)
{
    const bool neverCut = m_ceiling > m_maximum;
    const double step = std::max(1.0, (neverCut ? kFirstRiseShare : kRiseShare) * m_limit);
    if (m_limit + step <= kCeilingShare * m_ceiling) {
        m_limit += step;
    } else if (now - m_probed >= kProbeInterval) {
        m_limit += 1;
        m_probed = now;
    }
    m_limit = std::min(m_limit, m_maximum);
}

void ConcurrencyLimiter::cutForFirstToken(TimePoint now)
{
    const double late = m_firstTokens.lateShare();
    if (m_limitBefore <= 0) {
        m_limitBefore = m_limit;
        m_lateBefore = late;
    }
    if (m_limit <= kFutileLimit * m_limitBefore && late >= kFutileLate * m_lateBefore) {
        m_limit = m_limitBefore;
        m_limitBefore = 0;
        m_ignoreFor = std::clamp(2 * m_ignoreFor, kShortestIgnore, kLongestIgnore);
        m_ignoreFirstTokenUntil = now + m_ignoreFor;
        return;
    }
    cut(m_limit * kCut, now);
}

void ConcurrencyLimiter::update(std::uint32_t inFlight, TimePoint now)
{
    if (now - m_windowStart < kWindow)
        return;
    const bool enough = m_tokenTimes.count + m_firstTokens.count >= kMinSamples;
    if (!enough && m_overloads == 0 && m_queued == 0)
        return;
    if (now < m_ignoreFirstTokenUntil)
        m_firstTokens = {};
    const bool near =
            m_tokenTimes.nearShare() > kLateShare || m_firstTokens.nearShare() > kLateShare;
    if (now >= m_settled) {
        if (m_overloads > 0) {
            cut(m_limit * kOverloadCut, now);
        } else if (m_queued > 0) {
            cut(std::max(m_limit - m_queued, m_limit * kOverloadCut), now);
        } else if (m_tokenTimes.lateShare() > kLateShare) {
            cut(m_limit * kCut, now);
        } else if (m_firstTokens.lateShare() > kLateShare) {
            cutForFirstToken(now);
        } else if (!near && inFlight >= kUsedShare * m_limit) {
            m_limitBefore = 0;
            rise(now);
        }
    }
    m_windowStart = now;
    m_tokenTimes = {};
    m_firstTokens = {};
    m_overloads = 0;
    m_queued = 0;
}

} // namespace hawthornslip
