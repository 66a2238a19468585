#pragma once

#include "core/time.h"
#include "modules/scaling/peak_hold.h"

#include <cstdint>
#include <deque>

namespace hawthornslip {

/** Demand and load of one service at all nodes, as far as this node knows them. */
struct DemandSample
{
    /** Requests received since the start, served or not. */
    std::uint64_t requests = 0;
    /** Prompt tokens of these requests after their shared prefixes. */
    std::uint64_t ownTokens = 0;
    /** Prompt tokens that were sent to upstreams for prefill since the start. */
    std::uint64_t sentTokens = 0;
    /** Requests that run at upstreams now. */
    std::uint32_t running = 0;
    /** Requests that this node holds because no upstream has room. */
    std::uint32_t held = 0;
};

/** Work that one upstream of a service does. */
struct UpstreamRate
{
    /** Prompt tokens prefilled per second. */
    double prefillTokens = 0;
    /** Requests that run concurrently. */
    std::uint32_t slots = 1;
};

/** Demand in upstreams that work all the time. */
struct DemandEstimate
{
    double current = 0;
    /** When an upstream that is ordered now starts to serve. */
    double expected = 0;
    /** Highest value of @c current within the time that capacity is kept for. */
    double peak = 0;
    /** Average of @c current over about that time. */
    double mean = 0;
    /** Time since the first demand; capacity is not lowered before it covers a whole wave. */
    Duration observedFor{0};
};

/**
 * Converts the demand of all nodes into upstreams. Counts requests when they arrive, so that
 * refused and held ones raise the estimate before any upstream is busy with them.
 */
class DemandMeter
{
public:
    /** @param keepFor time that DemandEstimate::peak covers. */
    explicit DemandMeter(Duration keepFor);

    /** Adds a sample, a few times per second. */
    void add(const DemandSample &sample, const UpstreamRate &rate, Duration startTime,
             TimePoint now);

    /** @return the estimate at the last sample. */
    const DemandEstimate &estimate() const { return m_estimate; }
    /** @return true when the samples cover enough time for a rate. */
    bool isKnown() const { return m_isKnown; }

private:
    struct TimedSample
    {
        DemandSample sample;
        TimePoint at{};
    };
    struct TimedValue
    {
        double value = 0;
        TimePoint at{};
    };

    double engineTime(const DemandSample &sample, const UpstreamRate &rate, TimePoint now);
    double slopePerSecond(double current, TimePoint now);

    Duration m_keepFor;
    std::deque<TimedSample> m_samples;
    /** Values of the last seconds, the oldest first. */
    std::deque<TimedValue> m_values;
    PeakHold m_peak;
    /** Seconds that a request occupies a slot, averaged over the recent requests. */
    double m_slotSeconds = 0;
    TimePoint m_firstDemandAt{};
    bool m_isKnown = false;
    DemandEstimate m_estimate;
};

} // namespace hawthornslip
