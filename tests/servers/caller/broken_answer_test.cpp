#include "tests/support/caller_front.h"
#include "tests/support/caller_node.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip::test {

namespace {

class DaemonFront : public CallerFront
{
public:
    explicit DaemonFront(const std::vector<std::string> &urls)
        : m_node(urls, settings())
    {
        m_node.retries.budget = 1'000'000;
    }
    std::uint16_t port() const override { return m_node.server->port(); }

private:
    static PathSettings settings()
    {
        PathSettings settings;
        settings.maxBodyBytes = kUploadBytes;
        return settings;
    }

    CallerNode m_node;
};

} // namespace

/** Answers of workers that are none, as callers of a daemon see them. */
class DaemonBrokenAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DaemonBrokenAnswerTest);
    CPPUNIT_TEST(brokenStatusDoesNotReachTheCaller);
    CPPUNIT_TEST(brokenHeadDoesNotReachTheCaller);
    CPPUNIT_TEST(unclearEndDoesNotReachTheCaller);
    CPPUNIT_TEST(brokenTrailerDoesNotReachTheCaller);
    CPPUNIT_TEST(answerCutByAResetDoesNotReachTheCaller);
    CPPUNIT_TEST(unusualAnswerReachesTheCaller);
    CPPUNIT_TEST_SUITE_END();

public:
    void brokenStatusDoesNotReachTheCaller() { expectNone<DaemonFront>(brokenStatusLines); }
    void brokenHeadDoesNotReachTheCaller() { expectNone<DaemonFront>(brokenHeads); }
    void unclearEndDoesNotReachTheCaller() { expectNone<DaemonFront>(unclearEnds); }
    void brokenTrailerDoesNotReachTheCaller() { expectNone<DaemonFront>(brokenTrailers); }
    void answerCutByAResetDoesNotReachTheCaller() { expectNoPart<DaemonFront>(); }
    void unusualAnswerReachesTheCaller() { expectSound<DaemonFront>(); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonBrokenAnswerTest);

} // namespace hawthornslip::test
