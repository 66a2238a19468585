#include "modules/limits/concurrency_limiter.h"

#include <algorithm>

namespace hawthornslip {

namespace {

constexpr Duration kWindow = milliseconds(500);
constexpr Duration kSparseWindow = seconds(2);
// A decrease takes effect only as running requests end; a second one at once would overshoot.
constexpr Duration kCooldown = seconds(2);
constexpr std::uint32_t kMinSamples = 4;
constexpr std::uint32_t kEnoughSamples = 20;
// The targets apply to the 95th percentile, so more than 5% late samples indicate overload.
constexpr double kLateShare = 0.05;
// One or two late samples are outliers; counted as overload they would reduce the limit repeatedly.
constexpr std::uint32_t kMinLateSamples = 3;
constexpr double kLateRatio = 0.97;
// Latencies above this ratio stop the increase, so that the limit does not oscillate.
constexpr double kNearRatio = 0.9;
// Low, because requests should wait in the queue of the group, which is ordered by tier, and not
// inside the upstream.
constexpr double kLateFirstTokenRatio = 0.6;
constexpr double kNearFirstTokenRatio = 0.5;
// A queue inside the upstream shrinks by more than the limit does. Decreases are futile when the
// limit is at or below the first ratio of its earlier value and the mean time to first token is
// still at or above the second ratio of its earlier value.
constexpr double kFutileLimitRatio = 0.82;
constexpr double kFutileFirstTokenRatio = 0.85;
constexpr Duration kMinIgnoreTime = seconds(60);
constexpr Duration kMaxIgnoreTime = seconds(960);
constexpr double kDecreaseFactor = 0.9;
constexpr double kOverloadDecreaseFactor = 0.7;
constexpr double kIncreaseShare = 0.03;
constexpr double kMinUsedShareToIncrease = 0.85;
// Above this share of the limit before the last decrease, the limit is raised by 1, 2, 4, ... at
// each probe interval, so that an unjustified decrease is undone within 30 s.
constexpr double kCeilingShare = 0.93;
constexpr Duration kProbeInterval = seconds(5);

} // namespace

ConcurrencyLimiter::ConcurrencyLimiter(std::uint32_t maximum)
    : m_maximum(std::max(maximum, 1U))
    , m_limit(m_maximum)
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
    sum += ratio;
}

bool ConcurrencyLimiter::Samples::isSignificant(std::uint32_t n) const
{
    return n >= kMinLateSamples && n > kLateShare * count;
}

void ConcurrencyLimiter::observeTokenTime(double ratioToTarget)
{
    m_tokenTimes.add(ratioToTarget, kLateRatio, kNearRatio);
}

void ConcurrencyLimiter::observeFirstToken(double ratioToTarget)
{
    m_firstTokens.add(ratioToTarget, kLateFirstTokenRatio, kNearFirstTokenRatio);
}

void ConcurrencyLimiter::observeQueued(std::uint32_t queued)
{
    m_queued = std::min(queued, m_lastQueued);
    m_lastQueued = queued;
}

void ConcurrencyLimiter::decrease(double limit, TimePoint now)
{
    m_ceiling = m_limit;
    m_limit = std::max(1.0, limit);
    m_cooldownEnd = now + kCooldown;
    m_lastProbe = now;
    m_probeStep = 1;
}

void ConcurrencyLimiter::decreaseForFirstToken(TimePoint now)
{
    const double mean = m_firstTokens.mean();
    if (m_limitBeforeDecreases <= 0) {
        m_limitBeforeDecreases = m_limit;
        m_firstTokenBeforeDecreases = mean;
    }
    if (m_limit <= kFutileLimitRatio * m_limitBeforeDecreases &&
        mean >= kFutileFirstTokenRatio * m_firstTokenBeforeDecreases) {
        m_limit = m_limitBeforeDecreases;
        m_ceiling = m_maximum * 2;
        m_limitBeforeDecreases = 0;
        m_ignoreTime = std::clamp(2 * m_ignoreTime, kMinIgnoreTime, kMaxIgnoreTime);
        m_ignoreFirstTokenUntil = now + m_ignoreTime;
        return;
    }
    decrease(m_limit * kDecreaseFactor, now);
}

void ConcurrencyLimiter::increase(TimePoint now)
{
    const double step = std::max(1.0, kIncreaseShare * m_limit);
    if (m_limit + step <= kCeilingShare * m_ceiling) {
        m_limit += step;
    } else if (now - m_lastProbe >= kProbeInterval) {
        m_limit += m_probeStep;
        m_lastProbe = now;
        m_probeStep *= 2;
        if (m_limit > m_ceiling)
            m_ceiling = m_maximum * 2;
    }
    m_limit = std::min(m_limit, m_maximum);
}

void ConcurrencyLimiter::update(std::uint32_t inFlight, TimePoint now)
{
    if (now - m_windowStart < kWindow)
        return;
    const auto samples = m_tokenTimes.count + m_firstTokens.count;
    const bool enough = samples >= kEnoughSamples ||
                        (samples >= kMinSamples && now - m_windowStart >= kSparseWindow);
    if (!enough && m_overloads == 0 && m_queued == 0)
        return;
    if (now < m_ignoreFirstTokenUntil)
        m_firstTokens = {};
    const bool near = m_tokenTimes.isSignificant(m_tokenTimes.near) ||
                      m_firstTokens.isSignificant(m_firstTokens.near);
    if (now >= m_cooldownEnd) {
        if (m_overloads > 0) {
            decrease(m_limit * kOverloadDecreaseFactor, now);
        } else if (m_queued > 0) {
            decrease(std::max(m_limit - m_queued, m_limit * kOverloadDecreaseFactor), now);
        } else if (m_tokenTimes.isSignificant(m_tokenTimes.late)) {
            decrease(m_limit * kDecreaseFactor, now);
        } else if (m_firstTokens.isSignificant(m_firstTokens.late)) {
            decreaseForFirstToken(now);
        } else if (!near && inFlight >= kMinUsedShareToIncrease * m_limit) {
            m_limitBeforeDecreases = 0;
            increase(now);
        }
    }
    m_windowStart = now;
    m_tokenTimes = {};
    m_firstTokens = {};
    m_overloads = 0;
    m_queued = 0;
}

} // namespace hawthornslip
