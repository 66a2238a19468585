#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hawthornslip {

/** Properties of a request that other requests share. */
struct PromptTraits
{
    /** Hashes of the prompt segments that others may share, in order; without the last one. */
    std::vector<std::uint64_t> segments;
    /** Hash of the workspace's name; 0 without one. */
    std::uint64_t workspace = 0;
};

/** An upstream process ended while it had a request whose answer had not gone on yet. */
struct CrashObservation
{
    /** The same at each node that is told of it. */
    std::uint64_t id = 0;
    /** Hash of the upstream's id. */
    std::uint64_t upstream = 0;
    PromptTraits traits;
    TimePoint sentAt{};
    TimePoint crashedAt{};
    /** The head of the answer had come. */
    bool hadBegun = false;
};

/** An upstream answered a request with the segment soundly, which clears it of earlier crashes. */
struct SegmentClearance
{
    std::uint64_t segment = 0;
    /** When that answer began. */
    TimePoint begunAt{};
};

/** Who a report goes to. */
struct ReportReceivers
{
    /** Nodes that get it. */
    std::size_t recipients = 0;
    /** Nodes of the whole deployment. */
    std::size_t nodes = 1;
};

/** What nodes tell each other about crashes. */
struct CrashEvidence
{
    std::vector<CrashObservation> observations;
    std::vector<SegmentClearance> clearances;
};

} // namespace hawthornslip
