#pragma once

#include "core/time.h"

#include <cstdint>

namespace hawthornslip {

/**
 * Finds how many requests one upstream can run at a time: the limit rises by a step while the
 * observed times keep within the targets and is cut by a factor when they don't. Near the limit of
 * the last cut it rises slowly.
 */
class ConcurrencyLimiter
{
public:
    /** @param maximum configured bound, at least 1; the limit starts there. */
    explicit ConcurrencyLimiter(std::uint32_t maximum);

    /** Changes the configured bound. */
    void setMaximum(std::uint32_t maximum);

    /** Takes a time between tokens as a multiple of its target. */
    void observeTokenTime(double ratioToTarget);

    /**
     * Takes a time from sending to the first token as a multiple of its target. A large part of the
     * target shows that requests wait inside the upstream, where refusals no longer reach them, or
     * that prompts are long; in the second case cuts don't help and are taken back.
     */
    void observeFirstToken(double ratioToTarget);

    /** Takes a refused or failed request as a sign of overload. */
    void observeOverload() { ++m_overloads; }

    /**
     * Takes a report of @p queued requests that wait inside the upstream. Only what two reports in
     * a row show counts, as each request waits there for a moment.
     */
    void observeQueued(std::uint32_t queued);

    /**
     * Closes the window of observations if it is due.
     *
     * @param inFlight the limit rises only when it is nearly used, as it is not tested otherwise.
     */
    void update(std::uint32_t inFlight, TimePoint now);

    /** @return the limit in use, from 1 to the configured bound. */
    double limit() const { return m_limit; }

private:
    /** Samples of one kind in the present window. */
    struct Samples
    {
        std::uint32_t count = 0;
        std::uint32_t late = 0;
        std::uint32_t near = 0;
        double sum = 0;

        void add(double ratio, double lateRatio, double nearRatio);
        double mean() const { return count > 0 ? sum / count : 0; }
        /** @return true when @p n of the samples are more than come by chance. */
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
    /** Limit and mean first token before the first of a row of cuts; 0 without one. */
    double m_limitBeforeDecreases = 0;
    double m_firstTokenBeforeDecreases = 0;
    TimePoint m_ignoreFirstTokenUntil{};
    Duration m_ignoreTime{0};
    /** The limit at the last cut. */
    double m_ceiling = 0;
    TimePoint m_windowStart{};
    TimePoint m_cooldownEnd{};
    TimePoint m_lastProbe{};
    double m_probeStep = 1;
};

} // namespace hawthornslip
