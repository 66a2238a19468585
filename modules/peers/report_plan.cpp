#include "modules/peers/report_plan.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>
#include <map>

namespace hawthornslip {

namespace {

// The interval between a node's reports grows by this for each recipient, so that a node receives
// at most about 250 reports per second.
constexpr Duration kIntervalPerRecipient = milliseconds(4);
constexpr Duration kMinInterval = milliseconds(25);
// An idle node reports every second. A summarizer that misses two reports is replaced before its
// last sum expires at the other nodes.
constexpr Duration kSummarizerSilence = milliseconds(2300);
// As in the list of peers.
constexpr Duration kRecipientSilence = seconds(4);
constexpr std::string_view kSummarizerKey = "summarizer";

Duration intervalFor(std::size_t recipients)
{
    return std::max<Duration>(kMinInterval,
                              kIntervalPerRecipient * static_cast<std::int64_t>(recipients));
}

/** @return the node of another domain, @p nodes, that gets copy @p copy of the sum of @p source. */
std::string entryOf(const FailureDomain &source, std::size_t copy,
                    const std::vector<ReportPeer> &nodes, std::size_t round)
{
    std::vector<NodeId> heard;
    for (const auto &it : nodes) {
        if (it.silence < kRecipientSilence)
            heard.emplace_back(it.address);
    }
    if (!heard.empty())
        return SumTree(source, copy, heard).root()->value;
    // After a cut, both sides would wait for the sum of the other one for ever.
    return nodes[(round + copy) % nodes.size()].address;
}

} // namespace

ReportPlan planReports(const std::string &self, const FailureDomain &domain,
                       const std::vector<ReportPeer> &peers, std::size_t round)
{
    ReportPlan plan;
    std::vector<std::string> all;
    std::vector<std::string> own;
    std::vector<NodeId> candidates = {NodeId(self)};
    std::map<std::string, std::vector<ReportPeer>> others;
    bool areDomainsKnown = !domain.value.empty();
    for (const auto &it : peers) {
        all.push_back(it.address);
        areDomainsKnown = areDomainsKnown && !it.domain.value.empty();
        if (it.domain == domain) {
            own.push_back(it.address);
            if (it.silence < kSummarizerSilence)
                candidates.emplace_back(it.address);
        } else {
            others[it.domain.value].push_back(it);
        }
    }
    const Duration interval = intervalFor(own.size());
    plan.usesSummaries = areDomainsKnown && intervalFor(all.size()) > interval + kSummaryInterval;
    if (!plan.usesSummaries) {
        plan.interval = intervalFor(all.size());
        plan.recipients = std::move(all);
        return plan;
    }
    plan.interval = interval;
    plan.recipients = std::move(own);
    plan.isSummarizer = rendezvousOwner(kSummarizerKey, candidates).value == self;
    plan.domainNodes = std::move(candidates);
    if (plan.isSummarizer) {
        for (const auto &[name, nodes] : others) {
            for (std::size_t i = 0; i < kSumCopies; ++i)
                plan.summaryRecipients[i].push_back(entryOf(domain, i, nodes, round));
        }
    }
    return plan;
}

} // namespace hawthornslip
