#include "servers/peers/load_report_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip::test {

namespace {

constexpr TimePoint kNow{seconds(100)};
constexpr std::uint64_t kService = 9;

PeerReport makeReport()
{
    PeerReport report;
    report.node = "10.0.0.1:1";
    report.demands = {{kService, {100, 200, 3, 1}}, {kService + 1, {}}};
    return report;
}

} // namespace

class WorkspaceUsesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkspaceUsesTest);
    CPPUNIT_TEST(usesArriveAsSent);
    CPPUNIT_TEST(usesTakeFewBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against shares that differ between nodes because a use is lost on the way.
    void usesArriveAsSent()
    {
        PeerReport report = makeReport();
        report.uses = {{kService,
                        {{0xfedcba98, milliseconds(1500), milliseconds(70)},
                         {1, milliseconds(2), Duration(0)}}}};
        const auto received = decodeReport(encodeReport(report, kNow), kNow);
        CPPUNIT_ASSERT(received && received->uses == report.uses);
    }

    // Guards against reports that grow while no request waits for room, and against sums that a
    // small link cannot carry: 24 uses are the most in a report.
    void usesTakeFewBytes()
    {
        constexpr std::size_t kUses = 24;
        constexpr std::size_t kMaxBytesPerUse = 16;
        PeerReport report = makeReport();
        const std::size_t calm = encodeReport(report, kNow).size();
        for (std::uint32_t it = 1; it <= kUses; ++it)
            report.uses[kService].push_back({it, seconds(60), seconds(60)});
        const std::size_t inNeed = encodeReport(report, kNow).size();
        CPPUNIT_ASSERT(inNeed - calm <= kUses * kMaxBytesPerUse);
        CPPUNIT_ASSERT(decodeReport(encodeReport(makeReport(), kNow), kNow)->uses.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkspaceUsesTest);

} // namespace hawthornslip::test
