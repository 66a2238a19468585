#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace hawthornslip {

/**
 * Sums of the first events that a node observed at an engine since it started. The sums of several
 * nodes add up.
 */
struct EngineSpeedSums
{
    std::uint32_t samples = 0;
    /** Sum of the natural logarithms of relative times to first event, in units of 0.01. */
    std::int64_t logSlowness = 0;

    EngineSpeedSums &operator+=(const EngineSpeedSums &other);
    /** @return what was added since @p earlier, the sums of the same node at an earlier time. */
    EngineSpeedSums operator-(const EngineSpeedSums &earlier) const;
    bool operator==(const EngineSpeedSums &) const = default;
};

/**
 * Speed of one engine relative to the others of its service.
 *
 * The estimate starts at the speed of the service, which evidence overcomes and which returns when
 * there is no new evidence, so that an engine that nobody chooses any more is tried again. It
 * follows the recent first events as soon as they differ clearly from the earlier ones.
 */
class EngineSpeed
{
public:
    /** Adds observations of this node or of a peer. */
    void add(const EngineSpeedSums &sums, TimePoint now);

    /** @return the speed as a multiple of the service's; exactly 1 while no difference is clear. */
    double factor(TimePoint now) const;

private:
    /** Mean of the last samples, with exponentially decreasing weights. */
    struct Average
    {
        double weight = 0;
        double weightedSum = 0;

        double mean() const { return weight > 0 ? weightedSum / weight : 0; }
    };

    static void add(Average &average, double samples, double logSlowness, double window);

    Average m_long;
    Average m_recent;
    TimePoint m_updatedAt{};
};

/** A first event as it is compared with others of the service. */
struct FirstEventSample
{
    /** Failure domain of the engine. */
    FailureDomain domain;
    /** Prompt tokens that the engine had to prefill, with those of earlier prompts; positive. */
    double tokens = 0;
    /** The shared prefix of the prompt was probably cached. */
    bool isCached = false;
    /** Fraction of the engine's slots that were in use, from 0. */
    double occupancy = 0;
    /** From sending the request to its first event. */
    Duration time{0};
};

/**
 * Compares the times to first event at the engines of a service.
 *
 * A time is compared only with those of requests in the same situation: a longer prompt, a busier
 * engine or a longer way through the network do not make an engine slow.
 */
class FirstEventReference
{
public:
    /**
     * Records a first event.
     *
     * @return the relative time as a single sample; nothing while too few events are known.
     */
    std::optional<EngineSpeedSums> observe(const FirstEventSample &sample);

private:
    static constexpr std::size_t kLengthClasses = 4;
    static constexpr std::size_t kOccupancyClasses = 4;

    struct Average
    {
        double samples = 0;
        double mean = 0;

        void add(double value, double window);
    };

    static std::size_t lengthClassOf(double tokens);
    Duration withoutDistance(const FirstEventSample &sample);

    /** Logarithm of the seconds per token by the length of the prompt. */
    std::array<Average, kLengthClasses> m_byLength{};
    /** What the other properties of a situation add to it. */
    std::array<Average, kOccupancyClasses> m_byOccupancy{};
    std::array<Average, 2> m_byCached{};
    /** Shortest recent time in seconds of a short prompt by the failure domain of the engine. */
    std::map<FailureDomain, double> m_shortest;
};

} // namespace hawthornslip
