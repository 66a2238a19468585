#pragma once

#include <cstddef>
#include <string>

namespace hawthornslip {

/** Parameters of a scheduler; each mechanism can be disabled to measure its effect. */
struct SchedulerOptions
{
    /** Prefix of each grant id; differs between owners, incarnations of an owner and groups. */
    std::string grantPrefix = "g";
    /** Maximum number of queued requests per tier; for FifoScheduler, of all tiers together. */
    std::size_t queueBound = 20000;
    /** Fraction of the slots that is guaranteed to the lowest tier. */
    double lowestTierShare = 0.05;
    /** Weight of tier 1 relative to tier 2 in sharing the slots that tier 0 leaves. */
    double middleTierWeight = 4;

    bool prefixAffinity = true;
    bool preemption = true;
    bool earlyRefusal = true;
    bool adaptiveConcurrency = true;
    bool ejection = true;
    bool fairness = true;
};

} // namespace hawthornslip
