#pragma once

#include "modules/peers/peer_loads.h"
#include "modules/peers/report_filter.h"
#include "servers/gateway/gateway.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/engine_sim.h"
#include "tests/support/manual_loop.h"
#include "tests/support/plain_dialect.h"
#include "tests/support/silent_probe.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornslip::test {

/** What a caller got. */
struct CallerView
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
    bool ended = false;
    bool aborted = false;
    TimePoint sentAt{};
    TimePoint firstAt{};
    TimePoint lastAt{};
    TimePoint endedAt{};
    Duration longestPause{0};

    /** @return true for a whole success with its first event and all pauses in time. */
    bool isInTime(Duration first, Duration pause) const
    {
        return ended && status == 200 && firstAt - sentAt <= first && longestPause <= pause;
    }
};

/** Writes an answer into a CallerView. */
class ViewWriter : public ResponseWriter
{
public:
    ViewWriter(ManualLoop &loop, std::shared_ptr<CallerView> view)
        : m_loop(loop)
        , m_view(std::move(view))
    {}

    void begin(int status, const HttpHeaders &headers, std::optional<std::size_t>) override
    {
        m_view->status = status;
        m_view->headers = headers;
    }
    void write(std::string_view piece) override
    {
        const TimePoint now = m_loop.now();
        if (m_view->body.empty())
            m_view->firstAt = now;
        else
            m_view->longestPause = std::max(m_view->longestPause, now - m_view->lastAt);
        m_view->lastAt = now;
        m_view->body += piece;
    }
    void end() override
    {
        m_view->ended = true;
        m_view->endedAt = m_loop.now();
    }
    void abort() override
    {
        m_view->aborted = true;
        m_view->endedAt = m_loop.now();
    }
    std::size_t unsentBytes() const override { return 0; }

private:
    ManualLoop &m_loop;
    std::shared_ptr<CallerView> m_view;
};

/** A few gateways in virtual time that tell each other their loads. */
class GatewayFleet
{
public:
    ManualLoop loop;
    PlainDialect dialect;
    CountingMetrics metrics;
    SilentProbe probe;

    /** @param client is used by all of them and outlives the fleet. */
    GatewayFleet(std::size_t count, UpstreamClient &client, const RoutingConfig &config,
                 const std::vector<UpstreamEntry> &upstreams)
    {
        GatewaySettings settings;
        settings.retryRatio = 0.2;
        for (std::size_t i = 0; i < count; ++i) {
            auto node = std::make_unique<Node>();
            node->gateway = std::make_unique<Gateway>(
                    GatewayParts{loop, dialect, client, probe, metrics}, settings, i + 1);
            node->peers = std::make_unique<PeerLoads>(*node->gateway);
            feed(*node->gateway, config, upstreams);
            m_nodes.push_back(std::move(node));
        }
        report();
    }

    Gateway &gateway(std::size_t i) { return *m_nodes[i]->gateway; }

    /** Sends a request to gateway @p i. */
    std::shared_ptr<CallerView> call(std::size_t i, const std::string &path, HttpHeaders headers)
    {
        auto view = std::make_shared<CallerView>();
        view->sentAt = loop.now();
        HttpRequest request;
        request.method = "POST";
        request.path = path;
        request.headers = std::move(headers);
        request.headers.emplace_back("host", "fleet.example");
        m_events.push_back(m_nodes[i]->gateway->onRequest(
                std::move(request), std::make_shared<ViewWriter>(loop, view)));
        return view;
    }

    /** Tells the last request that the process holds too many bytes. */
    void endLastForMemory() { m_events.back()->onMemoryFull(); }

    /** Lets the caller of the last request leave. */
    void leaveLast() { m_events.back()->onCallerGone(); }

private:
    struct Node
    {
        std::unique_ptr<Gateway> gateway;
        std::unique_ptr<PeerLoads> peers;
        ReportFilter filter;
    };

    void feed(Gateway &gateway, const RoutingConfig &config,
              const std::vector<UpstreamEntry> &upstreams)
    {
        gateway.state().configSink().onList({{"main", false, config, ""}});
        gateway.state().configSink().onConfirmed(loop.now(), {0, 1});
        std::vector<FeedItem<UpstreamEntry>> items;
        for (const auto &it : upstreams)
            items.push_back({it.id.value, false, it, ""});
        gateway.state().upstreamSink().onList(items);
    }

    void report()
    {
        // As the load exchange: at most about 250 reports a second to each node.
        const auto nodes = static_cast<std::int64_t>(m_nodes.size());
        const Duration pause = std::max<Duration>(milliseconds(25), milliseconds(4) * nodes);
        ++m_sequence;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            PeerReport report;
            report.node = std::to_string(i);
            report.sequence = m_sequence;
            m_nodes[i]->gateway->collectLoads(report);
            report.loads = m_nodes[i]->filter.select(report.loads);
            for (std::size_t to = 0; to < m_nodes.size(); ++to) {
                if (to != i)
                    m_nodes[to]->peers->onReport(report, loop.now());
            }
        }
        loop.after(pause, [this] { report(); });
    }

    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::shared_ptr<CallerEvents>> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace hawthornslip::test
