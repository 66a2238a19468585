#include "modules/memory/byte_account.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr std::size_t kMiB = 1 << 20;
constexpr ByteLimits kLimits = {4 * kMiB, 6 * kMiB, 8 * kMiB};
constexpr TimePoint kStart{seconds(100)};

class Holder : public ByteHolder
{
public:
    void reclaimBytes() override { ++asked; }
    int asked = 0;
};

} // namespace

class ByteAccountTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ByteAccountTest);
    CPPUNIT_TEST(sumsWhatHoldersHold);
    CPPUNIT_TEST(reclaimsTheLargestHolder);
    CPPUNIT_TEST(prefersTheHolderWithoutProgress);
    CPPUNIT_TEST(keepsRoomForSmallRequests);
    CPPUNIT_TEST(asksAHolderOnce);
    CPPUNIT_TEST(refusesLargeBodiesBeforeItIsFull);
    CPPUNIT_TEST(admitsTheLargestBodyAlone);
    CPPUNIT_TEST(limitsFollowTheMemory);
    CPPUNIT_TEST_SUITE_END();

    // Guards against bytes that stay charged after their holder has gone.
    void sumsWhatHoldersHold()
    {
        ByteAccount account(kLimits);
        Holder a;
        Holder b;
        account.charge(a, 100, kStart);
        account.charge(b, 50, kStart);
        account.charge(a, 10, kStart);
        account.hold(7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(67), account.total());
        account.leave(a);
        account.leave(a);
        account.release(7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(50), account.total());
        account.leave(b);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), account.total());
    }

    // Guards against closing many small connections for one large one.
    void reclaimsTheLargestHolder()
    {
        ByteAccount account(kLimits);
        Holder large;
        Holder medium;
        account.charge(large, 4 * kMiB, kStart);
        account.charge(medium, 2 * kMiB, kStart);
        CPPUNIT_ASSERT_EQUAL(0, large.asked);
        account.charge(medium, 2 * kMiB + 1, kStart);
        CPPUNIT_ASSERT_EQUAL(1, large.asked);
        CPPUNIT_ASSERT_EQUAL(0, medium.asked);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), account.reclaimed());
    }

    // Guards against ending a body that is arriving for one that has stopped.
    void prefersTheHolderWithoutProgress()
    {
        ByteAccount account(kLimits);
        Holder stopped;
        Holder arriving;
        account.charge(stopped, 3 * kMiB, kStart);
        account.charge(arriving, 4 * kMiB, kStart + seconds(5));
        CPPUNIT_ASSERT_EQUAL(1, stopped.asked);
        CPPUNIT_ASSERT_EQUAL(0, arriving.asked);
    }

    // Guards against small requests that are closed while large bodies fill the account, and
    // against small ones without end.
    void keepsRoomForSmallRequests()
    {
        ByteAccount account(kLimits);
        account.hold(kLimits.large);
        Holder small;
        account.charge(small, ByteAccount::kSmallBytes, kStart);
        CPPUNIT_ASSERT_EQUAL(0, small.asked);
        account.hold(kLimits.hard - kLimits.large);
        account.charge(small, ByteAccount::kSmallBytes, kStart);
        CPPUNIT_ASSERT_EQUAL(1, small.asked);
    }

    // Guards against closing more connections while one is on its way out.
    void asksAHolderOnce()
    {
        ByteAccount account(kLimits);
        Holder first;
        Holder second;
        account.charge(first, 5 * kMiB, kStart);
        account.charge(second, 2 * kMiB, kStart);
        account.charge(second, 2 * kMiB + 1, kStart);
        CPPUNIT_ASSERT_EQUAL(1, first.asked);
        CPPUNIT_ASSERT_EQUAL(0, second.asked);
        account.leave(first);
        account.charge(first, 5 * kMiB, kStart);
        CPPUNIT_ASSERT_EQUAL(2, first.asked);
    }

    // Guards against reading bodies for which there is no room.
    void refusesLargeBodiesBeforeItIsFull()
    {
        ByteAccount account(kLimits);
        account.hold(3 * kMiB);
        CPPUNIT_ASSERT(account.admits(kMiB));
        CPPUNIT_ASSERT(!account.admits(kMiB + 1));
    }

    // Guards against a limit below the largest request that a caller may send.
    void admitsTheLargestBodyAlone()
    {
        ByteAccount account({kMiB, kMiB, 2 * kMiB});
        CPPUNIT_ASSERT(account.admits(4 * kMiB));
        account.hold(ByteAccount::kSmallBytes + 1);
        CPPUNIT_ASSERT(!account.admits(4 * kMiB));
    }

    // Guards against limits beyond the memory, and against none where it is not named.
    void limitsFollowTheMemory()
    {
        CPPUNIT_ASSERT(byteLimits(120) == (ByteLimits{30 * kMiB, 45 * kMiB, 60 * kMiB}));
        CPPUNIT_ASSERT_EQUAL(512 * kMiB, byteLimits(0).hard);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ByteAccountTest);

} // namespace hawthornslip
