#include "modules/peers/domain_loads.h"
#include "modules/peers/report_plan.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>

namespace hawthornslip {

namespace {

std::string nodeName(std::size_t i)
{
    return fmt::format("10.0.{}.{}:7000", i / 100, i % 100);
}

FailureDomain domainName(std::size_t i, std::size_t domains)
{
    return FailureDomain(fmt::format("domain-{}", i % domains));
}

ReportPlan planOf(std::size_t self, std::size_t nodes, std::size_t domains)
{
    std::vector<ReportPeer> peers;
    for (std::size_t i = 0; i < nodes; ++i) {
        if (i != self)
            peers.push_back({nodeName(i), domainName(i, domains), Duration(0)});
    }
    return planReports(nodeName(self), domainName(self, domains), peers);
}

} // namespace

class ReportPlanTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReportPlanTest);
    CPPUNIT_TEST(fewNodesReportToAllOthers);
    CPPUNIT_TEST(manyNodesReportWithinTheirDomain);
    CPPUNIT_TEST(oneNodeOfEachDomainSendsTheSum);
    CPPUNIT_TEST(silentSummarizerIsReplaced);
    CPPUNIT_TEST(nodesWithoutDomainReportToAll);
    CPPUNIT_TEST(sumsOnlyRise);
    CPPUNIT_TEST_SUITE_END();

public:
    void fewNodesReportToAllOthers()
    {
        const auto plan = planOf(0, 9, 3);
        CPPUNIT_ASSERT(!plan.usesSummaries);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, plan.recipients.size());
    }

    // Guards against traffic between domains that grows with the square of the nodes, and against
    // reports that are almost a second old.
    void manyNodesReportWithinTheirDomain()
    {
        const auto plan = planOf(0, 195, 5);
        CPPUNIT_ASSERT(plan.usesSummaries);
        CPPUNIT_ASSERT_EQUAL(std::size_t{38}, plan.recipients.size());
        CPPUNIT_ASSERT(plan.interval + kSummaryInterval < milliseconds(4 * 194));
    }

    void oneNodeOfEachDomainSendsTheSum()
    {
        std::size_t summarizers = 0;
        for (std::size_t i = 0; i < 195; ++i) {
            const auto plan = planOf(i, 195, 5);
            for (const auto &it : plan.summaryRecipients)
                CPPUNIT_ASSERT_EQUAL(std::size_t{plan.isSummarizer ? 4U : 0U}, it.size());
            summarizers += plan.isSummarizer ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, summarizers);
    }

    // Guards against a domain whose loads are unknown elsewhere after its summarizer is lost.
    void silentSummarizerIsReplaced()
    {
        std::size_t lost = 0;
        while (!planOf(lost, 195, 5).isSummarizer)
            ++lost;
        std::size_t successors = 0;
        for (std::size_t self = lost % 5; self < 195; self += 5) {
            if (self == lost)
                continue;
            std::vector<ReportPeer> peers;
            for (std::size_t i = 0; i < 195; ++i) {
                const Duration silence = i == lost ? seconds(3) : Duration(0);
                if (i != self)
                    peers.push_back({nodeName(i), domainName(i, 5), silence});
            }
            successors += planReports(nodeName(self), domainName(self, 5), peers).isSummarizer;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, successors);
    }

    void nodesWithoutDomainReportToAll()
    {
        std::vector<ReportPeer> peers;
        for (std::size_t i = 1; i < 195; ++i)
            peers.push_back({nodeName(i), FailureDomain(), Duration(0)});
        const auto plan = planReports(nodeName(0), FailureDomain("a"), peers);
        CPPUNIT_ASSERT(!plan.usesSummaries);
        CPPUNIT_ASSERT_EQUAL(std::size_t{194}, plan.recipients.size());
    }

    // Guards against a negative difference between two sums after a node restarted.
    void sumsOnlyRise()
    {
        DomainLoads sum;
        PeerLoads peers(sum);
        PeerReport report;
        report.node = "a";
        report.boot = 1;
        const TimePoint now{seconds(1000)};
        for (std::uint64_t tokens : {100U, 300U}) {
            ++report.sequence;
            report.loads = {{7, 2, 1, {tokens}}};
            report.demands = {{5, {tokens, 0}}};
            peers.onReport(report, now);
        }
        const auto before = sumOf(sum);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, before.loads[0].running);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, before.loads[0].promptTokens[0]);
        report.boot = 2;
        report.sequence = 1;
        report.loads = {{7, 1, 0, {10}}};
        report.demands = {{5, {10, 0}}};
        peers.onReport(report, now);
        const auto after = sumOf(sum);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, after.loads[0].running);
        CPPUNIT_ASSERT(after.loads[0].promptTokens[0] >= before.loads[0].promptTokens[0]);
        CPPUNIT_ASSERT(after.demands[0].second.tolerantTokens >=
                       before.demands[0].second.tolerantTokens);
        // This node's own loads are added.
        PeerReport own;
        own.loads = {{7, 4, 0, {}}, {8, 1, 0, {}}};
        sum.addTo(own);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, own.loads[0].running);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, own.loads[1].running);
    }

private:
    static PeerReport sumOf(const DomainLoads &sum)
    {
        PeerReport report;
        sum.addTo(report);
        return report;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportPlanTest);

} // namespace hawthornslip
