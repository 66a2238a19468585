#pragma once

#include "modules/quarantine/evidence_log.h"

namespace hawthornslip {

/** Evidence about crashes that the load reports carry between nodes. */
class PeerEvidence
{
public:
    virtual ~PeerEvidence() = default;

    /** @return the evidence for a report to @p receivers. */
    virtual CrashEvidence evidenceForReport(const ReportReceivers &receivers) = 0;
    /** @return the evidence for a summary of this node's failure domain. */
    virtual CrashEvidence evidenceForSummary() = 0;
    /** Handles evidence from another node. */
    virtual void onPeerEvidence(const CrashEvidence &evidence, NewsOrigin origin) = 0;
};

} // namespace hawthornslip
