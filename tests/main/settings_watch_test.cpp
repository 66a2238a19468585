#include "main/settings_watch.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace hawthornslip {

namespace {

constexpr std::string_view kSettings = R"([node]
domain = "riga-a"
[listen]
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
metrics = "10.0.0.1:82"
peers = "10.0.0.1:82"
[store]
address = "10.0.0.2:90"
)";

} // namespace

class SettingsWatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsWatchTest);
    CPPUNIT_TEST(reportsAChangeOnce);
    CPPUNIT_TEST(fileThatIsBeingReplacedChangesNothing);
    CPPUNIT_TEST(partialFileIsAFaultAndCompleteFileIsAccepted);
    CPPUNIT_TEST(namesKeysThatRequireARestart);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_path = std::filesystem::temp_directory_path() /
                 ("hawthornslip-settings-" + std::to_string(getpid()));
        write(std::string(kSettings));
    }
    void tearDown() override { std::filesystem::remove(m_path); }

    // Guards against changed settings that are not read because no signal was sent.
    void reportsAChangeOnce()
    {
        SettingsWatch watch(m_path);
        CPPUNIT_ASSERT(watch.read().faults.empty());
        CPPUNIT_ASSERT(!watch.poll());
        write(std::string(kSettings) + "[keys]\nrevoke_within_ms = 700\n");
        const auto changed = watch.poll();
        CPPUNIT_ASSERT(changed && changed->faults.empty());
        CPPUNIT_ASSERT(changed->settings.revokeWithin == milliseconds(700));
        CPPUNIT_ASSERT(!watch.poll());
    }

    void fileThatIsBeingReplacedChangesNothing()
    {
        SettingsWatch watch(m_path);
        watch.read();
        std::filesystem::remove(m_path);
        CPPUNIT_ASSERT(!watch.poll());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch.read().faults.size());
    }

    // Guards against a partly written file that is accepted or keeps the complete one from being
    // read.
    void partialFileIsAFaultAndCompleteFileIsAccepted()
    {
        SettingsWatch watch(m_path);
        watch.read();
        write(std::string(kSettings.substr(0, kSettings.size() / 2)));
        const auto partial = watch.poll();
        CPPUNIT_ASSERT(partial && !partial->faults.empty());
        write(std::string(kSettings) + "[stop]\ngrace_s = 3\n");
        const auto complete = watch.poll();
        CPPUNIT_ASSERT(complete && complete->faults.empty());
        CPPUNIT_ASSERT(complete->settings.stopGrace == seconds(3));
    }

    // Guards against changed keys that are ignored until a restart without being reported.
    void namesKeysThatRequireARestart()
    {
        const auto before = parseGatewaySettings(kSettings).settings;
        auto after = before;
        after.storeAddress = "10.0.0.3:90";
        after.callers.port = 8080;
        after.revokeWithin = seconds(1);
        const std::vector<std::string> expected = {"listen.callers", "store.address"};
        CPPUNIT_ASSERT(expected == keysRequiringRestart(before, after));
    }

private:
    void write(const std::string &text) const { std::ofstream(m_path) << text; }

    std::string m_path;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsWatchTest);

} // namespace hawthornslip
