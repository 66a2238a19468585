#include "tests/matrix/measure.h"

#include "servers/claims/claim_service.h"
#include "servers/placement/placement_service.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/sim_engines.h"
#include "tests/support/sim_membership.h"
#include "tests/support/sim_network.h"
#include "tests/support/sim_store.h"

#include <fmt/core.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace hawthornslip::matrix {

namespace {

// The platform's store answers in milliseconds.
constexpr Duration kStoreLatency = milliseconds(4);
constexpr Duration kOutcomeWait = milliseconds(100);
constexpr Duration kMeasured = seconds(60);

class FixedConfig : public ConfigSource
{
public:
    std::shared_ptr<const SharedConfig> current() const override { return config; }

    std::shared_ptr<SharedConfig> config = std::make_shared<SharedConfig>();
};

/** The outside of the measured nodes. */
struct Bed
{
    Bed()
        : network(events, 1)
        , store(events)
        , engines(events)
    {
        store.faults.latency = kStoreLatency;
    }

    test::SimEvents events;
    test::SimNetwork network;
    test::SimStore store;
    test::SimEngines engines;
    FixedConfig config;
};

struct Node
{
    Node(Bed &bed, NodeId id, const ClaimServiceOptions &options)
        : self(std::move(id))
        , transport(bed.network, self)
        , loop(bed.events.clock())
        , bus(loop, transport, metrics, self, 1)
        , client(bed.store, alive)
        , upstreams(bed.events, bed.engines, alive)
        , claims(loop, bus, membership, client, metrics, bed.events.clock(),
                 std::hash<NodeId>()(self), options)
        , placement(loop, bus, membership, client, upstreams, bed.config, metrics,
                    [] { return std::map<GroupId, double>(); })
    {}

    NodeId self;
    test::SimTransport transport;
    test::CountingMetrics metrics;
    ControlLoop loop;
    PeerBus bus;
    test::SimMembership membership;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    test::SimStoreClient client;
    test::SimUpstreamClient upstreams;
    ClaimService claims;
    PlacementService placement;
};

/** Nodes of which each sees all others, run in virtual time. */
class Fleet
{
public:
    Fleet(int nodes, int domains, const ClaimServiceOptions &options)
    {
        for (int i = 0; i < domains; ++i) {
            Upstream it;
            it.id = UpstreamId("u" + std::to_string(i));
            it.url = "http://u" + std::to_string(i);
            it.domain = FailureDomain("d" + std::to_string(i));
            it.models = {ModelName("m")};
            bed.config.config->upstreams.push_back(it);
        }
        std::vector<LiveNode> live;
        for (int i = 0; i < nodes; ++i) {
            m_nodes.push_back(
                    std::make_unique<Node>(bed, NodeId("n" + std::to_string(i)), options));
            live.push_back({m_nodes.back()->self, 1,
                            FailureDomain("d" + std::to_string(i % domains)), false});
        }
        for (const auto &it : m_nodes)
            it->membership.set(live);
    }

    Node &node(std::size_t n) { return *m_nodes[n % m_nodes.size()]; }

    void run(Duration span)
    {
        const auto end = bed.events.now() + span;
        while (bed.events.now() < end) {
            bool busy = true;
            while (busy) {
                busy = bed.events.runOne();
                for (const auto &it : m_nodes)
                    busy = it->loop.runDue() > 0 || busy;
            }
            auto next = std::min(end, bed.events.next().value_or(end));
            for (const auto &it : m_nodes)
                next = std::min(next, it->loop.nextTimer().value_or(end));
            bed.events.moveTo(next);
        }
    }

