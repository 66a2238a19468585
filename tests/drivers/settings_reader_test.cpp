#include "drivers/toml/settings_reader.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

const std::string kKey(40, 'k');
const std::string kHash(64, 'a');

std::string validText()
{
    return "[node]\ndomain = \"riga-1\"\n"
           "[caller]\nlisten = \"127.0.0.1:8080\"\nmax_connections = 200\n"
           "[operator]\nlisten = \"127.0.0.1:8081\"\nkey_hashes = [\"" +
           kHash + "\"]\n[peer]\nlisten = \"127.0.0.1:8082\"\ncurve_public_key = \"" + kKey +
           "\"\ncurve_secret_key = \"" + kKey + "\"\nseeds = [\"127.0.0.1:9082\"]\n";
}

} // namespace

class SettingsReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsReaderTest);
    CPPUNIT_TEST(readsAllSections);
    CPPUNIT_TEST(reportsAllFaultsWithLines);
    CPPUNIT_TEST(suggestsNearestName);
    CPPUNIT_TEST(parserChecksBecomeFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a key that is accepted and ignored.
    void readsAllSections()
    {
        const auto result = parseSettings(validText());
        CPPUNIT_ASSERT(result.faults.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("riga-1"), result.settings.domain.value);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{8080}, result.settings.caller.listen.port);
        CPPUNIT_ASSERT_EQUAL(200U, result.settings.caller.maxConnections);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.settings.peer.seeds.size());
    }

    // Guards against a report that stops at the first fault of a file.
    void reportsAllFaultsWithLines()
    {
        const auto result =
                parseSettings("[node]\ndomain = 5\nlog_level = \"loud\"\n"
                              "[caller]\nlisten = \"host:80\"\nmax_connections = 0\n"
                              "[operator]\nlisten = \"127.0.0.1:1\"\nkey_hashes = [\"x\"]\n"
                              "[peer]\nlisten = \"127.0.0.1:2\"\ncurve_public_key = \"" +
                              kKey + "\"\ncurve_secret_key = \"" + kKey + "\"\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, result.faults.size());
        const std::uint32_t lines[] = {2, 3, 5, 6, 9};
        for (std::size_t i = 0; i < result.faults.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(lines[i], result.faults[i].line);
    }

    // Guards against a misspelt key that silently leaves a default in force.
    void suggestsNearestName()
    {
        const auto result =
                parseSettings(validText() + "[stop]\nbalancer_notise_ms = 5\n[peeer]\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result.faults.size());
        CPPUNIT_ASSERT(result.faults[0].message.find("balancer_notice_ms") != std::string::npos);
        CPPUNIT_ASSERT(result.faults[1].message.find("\"peer\"") != std::string::npos);
    }

    // Guards against an abort of the process on input that fails a check inside the parser.
    void parserChecksBecomeFaults()
    {
        const std::string control("[\x01", 2);
        for (const auto &it : {control, std::string("a = \xc3\xa9"), std::string("["),
                               std::string("a = [1, {b = 2}]"), std::string("a = 1979-05-27")})
            CPPUNIT_ASSERT(!parseSettings(it).faults.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsReaderTest);

} // namespace hawthornslip
