#include "servers/peers/load_report_codec.h"

#include "gateway.pb.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace hawthornslip {

namespace {

std::uint32_t ageOf(TimePoint at, TimePoint now)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
            toMillis(now - at), 0, std::numeric_limits<std::uint32_t>::max()));
}

void encodeUses(const std::vector<WorkspaceUse> &uses, gateway::ServiceDemand &message)
{
    const auto millis = [](Duration time) {
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
                toMillis(time), 0, std::numeric_limits<std::uint32_t>::max()));
    };
    for (const auto &it : uses) {
        auto *use = message.add_uses();
        use->set_workspace(it.workspace);
        use->set_asked(millis(it.asked));
        use->set_given(millis(it.given));
    }
}

void encodeEvidence(const CrashEvidence &evidence, TimePoint now, gateway::LoadReport &message)
{
    for (const auto &it : evidence.observations) {
        auto *crash = message.add_crashes();
        crash->set_id(it.id);
        crash->set_upstream(it.upstream);
        for (const std::uint64_t segment : it.traits.segments)
            crash->add_segments(segment);
        crash->set_workspace(it.traits.workspace);
        crash->set_sent_age(ageOf(it.sentAt, now));
        crash->set_crash_age(ageOf(it.crashedAt, now));
        crash->set_begun(it.hadBegun);
    }
    for (const auto &it : evidence.clearances) {
        auto *cleared = message.add_cleared();
        cleared->set_segment(it.segment);
        cleared->set_age(ageOf(it.begunAt, now));
    }
}

CrashEvidence decodeEvidence(const gateway::LoadReport &message, TimePoint now)
{
    CrashEvidence evidence;
    for (const auto &it : message.crashes()) {
        CrashObservation seen;
        seen.id = it.id();
        seen.upstream = it.upstream();
        seen.traits.segments.assign(it.segments().begin(), it.segments().end());
        seen.traits.workspace = it.workspace();
        seen.sentAt = now - milliseconds(it.sent_age());
        seen.crashedAt = now - milliseconds(it.crash_age());
        seen.hadBegun = it.begun();
        evidence.observations.push_back(std::move(seen));
    }
    for (const auto &it : message.cleared())
        evidence.clearances.push_back({it.segment(), now - milliseconds(it.age())});
    return evidence;
}

std::vector<LimitNotice> decodeLimits(const gateway::LoadReport &message, TimePoint now)
{
    std::vector<LimitNotice> limits;
    for (const auto &it : message.limits()) {
        LimitNotice notice{it.upstream(), std::nullopt, now - milliseconds(it.age())};
        if (it.limited()) {
            if (!std::isfinite(it.requests_per_second()) || it.requests_per_second() < 0)
                continue;
            notice.requestsPerSecond = it.requests_per_second();
        }
        limits.push_back(notice);
    }
    return limits;
}

} // namespace

std::string encodeReport(const PeerReport &report, TimePoint now)
{
    gateway::LoadReport message;
    message.set_node(report.node);
    message.set_boot(report.boot);
    message.set_sequence(report.sequence);
    message.set_domain(report.domain);
    message.set_summary(report.isSummary);
    message.set_forwarded(report.isForwarded);
    message.set_copy(static_cast<std::uint32_t>(report.copy));
    message.set_usage(report.usage);
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
        if (it.speed) {
            load->set_speed_samples(it.speed->samples);
            load->set_log_slowness(it.speed->logSlowness);
        }
    }
    for (const auto &[service, it] : report.demands) {
        auto *demand = message.add_demands();
        demand->set_service(service);
        demand->set_tolerant_tokens(it.tolerantTokens);
        demand->set_sensitive_tokens(it.sensitiveTokens);
        demand->set_requests(it.requests);
        demand->set_tolerant_requests(it.tolerantRequests);
        if (const auto uses = report.uses.find(service); uses != report.uses.end())
            encodeUses(uses->second, *demand);
    }
    encodeEvidence(report.evidence, now, message);
    for (const auto &it : report.limits) {
        auto *limit = message.add_limits();
        limit->set_upstream(it.upstream);
        limit->set_limited(it.requestsPerSecond.has_value());
        limit->set_requests_per_second(it.requestsPerSecond.value_or(0));
        limit->set_age(ageOf(it.saidAt, now));
    }
    return message.SerializeAsString();
}

std::optional<PeerReport> decodeReport(const std::string &bytes, TimePoint now)
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
    report.copy = message.copy();
    report.usage = message.usage();
    report.heardNodes.assign(message.heard_nodes().begin(), message.heard_nodes().end());
    for (const auto &it : message.loads()) {
        NodeLoad load{it.upstream(), it.running(), it.sensitive(), {}, std::nullopt};
        const auto levels = std::min<std::size_t>(kUrgencyLevels, it.prompt_tokens().size());
        for (std::size_t i = 0; i < levels; ++i)
            load.promptTokens[i] = it.prompt_tokens(static_cast<int>(i));
        if (it.has_speed_samples())
            load.speed = EngineSpeedSums{it.speed_samples(), it.log_slowness()};
        report.loads.push_back(load);
    }
    for (const auto &it : message.demands()) {
        report.demands.emplace_back(it.service(),
                                    NodeDemand{it.tolerant_tokens(), it.sensitive_tokens(),
                                               it.requests(), it.tolerant_requests()});
        for (const auto &use : it.uses())
            report.uses[it.service()].push_back(
                    {use.workspace(), milliseconds(use.asked()), milliseconds(use.given())});
    }
    report.evidence = decodeEvidence(message, now);
    report.limits = decodeLimits(message, now);
    return report;
}

} // namespace hawthornslip
