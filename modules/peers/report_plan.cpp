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
// A second one passes the sum on when the first one is lost.
constexpr std::size_t kRecipientsPerDomain = 2;

Duration intervalFor(std::size_t recipients)
{
    return std::max<Duration>(kMinInterval,
                              kIntervalPerRecipient * static_cast<std::int64_t>(recipients));
}

/** @return the nodes of another domain, @p nodes, that get a sum and pass it on. */
std::vector<NodeId> recipientsOf(const std::vector<ReportPeer> &nodes, std::size_t round)
{
    std::vector<NodeId> heard;
    for (const auto &it : nodes) {
        if (it.silence < kRecipientSilence)
            heard.emplace_back(it.address);
    }
    // After a cut, both sides would wait for the sum of the other one for ever.
    if (heard.empty())
        return {NodeId(nodes[round % nodes.size()].address)};
    return rendezvousOrder(kSummarizerKey, heard, kRecipientsPerDomain);
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
    if (plan.isSummarizer) {
        for (const auto &[name, nodes] : others) {
            for (const auto &it : recipientsOf(nodes, round))
                plan.summaryRecipients.push_back(it.value);
        }
    }
    return plan;
}

} // namespace hawthornslip