    Bed bed;

private:
    std::vector<std::unique_ptr<Node>> m_nodes;
};

double quantile(std::vector<Duration> &samples, double q)
{
    if (samples.empty())
        return 0;
    const auto n = static_cast<std::size_t>(q * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(n),
                     samples.end());
    return toSeconds(samples[n]) * 1000;
}

void measureClaims(int nodes, double perSecond, Duration batchWait, Duration outcomeWait,
                   std::uint64_t seed)
{
    ClaimServiceOptions options;
    options.shard.batchWait = batchWait;
    options.shard.outcomeWait = outcomeWait;
    Fleet fleet(nodes, 3, options);
    fleet.run(seconds(1));
    std::mt19937_64 random(seed);
    std::exponential_distribution<> gap(perSecond);
    std::vector<Duration> waits;
    int granted = 0;
    const auto before = fleet.bed.store.counts["claims"];
    const auto end = fleet.bed.events.now() + kMeasured;
    for (int i = 0; fleet.bed.events.now() < end; ++i) {
        fleet.run(Duration(static_cast<std::int64_t>(gap(random) * 1e6)));
        auto &node = fleet.node(random());
        const auto asked = fleet.bed.events.now();
        node.claims.claim(
                {WorkspaceId("w"), "k" + std::to_string(i), 1, RequestId("r"), seconds(2)},
                [&, asked](const ClaimAnswer &answer) {
                    waits.push_back(fleet.bed.events.now() - asked);
                    const auto *ticket = std::get_if<ClaimTicket>(&answer);
                    if (ticket == nullptr)
                        return;
                    ++granted;
                    // The request itself takes no time, so that only claims count.
                    node.claims.record(*ticket, Execution::Ran, 200);
                });
    }
    fleet.run(seconds(3));
    const auto after = fleet.bed.store.counts["claims"];
    const double span = toSeconds(kMeasured);
    const double writes = after.writes - before.writes;
    fmt::print("| {} | {:.0f} | {} | {} | {} | {:.1f} | {:.1f} | {:.2f} | {:.1f} | {:.1f} |\n",
               nodes, perSecond, toMillis(batchWait), toMillis(outcomeWait), seed,
               (after.reads - before.reads) / span, writes / span, 2.0 * granted / writes,
               quantile(waits, 0.5), quantile(waits, 0.99));
}

void measureLeases(int nodes, int domains)
{
    Fleet fleet(nodes, domains, {});
    fleet.run(seconds(30));
    const auto before = fleet.bed.store.counts;
    fleet.run(kMeasured);
    const auto after = fleet.bed.store.counts;
    const double span = toSeconds(kMeasured);
    const auto calls = [&](auto member) {
        return ((after.at("leases").*member) - (before.at("leases").*member)) / span;
    };
    fmt::print("| {} | {} | {:.2f} | {:.2f} |\n", nodes, domains,
               calls(&test::SimStore::Counts::reads), calls(&test::SimStore::Counts::writes));
}

} // namespace

void measureStoreUse()
{
    fmt::print("| nodes | claims/s | batch wait ms | outcome wait ms | seed | reads/s | writes/s | "
               "records/write | "
               "claim p50 ms | claim p99 ms |\n");
    for (const int nodes : {3, 9, 36}) {
        for (const double rate : {10.0, 50.0, 200.0}) {
            for (const std::uint64_t seed : {1U, 2U, 3U})
                measureClaims(nodes, rate, milliseconds(5), kOutcomeWait, seed);
        }
    }
    for (const int wait : {0, 2, 5, 10, 20, 50}) {
        for (const std::uint64_t seed : {1U, 2U, 3U})
            measureClaims(9, 200, milliseconds(wait), kOutcomeWait, seed);
    }
    for (const int wait : {10, 100, 300, 1000}) {
        for (const std::uint64_t seed : {1U, 2U, 3U})
            measureClaims(9, 200, milliseconds(5), milliseconds(wait), seed);
    }
    fmt::print("\n| nodes | domains | lease reads/s | lease writes/s |\n");
    for (const int nodes : {3, 9, 36})
        measureLeases(nodes, 3);
    measureLeases(36, 5);
}

} // namespace hawthornslip::matrix
