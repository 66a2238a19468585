#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>

namespace hawthornslip {

/** Levels of urgency that engines tell apart; 0 is the most urgent. */
inline constexpr std::size_t kUrgencyLevels = 10;

/** Amounts of tokens by urgency. */
template <typename Number>
using TokensByUrgency = std::array<Number, kUrgencyLevels>;

/**
 * Estimates how long a new prompt waits at one engine until the prompts before it are read, from
 * the tokens that all nodes sent there. It counts with only a part of the engine's reading rate:
 * the rest is left for the streams beside, whose tokens would otherwise come a chunk of a prompt
 * apart. Engines read more urgent prompts first.
 */
class PrefillQueue
{
public:
    PrefillQueue();

    /** Notes that @p tokens of a prompt were sent to the engine. */
    void add(std::size_t urgency, double tokens, TimePoint now);

    /** @return how long a prompt that is sent now waits before it is read. */
    Duration wait(std::size_t urgency, TimePoint now) const;

    /** @return how long the engine takes to read @p tokens of a prompt. */
    Duration prefillTime(double tokens) const;

    /** Sets how fast the engine reads prompts. */
    void setTokensPerSecond(double tokensPerSecond) { m_tokensPerSecond = tokensPerSecond; }

private:
    TokensByUrgency<double> drainedAt(TimePoint now) const;

    TokensByUrgency<double> m_tokens{};
    TimePoint m_updatedAt{};
    double m_tokensPerSecond;
};

/**
 * Learns how fast the engines of a service read prompts. A node sees each engine seldom, so that
 * all of them together are the measure.
 */
class PrefillRateEstimator
{
public:
    PrefillRateEstimator();

    /**
     * Learns from a prompt that found its engine idle.
     *
     * @param tokens that had to be read.
     * @param timeToFirstEvent from sending to the first event.
     */
    void observe(double tokens, Duration timeToFirstEvent);

    double tokensPerSecond() const { return m_tokensPerSecond; }

private:
    double m_tokensPerSecond;
};

} // namespace hawthornslip
