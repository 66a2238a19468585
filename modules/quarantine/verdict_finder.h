#pragma once

#include "modules/quarantine/crash_evidence.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace hawthornslip {

/** An observation with those of its segments that no later answer has cleared. */
struct SuspectObservation
{
    const CrashObservation *observation = nullptr;
    std::vector<std::uint64_t> suspects;
};

/** What the requests that crashed upstreams have in common. */
struct Verdict
{
    /** A request with all of these is refused; sorted. */
    std::vector<std::uint64_t> segments;
    /** Only requests of this workspace are refused, if set. */
    std::optional<std::uint64_t> workspace;
    std::size_t crashes = 0;
    /** Crashes that each were caused by a request sent after the one before. */
    std::size_t rounds = 0;
    TimePoint lastCrashAt{};
    /** Ids of the observations behind it. */
    std::vector<std::uint64_t> support;

    /** @return true when a request with @p traits is refused. */
    bool covers(const PromptTraits &traits) const;
};

/** @return true when a segment was answered soundly shortly before, or after, a crash at a time. */
using IsAnswered = std::function<bool(std::uint64_t segment, TimePoint crashedAt)>;

/**
 * Explains crashes by as few prompt segments as possible. Most requests at an upstream that ends
 * are bystanders, and upstreams also end for other reasons, many at the same time.
 *
 * @param isAnswered segments for which it is true explain only what others cannot.
 */
std::vector<Verdict> findVerdicts(const std::vector<SuspectObservation> &observations,
                                  const IsAnswered &isAnswered);

} // namespace hawthornslip
