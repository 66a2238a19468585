#include "modules/peers/domain_loads.h"
#include "modules/peers/peer_loads.h"
#include "modules/peers/report_filter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace hawthornslip {

namespace {

constexpr TimePoint kStart{seconds(100)};
constexpr std::uint64_t kUpstream = 5;

class SumSink : public PeerLoadSink
{
public:
    void onPeerLoad(const LoadChange &change) override
    {
        running[change.upstreamHash] += change.running;
        for (const auto it : change.promptTokens)
            tokens[change.upstreamHash] += it;
        speed += change.speed;
    }
    void onPeerDemand(std::uint64_t, const NodeDemand &added) override
    {
        demand += added.tolerantTokens;
    }
    void onPeerUses(const std::string &sender, std::uint64_t,
                    const std::vector<WorkspaceUse> &list) override
    {
        uses[sender] = list;
    }

    std::map<std::uint64_t, std::int64_t> running;
    std::map<std::uint64_t, std::uint64_t> tokens;
    std::uint64_t demand = 0;
    std::map<std::string, std::vector<WorkspaceUse>> uses;
    EngineSpeedSums speed;
};

PeerReport makeReport(std::uint64_t sequence, std::uint32_t running, std::uint64_t tokens,
                      std::uint64_t boot = 1)
{
    PeerReport report;
    report.node = "10.0.0.1:1";
    report.boot = boot;
    report.sequence = sequence;
    NodeLoad load{kUpstream, running, 0, {}};
    load.promptTokens[2] = tokens;
    report.loads = {load};
    report.demands = {{9, {tokens, 0}}};
    return report;
}

} // namespace

class PeerLoadsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerLoadsTest);
    CPPUNIT_TEST(lostAndDuplicateReportsAddUp);
    CPPUNIT_TEST(firstReportIsOnlyTheBaseline);
    CPPUNIT_TEST(silentPeerLoadIsSubtracted);
    CPPUNIT_TEST(restartedPeerStartsFromZero);
    CPPUNIT_TEST(demandOfAReplacedSummarizerIsCountedOnce);
    CPPUNIT_TEST(filterRepeatsChangesAndRefreshesTheRest);
    CPPUNIT_TEST(usesAreReplacedAndEndWithTheirSender);
    CPPUNIT_TEST(domainSumHasTheUsesOfItsNodes);
    CPPUNIT_TEST(speedsAddUpThoughMostReportsLackThem);
    CPPUNIT_TEST(oldSpeedOfAnUnknownPeerIsOnlyTheBaseline);
    CPPUNIT_TEST(speedAloneIsNotReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against loads that drift when datagrams are lost, duplicated or reordered.
    void lostAndDuplicateReportsAddUp()
    {
        SumSink sink;
        PeerLoads loads(sink);
        loads.onReport(makeReport(1, 1, 100), kStart);
        loads.onReport(makeReport(4, 3, 900), kStart);
        loads.onReport(makeReport(4, 3, 900), kStart);
        loads.onReport(makeReport(2, 7, 500), kStart);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, sink.running[kUpstream]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{800}, sink.tokens[kUpstream]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{800}, sink.demand);
    }

    // Guards against a starting node that counts all tokens its peers ever sent and treats every
    // upstream as full. Reports contain a subset of the loads, so each upstream has its own
    // baseline.
    void firstReportIsOnlyTheBaseline()
    {
        SumSink sink;
        PeerLoads loads(sink);
        auto report = makeReport(1, 1, 5'000'000);
        loads.onReport(report, kStart);
        report.sequence = 2;
        report.loads[0].upstreamHash = kUpstream + 1;
        loads.onReport(report, kStart);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, sink.tokens[kUpstream]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, sink.tokens[kUpstream + 1]);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, sink.running[kUpstream + 1]);
    }

    // Guards against upstreams that look busy forever after a node was killed.
    void silentPeerLoadIsSubtracted()
    {
        SumSink sink;
        PeerLoads loads(sink);
        loads.onReport(makeReport(1, 4, 0), kStart);
        loads.expire(kStart + seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, sink.running[kUpstream]);
        loads.expire(kStart + seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, sink.running[kUpstream]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, loads.activePeerCount());
    }

    // Guards against ignoring a restarted peer, whose sequence numbers and counters start again.
    void restartedPeerStartsFromZero()
    {
        SumSink sink;
        PeerLoads loads(sink);
        loads.onReport(makeReport(900, 4, 800), kStart);
        loads.onReport(makeReport(1, 1, 10, 2), kStart);
        loads.onReport(makeReport(2, 2, 30, 2), kStart);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, sink.running[kUpstream]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, sink.tokens[kUpstream]);
    }

    // Guards against the demand of hours that counts as new when another node sends the sum.
    void demandOfAReplacedSummarizerIsCountedOnce()
    {
        SumSink sink;
        PeerLoads loads(sink);
        const auto sum = [](std::uint64_t sequence, std::uint64_t demand, std::uint64_t boot) {
            auto report = makeReport(sequence, 1, demand, boot);
            report.isSummary = true;
            return report;
        };
        loads.onReport(sum(1, 5000, 1), kStart);
        loads.onReport(sum(2, 5100, 1), kStart);
        loads.onReport(sum(1, 90000, 2), kStart);
        loads.onReport(sum(3, 5200, 1), kStart);
        loads.onReport(sum(2, 90010, 2), kStart);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{110}, sink.demand);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, sink.running[kUpstream]);
    }

    // Guards against shares that count the use of a workspace after the need ended or its node was
    // lost.
    void usesAreReplacedAndEndWithTheirSender()
    {
        SumSink sink;
        PeerLoads loads(sink);
        auto report = makeReport(1, 1, 100);
        report.uses = {{9, {{5, milliseconds(20), milliseconds(10)}}}};
        loads.onReport(report, kStart);
        CPPUNIT_ASSERT(sink.uses.at(report.node) == report.uses.at(9));
        report.sequence = 2;
        report.uses = {{9, {{6, milliseconds(30), milliseconds(10)}}}};
        loads.onReport(report, kStart);
        CPPUNIT_ASSERT(sink.uses.at(report.node) == report.uses.at(9));
        loads.onReport(makeReport(3, 1, 100), kStart);
        CPPUNIT_ASSERT(sink.uses.at(report.node).empty());
        report.sequence = 4;
        loads.onReport(report, kStart);
        CPPUNIT_ASSERT(!sink.uses.at(report.node).empty());
        loads.expire(kStart + seconds(4));
        CPPUNIT_ASSERT(sink.uses.at(report.node).empty());
    }

    // Guards against shares that differ between failure domains, which know only each other's sums.
    void domainSumHasTheUsesOfItsNodes()
    {
        DomainLoads domain;
        domain.onPeerUses("a", 9, {{5, milliseconds(20), milliseconds(10)}});
        domain.onPeerUses(
                "b", 9,
                {{5, milliseconds(2), milliseconds(1)}, {6, milliseconds(90), milliseconds(3)}});
        PeerReport report;
        report.uses = {{9, {{5, milliseconds(200), milliseconds(100)}}}};
        domain.addTo(report);
        const std::vector<WorkspaceUse> sums = {{5, milliseconds(222), milliseconds(111)},
                                                {6, milliseconds(90), milliseconds(3)}};
        CPPUNIT_ASSERT(report.uses.at(9) == sums);
        domain.onPeerUses("a", 9, {});
        domain.onPeerUses("b", 9, {});
        PeerReport calm;
        domain.addTo(calm);
        CPPUNIT_ASSERT(calm.uses.empty());
    }

    // Guards against reports that grow with the number of upstreams, and against a lost report that
    // leaves a load wrong permanently.
    void filterRepeatsChangesAndRefreshesTheRest()
    {
        ReportFilter filter;
        std::vector<NodeLoad> all(50);
        for (std::size_t i = 0; i < all.size(); ++i)
            all[i] = {i + 1, 1, 0, {}};
        CPPUNIT_ASSERT_EQUAL(all.size(), filter.select(all).size());
        CPPUNIT_ASSERT_EQUAL(all.size(), filter.select(all).size());
        std::map<std::uint64_t, int> seen;
        for (int i = 0; i < 25; ++i) {
            const auto selected = filter.select(all);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, selected.size());
            for (const auto &it : selected)
                ++seen[it.upstreamHash];
        }
        CPPUNIT_ASSERT_EQUAL(all.size(), seen.size());
        all[17].running = 9;
        for (int i = 0; i < 2; ++i) {
            bool found = false;
            for (const auto &it : filter.select(all))
                found = found || it.running == 9;
            CPPUNIT_ASSERT(found);
        }
    }

    // Guards against observations that are lost or counted twice because a report leaves them out.
    void speedsAddUpThoughMostReportsLackThem()
    {
        SumSink sink;
        PeerLoads loads(sink);
        auto report = makeReport(1, 1, 0);
        const auto deliver = [&](std::optional<EngineSpeedSums> speed) {
            report.loads[0].speed = speed;
            loads.onReport(report, kStart);
            ++report.sequence;
        };
        deliver(EngineSpeedSums{1, -10});
        deliver(std::nullopt);
        deliver(EngineSpeedSums{4, 60});
        deliver(std::nullopt);
        deliver(EngineSpeedSums{4, 60});
        CPPUNIT_ASSERT(sink.speed == (EngineSpeedSums{4, 60}));
    }

    // Guards against the speed of an hour ago that counts as just observed.
    void oldSpeedOfAnUnknownPeerIsOnlyTheBaseline()
    {
        SumSink sink;
        PeerLoads loads(sink);
        auto report = makeReport(1, 1, 0);
        report.loads[0].speed = EngineSpeedSums{500, 9000};
        loads.onReport(report, kStart);
        CPPUNIT_ASSERT_EQUAL(0U, sink.speed.samples);
        report.sequence = 2;
        report.loads[0].speed = EngineSpeedSums{502, 9010};
        loads.onReport(report, kStart);
        CPPUNIT_ASSERT(sink.speed == (EngineSpeedSums{2, 10}));
    }

    // Guards against first events that each cause one more entry in the reports.
    void speedAloneIsNotReported()
    {
        ReportFilter filter;
        std::vector<NodeLoad> all(50);
        for (std::size_t i = 0; i < all.size(); ++i)
            all[i] = {i + 1, 1, 0, {}, EngineSpeedSums()};
        filter.select(all);
        filter.select(all);
        all[17].speed->samples = 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, filter.select(all).size());
        all[17].running = 2;
        for (int i = 0; i < 2; ++i) {
            int found = 0;
            for (const auto &it : filter.select(all))
                found += it.running == 2 && it.speed == all[17].speed ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL(1, found);
        }
        all[17].running = 3;
        for (const auto &it : filter.select(all))
            CPPUNIT_ASSERT(it.running != 3 || !it.speed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLoadsTest);

} // namespace hawthornslip
