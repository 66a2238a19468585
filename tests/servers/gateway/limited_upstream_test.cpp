#include "tests/support/gateway_cluster.h"
#include "tests/support/limited_engines.h"
#include "tests/support/silent_probe.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace hawthornslip::test {

namespace {

// The users' bound: from this time after the limit was named, at most one and a half times what it
// allows in any four seconds, and five requests more.
constexpr Duration kContact = seconds(3);
constexpr Duration kSpan = seconds(4);
constexpr double kTolerance = 1.5;
constexpr double kExtraRequests = 5;
constexpr std::size_t kUpstreams = 12;
constexpr std::size_t kLimited = 8;
// Unlimited upstreams have room for all requests.
constexpr double kMinServed = 0.99;

RoutingConfig makeConfig()
{
    Route route;
    route.name = "history";
    route.host = "fleet.example";
    route.pathPrefix = "/history/";
    route.kind = RouteKind::Streaming;
    route.targets = {{"models", 1}};
    route.timeout = seconds(15);
    route.objective = seconds(2);
    route.maxAttempts = 2;
    route.resumable = true;
    RoutingConfig config;
    config.version = 1;
    config.routes = {route};
    Service service;
    service.name = "models";
    config.services = {service};
    config.workspaces.emplace({KeyedWorkspace{"laundry", {"secret"}, 0}});
    return config;
}

std::string addressOf(std::size_t upstream)
{
    return fmt::format("u{}:1", upstream);
}

std::vector<UpstreamEntry> makeUpstreams()
{
    std::vector<UpstreamEntry> entries;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
        UpstreamEntry entry;
        entry.id = UpstreamId(fmt::format("u{}", i));
        entry.service = "models";
        entry.address = addressOf(i);
        entry.slots = 32;
        entries.push_back(entry);
    }
    return entries;
}

/** A cluster before engines of which the first ones may name a limit. */
struct LimitedCluster
{
    explicit LimitedCluster(std::size_t nodes)
        : engines(loop)
        , cluster(loop, nodes, 3, engines, probe, makeConfig(), makeUpstreams())
    {}

    /** Has the first @p count engines name a limit. */
    void limit(std::size_t count, double requestsPerSecond)
    {
        for (std::size_t i = 0; i < count; ++i)
            engines.limits[addressOf(i)] = requestsPerSecond;
    }

    /** Plays requests; a third of the nodes gets most of them. */
    void play(Duration span, double perSecond)
    {
        const TimePoint end = loop.now() + span;
        std::exponential_distribution<double> gap(perSecond);
        while (loop.now() < end) {
            const bool isBusyNode = random() % 3 != 0;
            const std::size_t node = random() % cluster.size();
            views.push_back(cluster.call(isBusyNode ? node - node % 3 : node, "/history/1",
                                         {{"id", std::to_string(++id)},
                                          {"key", "secret"},
                                          {"shared", fmt::format("root{}:500", random() % 40)},
                                          {"own", "100"}}));
            loop.advance(std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(gap(random))));
        }
    }

    std::size_t mostArrivals(std::size_t upstream, TimePoint from) const
    {
        return engines.mostArrivals(addressOf(upstream), kSpan, from, loop.now());
    }

    double servedSince(TimePoint from) const
    {
        double asked = 0;
        double served = 0;
        for (const auto &it : views) {
            if (it->sentAt < from || it->sentAt > loop.now() - seconds(1))
                continue;
            ++asked;
            served += it->status == 200 ? 1 : 0;
        }
        return asked == 0 ? 0 : served / asked;
    }

    ManualLoop loop;
    SilentProbe probe;
    LimitedEngines engines;
    GatewayCluster cluster;
    std::mt19937_64 random{11};
    std::size_t id = 0;
    std::vector<std::shared_ptr<CallerView>> views;
};

void assertLimitKept(const LimitedCluster &fleet, double requestsPerSecond, TimePoint namedAt)
{
    const double allowed =
            kTolerance * requestsPerSecond * static_cast<double>(toMillis(kSpan)) / 1000 +
            kExtraRequests;
    for (std::size_t i = 0; i < kLimited; ++i)
        CPPUNIT_ASSERT_LESSEQUAL(allowed,
                                 static_cast<double>(fleet.mostArrivals(i, namedAt + kContact)));
}

} // namespace

class LimitedUpstreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitedUpstreamTest);
    CPPUNIT_TEST(nodesTogetherKeepTheLimitThatAnUpstreamNames);
    CPPUNIT_TEST(nodesOfALargeFleetTogetherKeepALowLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an upstream in need that gets more requests than the limit that it named.
    void nodesTogetherKeepTheLimitThatAnUpstreamNames()
    {
        constexpr double kLimit = 2;
        LimitedCluster fleet(9);
        fleet.play(seconds(6), 120);
        const TimePoint namedAt = fleet.loop.now();
        fleet.limit(kLimited, kLimit);
        fleet.play(seconds(20), 120);
        assertLimitKept(fleet, kLimit, namedAt);
        CPPUNIT_ASSERT_GREATER(kMinServed, fleet.servedSince(namedAt));
    }

    // Guards against one request of each node, which adds up in a fleet of many.
    void nodesOfALargeFleetTogetherKeepALowLimit()
    {
        constexpr double kLimit = 1;
        LimitedCluster fleet(60);
        fleet.cluster.setLoss(0.05);
        fleet.play(seconds(6), 120);
        const TimePoint namedAt = fleet.loop.now();
        fleet.limit(kLimited, kLimit);
        fleet.play(seconds(20), 120);
        assertLimitKept(fleet, kLimit, namedAt);
        CPPUNIT_ASSERT_GREATER(kMinServed, fleet.servedSince(namedAt));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedUpstreamTest);

} // namespace hawthornslip::test
