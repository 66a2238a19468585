#include "core/logger.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace hawthornslip {

class LoggerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoggerTest);
    CPPUNIT_TEST(lineIsJson);
    CPPUNIT_TEST(untrustedTextStaysOnOneLine);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lines that are not valid JSON, which log collectors cannot parse.
    void lineIsJson()
    {
        const auto line = formatLogLine(1'700'000'000'123, LogLevel::Warning, "refused",
                                        {{"reason", "queue_full"}, {"waited_ms", 12}});
        const auto parsed = nlohmann::json::parse(line);
        CPPUNIT_ASSERT_EQUAL(std::string("2023-11-14T22:13:20.123Z"),
                             parsed.at("time").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("warning"), parsed.at("level").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(12, parsed.at("waited_ms").get<int>());
    }

    // Guards against log injection: a caller's value with a newline must not start a new line.
    void untrustedTextStaysOnOneLine()
    {
        const auto line = formatLogLine(0, LogLevel::Info, "x", {{"value", "a\n\"}\xff"}});
        CPPUNIT_ASSERT(line.find('\n') == std::string::npos);
        CPPUNIT_ASSERT(nlohmann::json::accept(line));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoggerTest);

} // namespace hawthornslip
