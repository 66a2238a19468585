#include "modules/freshness/store_contact.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kCallTime = milliseconds(500);

} // namespace

class StoreContactTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreContactTest);
    CPPUNIT_TEST(lostConnectionIsNoOutage);
    CPPUNIT_TEST(severalConnectionsLostAtOnceAreNoOutage);
    CPPUNIT_TEST(newCallThatFailsShowsAnOutage);
    CPPUNIT_TEST(outageBeginsAfterTheLastAnswer);
    CPPUNIT_TEST(earlierOutageIsNotReportedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a watch that was cut off, or went silent, taken for an outage of its length.
    void lostConnectionIsNoOutage()
    {
        StoreContact contact;
        contact.onFailed(kStart, kStart, kStart + seconds(15));
        contact.onAnswered(kStart + seconds(16));
        CPPUNIT_ASSERT(contact.awaySince(kStart) == Duration(0));
    }

    // Guards against the second of several watches that are cut off together taken for a retry.
    void severalConnectionsLostAtOnceAreNoOutage()
    {
        StoreContact contact;
        const TimePoint cutAt = kStart + seconds(3);
        contact.onFailed(kStart, cutAt, cutAt);
        contact.onFailed(kStart + seconds(1), cutAt, cutAt);
        contact.onFailed(kStart + seconds(2), cutAt, cutAt + milliseconds(1));
        contact.onAnswered(cutAt + seconds(1));
        CPPUNIT_ASSERT(contact.awaySince(kStart) == Duration(0));
    }

    // Guards against an outage that is not seen because its first sign was a silent watch.
    void newCallThatFailsShowsAnOutage()
    {
        StoreContact contact;
        contact.onFailed(kStart, kStart, kStart + seconds(3));
        const TimePoint again = kStart + seconds(4);
        contact.onFailed(again, again, again + kCallTime);
        contact.onAnswered(kStart + seconds(6));
        CPPUNIT_ASSERT(contact.awaySince(kStart + seconds(3)) == seconds(6));
    }

    // Guards against an outage that counts from the start of a long watch although other calls were
    // answered since.
    void outageBeginsAfterTheLastAnswer()
    {
        StoreContact contact;
        contact.onAnswered(kStart + seconds(12));
        contact.onFailed(kStart + seconds(12), kStart + seconds(13), kStart + seconds(13));
        contact.onFailed(kStart, kStart, kStart + seconds(15));
        contact.onFailed(kStart + seconds(14), kStart + seconds(14), kStart + seconds(15));
        contact.onAnswered(kStart + seconds(16));
        CPPUNIT_ASSERT(contact.awaySince(kStart) == seconds(4));
    }

    // Guards against a lost connection that is taken for the outage before it.
    void earlierOutageIsNotReportedAgain()
    {
        StoreContact contact;
        contact.onFailed(kStart, kStart, kStart);
        contact.onFailed(kStart, kStart, kStart + kCallTime);
        contact.onAnswered(kStart + seconds(5));
        CPPUNIT_ASSERT(contact.awaySince(kStart) == seconds(5));
        contact.onFailed(kStart + seconds(8), kStart + seconds(9), kStart + seconds(9));
        contact.onAnswered(kStart + seconds(10));
        CPPUNIT_ASSERT(contact.awaySince(kStart + seconds(9)) == Duration(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreContactTest);

} // namespace hawthornslip
