#pragma once

#include <cstddef>
#include <string>

namespace hawthornslip {

/** Parameters of a scheduler; each mechanism can be switched off to measure what it brings. */
struct SchedulerOptions
{
    /** Starts each grant id; differs between owners, starts of an owner and groups. */
    std::string grantPrefix = "g";
    /** Most queued requests of one tier. */
    std::size_t queueBound = 20000;
    /** Slots guaranteed to the lowest tier. */
    double lowestTierShare = 0.05;
    /** Weight of tier 1 against 1 of tier 2 in what tier 0 leaves. */
    double middleTierWeight = 4;

    bool prefixAffinity = true;
    bool preemption = true;
    bool earlyRefusal = true;
    bool adaptiveConcurrency = true;
    bool ejection = true;
    bool fairness = true;
};

} // namespace hawthornslip
