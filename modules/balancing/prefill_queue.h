#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>

namespace hawthornslip {

/** Levels of urgency that engines tell apart; 0 is the most urgent. */
inline constexpr std::size_t kUrgencyLevels = 10;

/** Amounts of tokens by urgency. */
template <typename Number>
using TokensByLevel = std::array<Number, kUrgencyLevels>;

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
    void add(std::size_t level, double tokens, TimePoint now);

    /** @return how long a prompt that is sent now waits before it is read. */
    Duration wait(std::size_t level, TimePoint now) const;

    /** @return how long the engine takes to read @p tokens of a prompt. */
    Duration readTime(double tokens) const;

    /** Sets how fast the engine reads prompts. */
    void setRate(double tokensPerSecond) { m_tokensPerSecond = tokensPerSecond; }

private:
    TokensByLevel<double> drainedAt(TimePoint now) const;

    TokensByLevel<double> m_tokens{};
    TimePoint m_at{};
    double m_tokensPerSecond;
};

/**
 * Learns how fast the engines of a service read prompts. A node sees each engine seldom, so that
 * all of them together are the measure.
 */
class ReadingRate
{
public:
    ReadingRate();

    /**
     * Learns from a prompt that found its engine idle.
     *
     * @param tokens that had to be read.
     * @param took from sending to the first event.
     */
    void observe(double tokens, Duration took);

    double tokensPerSecond() const { return m_tokensPerSecond; }

private:
    double m_tokensPerSecond;
};

} // namespace hawthornslip
