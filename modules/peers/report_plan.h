#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "modules/peers/sum_tree.h"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace hawthornslip {

/** Another node, as far as the distribution of load reports depends on it. */
struct ReportPeer
{
    /** `ip:port` on which it receives reports. */
    std::string address;
    FailureDomain domain;
    /** Time since it was last heard. */
    Duration silence{0};
};

/** Which nodes get this node's load reports, and how often. */
struct ReportPlan
{
    /** Nodes that get this node's own reports. */
    std::vector<std::string> recipients;
    /** Time between two reports, so that a node receives a bounded number per second. */
    Duration interval{0};
    /** The nodes of a failure domain are reported to other domains as one sum. */
    bool usesSummaries = false;
    /** This node sends the sum of its failure domain. */
    bool isSummarizer = false;
    /** Nodes of other failure domains that get each copy of the sum and pass it on. */
    std::array<std::vector<std::string>, kSumCopies> summaryRecipients;
    /** This node and those of its failure domain that are heard; empty without summaries. */
    std::vector<NodeId> domainNodes;
};

/** Time between two summaries of a failure domain. */
inline constexpr Duration kSummaryInterval = milliseconds(250);

/**
 * Plans how load reports are distributed.
 *
 * With few nodes each one reports to all others. The interval between reports grows with the
 * number of recipients, and the traffic between failure domains with its square. As soon as a sum
 * for each domain, in two steps, is fresher than reports of all nodes to all others, nodes report
 * within their domain only, and one of them, chosen by rendezvous hashing, sends two copies of the
 * sum to each other domain, whose nodes pass them on as SumTree says.
 *
 * @param self this node's address.
 * @param domain this node's failure domain.
 * @param peers all other nodes.
 * @param round number of the plan; selects the node of a silent domain that is tried.
 */
ReportPlan planReports(const std::string &self, const FailureDomain &domain,
                       const std::vector<ReportPeer> &peers, std::size_t round = 0);

} // namespace hawthornslip
