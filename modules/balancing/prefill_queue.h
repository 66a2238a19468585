#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>

namespace hawthornslip {

/** Number of urgency levels that engines distinguish; 0 is the most urgent. */
inline constexpr std::size_t kUrgencyLevels = 10;

/** Token counts by urgency. */
template <typename Number>
using TokensByUrgency = std::array<Number, kUrgencyLevels>;

/**
 * Estimates how long a new prompt waits at one engine until earlier prompts are prefilled, from the
 * tokens that all nodes sent there. Engines prefill more urgent prompts first.
 *
 * The estimate uses only a share of the engine's prefill rate. The rest is left for decoding:
 * otherwise each token of the running streams would wait for a prompt chunk.
 */
class PrefillQueue
{
public:
    PrefillQueue();

    /** Records that a prompt with @p tokens to prefill was sent to the engine. */
    void add(std::size_t urgency, double tokens, TimePoint now);

    /** @return the tokens that the engine prefills before those of a prompt that is sent now. */
    double tokensBefore(std::size_t urgency, TimePoint now) const;

    /** @return how long a prompt that is sent now waits before its prefill starts. */
    Duration wait(std::size_t urgency, TimePoint now) const;

    /** @return how long the engine takes to prefill @p tokens. */
    Duration timeToPrefill(double tokens) const;

    /** Sets the prefill rate of the engine. */
    void setTokensPerSecond(double tokensPerSecond) { m_tokensPerSecond = tokensPerSecond; }

private:
    TokensByUrgency<double> drainedAt(TimePoint now) const;

    TokensByUrgency<double> m_tokens{};
    TimePoint m_updatedAt{};
    double m_tokensPerSecond;
};

/**
 * Estimates the prefill rate of the engines of a service. All engines share one estimate, because a
 * node sends too few prompts to each one to measure it alone.
 */
class PrefillRateEstimator
{
public:
    PrefillRateEstimator();

    /**
     * Updates the estimate from a prompt that found its engine idle.
     *
     * @param tokens prompt tokens that were prefilled.
     * @param timeToFirstEvent time from sending the request to its first event.
     */
    void observe(double tokens, Duration timeToFirstEvent);

    /**
     * Updates the estimate of the rate without delays by other prompts. Parameters as of observe(),
     * for a prompt of any length whose shared prefix was probably cached.
     */
    void observeCached(double tokens, Duration timeToFirstEvent);

    /** @return the mean rate that prompts get, including delays by others. */
    double tokensPerSecond() const { return m_tokensPerSecond; }
    /** @return the rate at which an engine prefills a prompt that no other one delays. */
    double peakTokensPerSecond() const { return m_peakTokensPerSecond; }

private:
    double m_tokensPerSecond;
    double m_peakTokensPerSecond;
    /** Time to the first event without prefill and without delays by other requests. */
    double m_overheadSeconds;
};

} // namespace hawthornslip
