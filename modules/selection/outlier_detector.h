#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hawthornslip {

/** Why an upstream is an outlier. */
enum class OutlierKind { None, Failing, Slow };

/**
 * Detects upstreams that fail or are much slower than the others of their group, ejects them for a
 * while and then ramps up their share of requests. At most a third of the group (of two upstreams,
 * one) is ejected at a time, because more outliers suggest that the fault lies elsewhere.
 */
class OutlierDetector
{
public:
    /** Sets the number of upstreams; the state of those with smaller indices is kept. */
    void resize(std::size_t count) { m_states.resize(count); }

    /** Clears the state of upstream @p i, because another upstream gets its index. */
    void reset(std::size_t i) { m_states[i] = State{}; }

    /** Records a latency of an answer, as a multiple of its target. */
    void observeLatency(std::size_t i, double ratioToTarget);

    /** Records an attempt that completed its answer. */
    void observeSuccess(std::size_t i) { m_states[i].consecutiveFailures = 0; }

    /** Records an attempt that failed because of upstream @p i. */
    void observeFailure(std::size_t i);

    /**
     * Ejects outliers and readmits upstreams whose ejection has ended.
     *
     * @param usable number of upstreams that the limit of ejections is computed from.
     * @return the indices of the upstreams that were ejected by this call.
     */
    std::vector<std::size_t> update(std::size_t usable, TimePoint now);

    /** @return the fraction of its limit that upstream @p i may use, from 0 (ejected) to 1. */
    double share(std::size_t i, TimePoint now) const;

    /** @return the ejections of upstream @p i since its count was last reset. */
    std::uint32_t ejections(std::size_t i) const { return m_states[i].ejections; }

private:
    struct State
    {
        double latencyRatio = 0;
        std::uint32_t samples = 0;
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t ejections = 0;
        bool ejected = false;
        TimePoint ejectedUntil{};
        TimePoint readmittedAt{};
    };

    double medianRatio() const;
    OutlierKind classify(const State &state, double median) const;

    std::vector<State> m_states;
};

} // namespace hawthornslip
