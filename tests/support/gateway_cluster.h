#pragma once

#include "servers/gateway/gateway.h"
#include "servers/peers/load_exchange.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/gateway_fleet.h"
#include "tests/support/manual_loop.h"
#include "tests/support/plain_dialect.h"

#include <fmt/format.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hawthornslip::test {

/** Gateways of several failure domains in virtual time, with their load exchange on a network. */
class GatewayCluster
{
public:
    /** @param client and @p probe are used by all gateways and outlive the cluster. */
    GatewayCluster(ManualLoop &loop, std::size_t nodes, std::size_t domains, UpstreamClient &client,
                   ConnectionProbe &probe, RoutingConfig config,
                   std::vector<UpstreamEntry> upstreams)
        : m_loop(loop)
        , m_client(client)
        , m_probe(probe)
        , m_config(std::move(config))
        , m_upstreams(std::move(upstreams))
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            const NodeEntry entry{fmt::format("10.0.{}.{}:7000", i / 100, i % 100),
                                  FailureDomain(fmt::format("domain-{}", i % domains))};
            m_peers.push_back({entry.address, false, entry, ""});
        }
        m_nodes.resize(nodes);
        for (std::size_t i = 0; i < nodes; ++i)
            restart(i);
        m_loop.advance(seconds(3));
    }

    std::size_t size() const { return m_nodes.size(); }
    Gateway &gateway(std::size_t i) { return m_nodes[i]->gateway; }

    /** Replaces node @p i by a new process that knows the shared state of the store only. */
    void restart(std::size_t i)
    {
        // Timers of the ended process still refer to it.
        if (m_nodes[i])
            m_ended.push_back(std::move(m_nodes[i]));
        m_nodes[i] = std::make_unique<Node>(*this, *m_peers[i].value, ++m_starts);
        feed(m_nodes[i]->gateway);
        m_nodes[i]->exchange.start();
        m_nodes[i]->exchange.onList(m_peers);
    }

    /** Loses each datagram with this probability. */
    void setLoss(double share) { m_loss = share; }

    /** Sends a request to node @p i. */
    std::shared_ptr<CallerView> call(std::size_t i, const std::string &path, HttpHeaders headers)
    {
        auto view = std::make_shared<CallerView>();
        view->sentAt = m_loop.now();
        HttpRequest request;
        request.method = "POST";
        request.path = path;
        request.headers = std::move(headers);
        request.headers.emplace_back("host", "fleet.example");
        m_events.push_back(gateway(i).onRequest(std::move(request),
                                                std::make_shared<ViewWriter>(m_loop, view)));
        return view;
    }

    /** Bytes of peer messages sent by all nodes. */
    double peerBytes = 0;

private:
    static constexpr Duration kLatency = milliseconds(1);

    class Node : public PeerTransport, public NodeRegistry
    {
    public:
        Node(GatewayCluster &cluster, const NodeEntry &entry, std::uint64_t seed)
            : self(entry)
            , gateway(GatewayParts{cluster.m_loop, cluster.m_dialect, cluster.m_client,
                                   cluster.m_probe, cluster.m_metrics},
                      settings(), seed)
            , exchange(
                      {cluster.m_loop, *this, *this, cluster.m_metrics, gateway.promptGuard(),
                       gateway.upstreamLimits()},
                      entry, [this](PeerReport &report) { gateway.collectLoads(report); }, gateway,
                      seed)
            , m_cluster(cluster)
        {
            gateway.onLoadChanged([this] { exchange.onLoadChanged(); });
            gateway.promptGuard().onNews([this] { exchange.onLoadChanged(); });
            gateway.upstreamLimits().onNews([this] { exchange.onLoadChanged(); });
        }

        void setReceiver(Receiver receiver) override { m_receiver = std::move(receiver); }
        void send(const NodeId &to, std::string bytes) override
        {
            if (!m_cluster.isCurrent(this))
                return;
            m_cluster.peerBytes += static_cast<double>(bytes.size());
            m_cluster.deliver(to.value, std::move(bytes));
        }
        void disconnect(const NodeId &) override {}
        void announce(const std::string &, std::function<void(bool)> done) override { done(true); }
        void deregister(const std::string &) override {}
        void receive(const std::string &bytes) { m_receiver(bytes); }

        NodeEntry self;
        Gateway gateway;
        LoadExchange exchange;

    private:
        static GatewaySettings settings()
        {
            GatewaySettings settings;
            settings.retryRatio = 0.2;
            return settings;
        }

        GatewayCluster &m_cluster;
        Receiver m_receiver;
    };

    bool isCurrent(const Node *node) const
    {
        return std::any_of(m_nodes.begin(), m_nodes.end(),
                           [node](const auto &it) { return it.get() == node; });
    }

    void deliver(const std::string &to, std::string bytes)
    {
        if (std::uniform_real_distribution<double>()(m_random) < m_loss)
            return;
        m_loop.after(kLatency, [this, to, bytes = std::move(bytes)] {
            for (auto &it : m_nodes) {
                if (it && it->self.address == to)
                    it->receive(bytes);
            }
        });
    }

    void feed(Gateway &gateway)
    {
        gateway.state().configSink().onList({{"main", false, m_config, ""}});
        gateway.state().configSink().onConfirmed(m_loop.now(), {0, 1});
        std::vector<FeedItem<UpstreamEntry>> items;
        for (const auto &it : m_upstreams)
            items.push_back({it.id.value, false, it, ""});
        gateway.state().upstreamSink().onList(items);
    }

    ManualLoop &m_loop;
    UpstreamClient &m_client;
    ConnectionProbe &m_probe;
    PlainDialect m_dialect;
    CountingMetrics m_metrics;
    RoutingConfig m_config;
    std::vector<UpstreamEntry> m_upstreams;
    std::vector<FeedItem<NodeEntry>> m_peers;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<Node>> m_ended;
    std::vector<std::shared_ptr<CallerEvents>> m_events;
    std::uint64_t m_starts = 0;
    std::mt19937_64 m_random{7};
    double m_loss = 0;
};

} // namespace hawthornslip::test
