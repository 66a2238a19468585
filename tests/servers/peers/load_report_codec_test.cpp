#include "servers/peers/load_report_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip::test {

namespace {

constexpr TimePoint kNow{seconds(100)};
// Bytes that an upstream's speed may add to its entry in a report.
constexpr std::size_t kMaxSpeedBytes = 6;

PeerReport makeReport(std::optional<EngineSpeedSums> speed)
{
    PeerReport report;
    report.node = "10.0.0.1:1";
    NodeLoad load{5, 3, 2, {}, speed};
    load.promptTokens[0] = 1234;
    report.loads = {load};
    return report;
}

} // namespace

class LoadReportCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadReportCodecTest);
    CPPUNIT_TEST(speedIsReadAsWritten);
    CPPUNIT_TEST(speedAddsFewBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an absent speed that reads as one without observations, and against fast
    // engines, whose sum is negative, that read as slow.
    void speedIsReadAsWritten()
    {
        const std::vector<std::optional<EngineSpeedSums>> speeds = {
                std::nullopt, EngineSpeedSums{}, EngineSpeedSums{7, -350},
                EngineSpeedSums{90'000, 1'200'000}};
        for (const auto &it : speeds) {
            const auto report = decodeReport(encodeReport(makeReport(it), kNow), kNow);
            CPPUNIT_ASSERT(report.has_value());
            CPPUNIT_ASSERT(report->loads == makeReport(it).loads);
        }
    }

    // Guards against reports that outgrow the links of small VMs.
    void speedAddsFewBytes()
    {
        const auto without = encodeReport(makeReport(std::nullopt), kNow).size();
        const auto with = encodeReport(makeReport(EngineSpeedSums{120, -900}), kNow).size();
        CPPUNIT_ASSERT(with > without);
        CPPUNIT_ASSERT(with - without <= kMaxSpeedBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadReportCodecTest);

} // namespace hawthornslip::test
