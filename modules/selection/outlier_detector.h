#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hawthornslip {

/** Why an upstream is an outlier. */
enum class OutlierKind { None, Failing, Slow };

/**
 * Notices upstreams that fail or are much slower than the others of their group, takes them out for
 * a while and lets them return slowly. Never more than a third of the group is out at a time, as
 * more would be a sign that the fault lies elsewhere.
 */
class OutlierDetector
{
public:
    /** Sets the number of upstreams; the state of the first ones is kept. */
    void resize(std::size_t count) { m_states.resize(count); }

    /** Forgets what is known of upstream @p i, whose place another one takes. */
    void reset(std::size_t i) { m_states[i] = State{}; }

    /** Takes a time of an answer as a multiple of its target. */
    void observeLatency(std::size_t i, double ratioToTarget);

    /** Takes an attempt that brought its whole answer. */
    void observeSuccess(std::size_t i) { m_states[i].consecutiveFailures = 0; }

    /** Takes an attempt that failed for a reason that lies with upstream @p i. */
    void observeFailure(std::size_t i);

    /**
     * Ejects and readmits.
     *
     * @param usable how many upstreams the cap refers to.
     * @return the indices of the upstreams that were ejected by this call.
     */
    std::vector<std::size_t> update(std::size_t usable, TimePoint now);

    /** @return the part of its limit that upstream @p i may use: 0 while ejected, up to 1. */
    double share(std::size_t i, TimePoint now) const;

    /** @return how often upstream @p i was ejected since it last ran well for long. */
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
