#pragma once

#include "core/time.h"

#include <cstdint>

namespace hawthornslip {

/**
 * Adaptive concurrency limit of one upstream (additive increase, multiplicative decrease): the
 * limit is increased in steps while the observed latencies meet their targets and multiplied by a
 * factor below 1 when they don't. Near the limit before the last decrease it is increased slowly.
 */
class ConcurrencyLimiter
{
public:
    /** @param maximum configured upper bound, at least 1; the limit starts there. */
    explicit ConcurrencyLimiter(std::uint32_t maximum);

    /** Changes the configured upper bound. */
    void setMaximum(std::uint32_t maximum);

    /** Records the time between two tokens as a multiple of its target. */
    void observeTokenTime(double ratioToTarget);

    /**
     * Records a time to first token as a multiple of its target. A high value means that requests
     * wait inside the upstream, where they can no longer be refused, or that prompts are long; in
     * the second case a lower limit doesn't help and the decreases are undone.
     */
    void observeFirstToken(double ratioToTarget);

    /** Records a refused or failed request as a sign of overload. */
    void observeOverload() { ++m_overloads; }

    /**
     * Records a report that @p queued requests wait inside the upstream. The lower of two
     * consecutive reports counts, because each request waits there briefly.
     */
    void observeQueued(std::uint32_t queued);

    /**
     * Evaluates the window of observations and adjusts the limit when the window is complete.
     *
     * @param inFlight running requests; the limit is increased only when they nearly reach it,
     *        because otherwise the observations say nothing about a higher limit.
     */
    void update(std::uint32_t inFlight, TimePoint now);

    /** @return the current limit in requests, from 1 to the configured upper bound. */
    double limit() const { return m_limit; }

private:
    /** Samples of one latency in the current window, as multiples of the target. */
    struct Samples
    {
        std::uint32_t count = 0;
        std::uint32_t late = 0;
        std::uint32_t near = 0;
        double sum = 0;

        void add(double ratio, double lateRatio, double nearRatio);
        double mean() const { return count > 0 ? sum / count : 0; }
        /** @return true when @p n of the samples are too many to be outliers. */
        bool isSignificant(std::uint32_t n) const;
    };

    void decrease(double limit, TimePoint now);
    void decreaseForFirstToken(TimePoint now);
    void increase(TimePoint now);

    double m_maximum;
    double m_limit;
    Samples m_tokenTimes;
    Samples m_firstTokens;
    std::uint32_t m_overloads = 0;
    std::uint32_t m_queued = 0;
    std::uint32_t m_lastQueued = 0;
    /**
     * Limit and mean time to first token before the first of consecutive decreases for the time
     * to first token; a limit of 0 means that there was none.
     */
    double m_limitBeforeDecreases = 0;
    double m_firstTokenBeforeDecreases = 0;
    TimePoint m_ignoreFirstTokenUntil{};
    Duration m_ignoreTime{0};
    /** The limit before the last decrease; twice the maximum when none applies. */
    double m_ceiling = 0;
    TimePoint m_windowStart{};
    TimePoint m_cooldownEnd{};
    TimePoint m_lastProbe{};
    double m_probeStep = 1;
};

} // namespace hawthornslip
