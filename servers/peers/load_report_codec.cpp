#include "servers/peers/load_report_codec.h"

#include "gateway.pb.h"

#include <algorithm>

namespace hawthornslip {

std::string encodeReport(const PeerReport &report)
{
    gateway::LoadReport message;
    message.set_node(report.node);
    message.set_boot(report.boot);
    message.set_sequence(report.sequence);
    message.set_domain(report.domain);
    message.set_summary(report.isSummary);
    message.set_forwarded(report.isForwarded);
    for (const auto &it : report.heardNodes)
        message.add_heard_nodes(it);
    for (const auto &it : report.loads) {
        auto *load = message.add_loads();
        load->set_upstream(it.upstreamHash);
        load->set_running(it.running);
        load->set_sensitive(it.sensitive);
        // Omits trailing urgency levels without tokens.
        std::size_t levels = kUrgencyLevels;
        while (levels > 0 && it.promptTokens[levels - 1] == 0)
            --levels;
        for (std::size_t i = 0; i < levels; ++i)
            load->add_prompt_tokens(it.promptTokens[i]);
    }
    for (const auto &[service, it] : report.demands) {
        auto *demand = message.add_demands();
        demand->set_service(service);
        demand->set_tolerant_tokens(it.tolerantTokens);
        demand->set_sensitive_tokens(it.sensitiveTokens);
    }
    return message.SerializeAsString();
}

std::optional<PeerReport> decodeReport(const std::string &bytes)
{
    gateway::LoadReport message;
    if (!message.ParseFromString(bytes) || message.node().empty())
        return std::nullopt;
    PeerReport report;
    report.node = message.node();
    report.boot = message.boot();
    report.sequence = message.sequence();
    report.domain = message.domain();
    report.isSummary = message.summary();
    report.isForwarded = message.forwarded();
    report.heardNodes.assign(message.heard_nodes().begin(), message.heard_nodes().end());
    for (const auto &it : message.loads()) {
        NodeLoad load{it.upstream(), it.running(), it.sensitive(), {}};
        const auto levels = std::min<std::size_t>(kUrgencyLevels, it.prompt_tokens().size());
        for (std::size_t i = 0; i < levels; ++i)
            load.promptTokens[i] = it.prompt_tokens(static_cast<int>(i));
        report.loads.push_back(load);
    }
    for (const auto &it : message.demands())
        report.demands.emplace_back(it.service(),
                                    NodeDemand{it.tolerant_tokens(), it.sensitive_tokens()});
    return report;
}

} // namespace hawthornslip
