#include "drivers/toml/gateway_settings_reader.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr std::string_view kWhole = R"([node]
name = "edge-1"
domain = "riga-a"
[listen]
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
metrics = "10.0.0.1:82"
peers = "10.0.0.1:82"
[store]
address = "10.0.0.2:90"
[keys]
fail_closed = true
revoke_within_ms = 5000
[upstreams]
heartbeat_ms = 900
[retries]
ratio = 0.2
window_s = 10
)";

} // namespace

class GatewaySettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewaySettingsTest);
    CPPUNIT_TEST(readsWholeFile);
    CPPUNIT_TEST(namesEachFault);
    CPPUNIT_TEST(refusesHalfAFile);
    CPPUNIT_TEST(readsFractions);
    CPPUNIT_TEST(refusesTimesOutOfRange);
    CPPUNIT_TEST(performsOnlyTheDutiesThatAreNamed);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsWholeFile()
    {
        const auto result = parseGatewaySettings(kWhole);
        CPPUNIT_ASSERT(result.faults.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{80}, result.settings.callers.port);
        CPPUNIT_ASSERT_EQUAL(std::string("riga-a"), result.settings.domain.value);
        CPPUNIT_ASSERT(result.settings.failClosed);
        CPPUNIT_ASSERT(result.settings.revokeWithin == seconds(5));
        CPPUNIT_ASSERT(result.settings.upstreamHeartbeat == milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(0.2, result.settings.retryRatio);
    }

    // Guards against a misspelt key that leaves a default in force without a word.
    void namesEachFault()
    {
        const auto result = parseGatewaySettings(
                std::string(kWhole) + "[stop]\ngrace_m = 1\n[limits]\nmax_descriptors = 1\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result.faults.size());
        CPPUNIT_ASSERT_EQUAL(std::string("limits.max_descriptors"), result.faults[0].key);
        CPPUNIT_ASSERT(result.faults[1].message.find("grace_s") != std::string::npos);
    }

    // Guards against a process that does not start because a bound is no whole number.
    void readsFractions()
    {
        std::string text(kWhole);
        text.replace(text.find("window_s = 10"), 13, "window_s = 7.5");
        text.replace(text.find("= 5000"), 6, "= 4500.5");
        const auto result = parseGatewaySettings(text + "[stop]\ngrace_s = 8.0\n");
        CPPUNIT_ASSERT(result.faults.empty());
        CPPUNIT_ASSERT(result.settings.retryWindow == milliseconds(7500));
        CPPUNIT_ASSERT(result.settings.revokeWithin == Duration(4'500'500));
        CPPUNIT_ASSERT(result.settings.stopGrace == seconds(8));
    }

    // Guards against duties that run where no setting asks for them.
    void performsOnlyTheDutiesThatAreNamed()
    {
        const auto none = parseGatewaySettings(std::string(kWhole) +
                                               "[duties]\nperform = [\"usage\", \"scale\"]\n");
        CPPUNIT_ASSERT(none.faults.empty());
        CPPUNIT_ASSERT(!none.settings.duties.performs(Duty::Usage));
        const auto one = parseGatewaySettings(
                std::string(kWhole) +
                "[duties]\nprovider = \"10.0.0.3:90\"\nperform = [\"usage\", \"paint\"]\n"
                "lease_ms = 3000\nreport_window_s = 5\nreport_due_s = 10\ncalls_per_s = 50.0\n");
        CPPUNIT_ASSERT(one.faults.empty());
        CPPUNIT_ASSERT(one.settings.duties.performs(Duty::Usage));
        CPPUNIT_ASSERT(!one.settings.duties.performs(Duty::Scaling));
        CPPUNIT_ASSERT(one.settings.duties.lease == seconds(3));
        CPPUNIT_ASSERT(one.settings.duties.reportDue == seconds(10));
    }

    void refusesTimesOutOfRange()
    {
        for (const auto *it : {"-1", "601.0", "nan", "\"8\"", "true"}) {
            const auto result =
                    parseGatewaySettings(std::string(kWhole) + "[stop]\ngrace_s = " + it + "\n");
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.faults.size());
            CPPUNIT_ASSERT_EQUAL(std::string("stop.grace_s"), result.faults.front().key);
        }
    }

    // Guards against a process that starts from a file that was cut off while it was written.
    void refusesHalfAFile()
    {
        for (std::size_t size = 0; size < kWhole.find("[keys]"); ++size)
            CPPUNIT_ASSERT(!parseGatewaySettings(kWhole.substr(0, size)).faults.empty() ||
                           size >= kWhole.find("[keys]") - 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySettingsTest);

} // namespace hawthornslip
