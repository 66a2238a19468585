#include "modules/peers/domain_loads.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// Shares are decided by the largest workspaces.
constexpr std::size_t kMaxUsesInSummary = 24;

} // namespace

void DomainLoads::onPeerLoad(const LoadChange &change)
{
    Sum &sum = m_loads[change.upstreamHash];
    sum.running += change.running;
    sum.sensitive += change.sensitive;
    for (std::size_t i = 0; i < kUrgencyLevels; ++i)
        sum.promptTokens[i] += change.promptTokens[i];
    sum.speed += change.speed;
}

void DomainLoads::onPeerDemand(std::uint64_t service, const NodeDemand &added)
{
    NodeDemand &sum = m_demands[service];
    sum.tolerantTokens += added.tolerantTokens;
    sum.sensitiveTokens += added.sensitiveTokens;
    sum.requests += added.requests;
    sum.tolerantRequests += added.tolerantRequests;
}

void DomainLoads::onPeerUses(const std::string &sender, std::uint64_t service,
                             const std::vector<WorkspaceUse> &uses)
{
    auto &senders = m_uses[service];
    if (uses.empty())
        senders.erase(sender);
    else
        senders[sender] = uses;
    if (senders.empty())
        m_uses.erase(service);
}

void DomainLoads::addUsesTo(PeerReport &report) const
{
    for (const auto &[service, senders] : m_uses) {
        std::map<std::uint32_t, WorkspaceUse> sums;
        const auto add = [&sums](const std::vector<WorkspaceUse> &uses) {
            for (const auto &it : uses) {
                WorkspaceUse &sum = sums[it.workspace];
                sum.workspace = it.workspace;
                sum.asked += it.asked;
                sum.given += it.given;
            }
        };
        auto &uses = report.uses[service];
        add(uses);
        for (const auto &[sender, list] : senders)
            add(list);
        uses.clear();
        for (const auto &[workspace, sum] : sums)
            uses.push_back(sum);
        std::sort(uses.begin(), uses.end(),
                  [](const WorkspaceUse &a, const WorkspaceUse &b) { return a.asked > b.asked; });
        uses.resize(std::min(uses.size(), kMaxUsesInSummary));
    }
}

void DomainLoads::addTo(PeerReport &report) const
{
    addUsesTo(report);
    auto rest = m_loads;
    const auto add = [](NodeLoad &load, const Sum &sum) {
        load.running += static_cast<std::uint32_t>(std::max<std::int64_t>(0, sum.running));
        load.sensitive += static_cast<std::uint32_t>(std::max<std::int64_t>(0, sum.sensitive));
        for (std::size_t i = 0; i < kUrgencyLevels; ++i)
            load.promptTokens[i] += sum.promptTokens[i];
        if (!load.speed)
            load.speed.emplace();
        *load.speed += sum.speed;
    };
    for (auto &it : report.loads) {
        if (const auto node = rest.extract(it.upstreamHash))
            add(it, node.mapped());
    }
    for (const auto &[upstream, sum] : rest) {
        NodeLoad load;
        load.upstreamHash = upstream;
        add(load, sum);
        report.loads.push_back(load);
    }
    auto demands = m_demands;
    for (auto &[service, own] : report.demands) {
        if (const auto node = demands.extract(service)) {
            own.tolerantTokens += node.mapped().tolerantTokens;
            own.sensitiveTokens += node.mapped().sensitiveTokens;
            own.requests += node.mapped().requests;
            own.tolerantRequests += node.mapped().tolerantRequests;
        }
    }
    report.demands.insert(report.demands.end(), demands.begin(), demands.end());
}

} // namespace hawthornslip
