#include "platform/wire_headers.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip::test {

class WireHeadersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WireHeadersTest);
    CPPUNIT_TEST(readsTheLimitOfRequests);
    CPPUNIT_TEST(ofTwoLimitsTheLowerCounts);
    CPPUNIT_TEST(unreadableLimitsAreNone);
    CPPUNIT_TEST(onlyARefusalProvesThatNothingRan);
    CPPUNIT_TEST(oddValuesDoNotSayThatAnUpstreamLeaves);
    CPPUNIT_TEST(readsWhichAttemptBeganTheStreamThatIsTakenUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsTheLimitOfRequests()
    {
        CPPUNIT_ASSERT_EQUAL(7.6, read({"7.6"}).requestLimit.value());
        CPPUNIT_ASSERT_EQUAL(0.0, read({"0"}).requestLimit.value());
        CPPUNIT_ASSERT_EQUAL(1e12, read({"1e12"}).requestLimit.value());
        CPPUNIT_ASSERT(!read({}).requestLimit && !read({}).isRequestLimitUnreadable);
    }

    void ofTwoLimitsTheLowerCounts()
    {
        CPPUNIT_ASSERT_EQUAL(2.5, read({"9", "2.5"}).requestLimit.value());
    }

    // Guards against a limit of nothing, or of everything, from a value that is no number.
    void unreadableLimitsAreNone()
    {
        for (const std::string it : {"-1", "nan", "inf", "", "7 a second", "0x10", "many"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !read({it}).requestLimit);
            CPPUNIT_ASSERT_MESSAGE(it, read({it}).isRequestLimitUnreadable);
        }
    }

    // Guards against a second run of a request whose success says that it did not run.
    void onlyARefusalProvesThatNothingRan()
    {
        const HttpHeaders notRun = {{"x-hawthornslip-not-executed", "1"}};
        const platform::WireHeaders dialect;
        for (const int status : {400, 421, 429, 503})
            CPPUNIT_ASSERT(dialect.readResponse(status, notRun).certainlyNotRun);
        for (const int status : {200, 206})
            CPPUNIT_ASSERT(!dialect.readResponse(status, notRun).certainlyNotRun);
        for (const int status : {200, 408, 429, 500, 503, 504})
            CPPUNIT_ASSERT(!dialect.readResponse(status, {}).certainlyNotRun);
    }

    void readsWhichAttemptBeganTheStreamThatIsTakenUp()
    {
        const platform::WireHeaders dialect;
        CPPUNIT_ASSERT_EQUAL(std::string("9c41d07b"),
                             dialect.readRequest({{"resumes", "9c41d07b"}}).resumes);
        CPPUNIT_ASSERT(dialect.readRequest({}).resumes.empty());
    }

    // Guards against an upstream that is kept out of use for good by an odd header.
    void oddValuesDoNotSayThatAnUpstreamLeaves()
    {
        const platform::WireHeaders dialect;
        const auto isLeaving = [&dialect](int status, const HttpHeaders &headers) {
            return dialect.readResponse(status, headers).isLeaving;
        };
        for (const int status : {200, 206, 404, 421, 500, 503})
            CPPUNIT_ASSERT(isLeaving(status, {{"server-leaving", "1"}}));
        for (const std::string it : {"", "0", "true", "1 ", "11", "no"})
            CPPUNIT_ASSERT_MESSAGE(it, !isLeaving(200, {{"server-leaving", it}}));
        CPPUNIT_ASSERT(!isLeaving(200, {{"server-leaving", "1"}, {"server-leaving", "0"}}));
        CPPUNIT_ASSERT(!isLeaving(200, {}));
    }

private:
    static ResponseMeta read(const std::vector<std::string> &limits)
    {
        HttpHeaders headers = {{"content-type", "text/plain"}};
        for (const auto &it : limits)
            headers.emplace_back("server-limit", it);
        return platform::WireHeaders().readResponse(200, headers);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireHeadersTest);

} // namespace hawthornslip::test
