#include "modules/ownership/rendezvous_hash.h"
#include "modules/upstreams/upstream_directory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr TimePoint kStart{seconds(100)};

UpstreamEntry makeEntry(const std::string &id, const std::string &service = "models")
{
    UpstreamEntry entry;
    entry.id = UpstreamId(id);
    entry.service = service;
    entry.address = "10.0.0.1:" + std::to_string(1000 + id.back());
    return entry;
}

} // namespace

class UpstreamDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamDirectoryTest);
    CPPUNIT_TEST(excludesDrainingUpstreams);
    CPPUNIT_TEST(removedUpstreamIsOnlyAFallback);
    CPPUNIT_TEST(removedEntriesStayUsableDuringReregistration);
    CPPUNIT_TEST(shortOutageExpiresNoEntries);
    CPPUNIT_TEST(misdirectedUpstreamReturnsAfterRestart);
    CPPUNIT_TEST(leavingUpstreamIsAFallbackWithinTheDrainTime);
    CPPUNIT_TEST(leavingUpstreamStaysOutWhenItsEntryReturns);
    CPPUNIT_TEST(leavingUpstreamReturnsAfterRestart);
    CPPUNIT_TEST(rememberedLeaversAreBounded);
    CPPUNIT_TEST(endedUpstreamIsOnlyAFallback);
    CPPUNIT_TEST(endedUpstreamReturnsIfItIsStillListed);
    CPPUNIT_TEST(endedUpstreamIsLeftOutLongerWithRareHeartbeats);
    CPPUNIT_TEST(endedUpstreamReturnsAfterRestart);
    CPPUNIT_TEST(successorIsNotTakenForTheEndedProcess);
    CPPUNIT_TEST(listingTellsALaterStartFromARemovalAndADrain);
    CPPUNIT_TEST(listReplacesAll);
    CPPUNIT_TEST(upstreamThatLeftStaysUnusedAfterARestore);
    CPPUNIT_TEST(upstreamThatLeftStaysOutAfterASecondRestore);
    CPPUNIT_TEST(drainingUpstreamStaysSoAfterARestore);
    CPPUNIT_TEST(restartedUpstreamIsUsedAfterARestore);
    CPPUNIT_TEST(upstreamThatTheCopyLacksStaysUntilItRegisters);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against new requests for a draining upstream.
    void excludesDrainingUpstreams()
    {
        UpstreamDirectory directory(DirectoryTimes{});
        auto entry = makeEntry("a");
        directory.put(entry, kStart);
        directory.put(makeEntry("b", "other"), kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usable("models", kStart).size());
        const auto revision = directory.revision();
        entry.draining = true;
        directory.put(entry, kStart);
        CPPUNIT_ASSERT(directory.revision() != revision);
        CPPUNIT_ASSERT(directory.usable("models", kStart).empty());
    }

    // Guards against requests to an upstream that had left and is back in the copy of the store.
    void upstreamThatLeftStaysUnusedAfterARestore()
    {
        UpstreamDirectory directory(DirectoryTimes{});
        directory.replaceAll({makeEntry("a"), makeEntry("b")}, kStart);
        directory.remove(UpstreamId("a"), kStart);
        const TimePoint restoredAt = kStart + seconds(9);
        directory.expire(restoredAt);
        directory.replaceAllRestored({makeEntry("a"), makeEntry("b")}, restoredAt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usable("models", restoredAt).size());
        directory.remove(UpstreamId("b"), restoredAt + seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::string("b"),
                             directory.usable("models", restoredAt + seconds(3)).at(0).id.value);
        // It writes its entry, or is still listed when the platform would have dropped it.
        auto written = directory;
        written.put(makeEntry("a"), restoredAt + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, written.usable("models", restoredAt).size());
        directory.expire(restoredAt + seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::string("a"),
                             directory.usable("models", restoredAt + seconds(4)).at(0).id.value);
    }

    // Guards against an upstream that had left and is used after a second restore.
    void upstreamThatLeftStaysOutAfterASecondRestore()
    {
        UpstreamDirectory directory(DirectoryTimes{});
        directory.replaceAll({makeEntry("a"), makeEntry("b")}, kStart);
        directory.remove(UpstreamId("a"), kStart + seconds(5));
        directory.expire(kStart + seconds(9));
        directory.replaceAllRestored({makeEntry("a"), makeEntry("b")}, kStart + seconds(9));
        directory.replaceAllRestored({makeEntry("a"), makeEntry("b")}, kStart + seconds(12));
        const TimePoint later = kStart + seconds(14);
        directory.expire(later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usable("models", later).size());
    }

    // Guards against new requests to an upstream whose draining state was lost with the store's.
    void drainingUpstreamStaysSoAfterARestore()
    {
        UpstreamDirectory directory(DirectoryTimes{});
        directory.put(makeEntry("a"), kStart);
        auto draining = makeEntry("a");
        draining.draining = true;
        directory.put(draining, kStart);
        directory.replaceAllRestored({makeEntry("a")}, kStart);
        directory.expire(kStart + seconds(10));
        CPPUNIT_ASSERT(directory.usable("models", kStart + seconds(10)).empty());
    }

    // Guards against an upstream that is taken for the process which had its ID before.
    void restartedUpstreamIsUsedAfterARestore()
    {
        UpstreamDirectory directory(DirectoryTimes{});
        auto first = makeEntry("a");
        first.bornMs = 1;
        auto second = first;
        second.bornMs = 2;
        directory.put(first, kStart);
        directory.remove(first.id, kStart);
        directory.replaceAllRestored({second}, kStart);
        CPPUNIT_ASSERT(directory.usable("models", kStart) == std::vector{second});
        // The copy is from before its restart.
        directory.replaceAllRestored({first}, kStart);
        CPPUNIT_ASSERT(directory.usable("models", kStart) == std::vector{second});
    }

    // Guards against too few upstreams while those that registered since the copy register again.
    void upstreamThatTheCopyLacksStaysUntilItRegisters()
    {
        const DirectoryTimes times;
        UpstreamDirectory directory(times);
        directory.replaceAll({makeEntry("a"), makeEntry("b")}, kStart);
        directory.replaceAllRestored({makeEntry("a")}, kStart);
        const TimePoint last = kStart + times.reregisterWithin;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             directory.usable("models", last - milliseconds(1)).size());
        directory.expire(last);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usable("models", last).size());
    }

    // Guards against requests to an upstream that was removed longer ago than the drain time.
    void removedUpstreamIsOnlyAFallback()
    {
        UpstreamDirectory directory(DirectoryTimes{seconds(2), seconds(2)});
        directory.put(makeEntry("a"), kStart);
        directory.put(makeEntry("b"), kStart);
        directory.remove(UpstreamId("a"), kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usable("models", kStart).size());
        directory.remove(UpstreamId("b"), kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             directory.usable("models", kStart + seconds(1)).size());
        CPPUNIT_ASSERT(directory.usable("models", kStart + milliseconds(1400)).empty());
        directory.expire(kStart + seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, directory.size());
    }

    // Guards against overloading the few upstreams whose entries did not expire in a store outage.
    void removedEntriesStayUsableDuringReregistration()
    {
        UpstreamDirectory directory(DirectoryTimes{seconds(2), milliseconds(2200)});
        directory.put(makeEntry("a"), kStart);
        directory.put(makeEntry("b"), kStart);
        directory.onStoreRecovered(kStart + seconds(10), seconds(6));
        directory.replaceAll({makeEntry("b")}, kStart + seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             directory.usable("models", kStart + seconds(11)).size());
        directory.put(makeEntry("a"), kStart + seconds(12));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             directory.usable("models", kStart + seconds(15)).size());
        directory.onStoreRecovered(kStart + seconds(30), seconds(6));
        directory.replaceAll({makeEntry("b")}, kStart + seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             directory.usable("models", kStart + seconds(33)).size());
    }

    // Guards against requests to an upstream that has left, as the store was out of reach for a
    // moment in which no entry can have expired.
    void shortOutageExpiresNoEntries()
    {
        const DirectoryTimes times;
        UpstreamDirectory directory(times);
        directory.replaceAll({makeEntry("a"), makeEntry("b")}, kStart);
        const Duration shortest = 2 * times.heartbeat;
        directory.onStoreRecovered(kStart, shortest - milliseconds(1));
        CPPUNIT_ASSERT(!directory.remove(UpstreamId("a"), kStart));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usable("models", kStart).size());
        directory.onStoreRecovered(kStart, shortest);
        CPPUNIT_ASSERT(directory.remove(UpstreamId("b"), kStart));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), directory.usable("models", kStart).at(0).id.value);
    }

    // Guards against requests to an upstream that leaves, and against refusing all requests while
    // it still takes them.
    void leavingUpstreamIsAFallbackWithinTheDrainTime()
    {
        const DirectoryTimes times;
        UpstreamDirectory directory(times);
        directory.replaceAll({makeEntry("a"), makeEntry("b")}, kStart);
        const auto revision = directory.revision();
        CPPUNIT_ASSERT(directory.markLeaving(UpstreamId("a"), kStart));
        CPPUNIT_ASSERT(!directory.markLeaving(UpstreamId("a"), kStart + seconds(1)));
        CPPUNIT_ASSERT(directory.revision() != revision);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), directory.usable("models", kStart).at(0).id.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usable("models", kStart).size());
        directory.markLeaving(UpstreamId("b"), kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.usable("models", kStart).size());
        const auto before = directory.revision();
        directory.expire(kStart + times.drainWithin);
        CPPUNIT_ASSERT(directory.revision() != before);
        CPPUNIT_ASSERT(directory.usable("models", kStart + times.drainWithin).empty());
    }

    // Guards against requests to an upstream that had said that it leaves, after its entry expired
    // in an outage of the store and is back, or came back with a copy of the store.
    void leavingUpstreamStaysOutWhenItsEntryReturns()
    {
        auto entry = makeEntry("a");
        entry.bornMs = 7;
        const TimePoint later = kStart + seconds(9);
        for (const bool isRestored : {false, true}) {
            UpstreamDirectory directory(DirectoryTimes{});
            directory.put(entry, kStart);
            directory.markLeaving(entry.id, kStart);
            directory.remove(entry.id, kStart);
            directory.expire(later);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, directory.size());
            if (isRestored)
                directory.replaceAllRestored({entry}, later);
            else
                directory.put(entry, later);
            CPPUNIT_ASSERT(directory.usable("models", later).empty());
            directory.expire(later + seconds(9));
            CPPUNIT_ASSERT(directory.usable("models", later + seconds(9)).empty());
        }
    }

    // Guards against an upstream that is taken for the process which left under its ID.
    void leavingUpstreamReturnsAfterRestart()
    {
        auto entry = makeEntry("a");
        entry.bornMs = 7;
        UpstreamDirectory directory(DirectoryTimes{});
        directory.put(entry, kStart);
        directory.markLeaving(entry.id, kStart);
        entry.bornMs = 8;
        directory.put(entry, kStart + seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             directory.usable("models", kStart + seconds(3)).size());
        // It does not say when it started, and was removed in between.
        entry.bornMs = 0;
        directory.put(entry, kStart + seconds(3));
        directory.markLeaving(entry.id, kStart + seconds(3));
        directory.remove(entry.id, kStart + seconds(4));
        directory.put(entry, kStart + seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             directory.usable("models", kStart + seconds(6)).size());
    }

    // Guards against memory that grows with each release.
    void rememberedLeaversAreBounded()
    {
        UpstreamDirectory directory(DirectoryTimes{});
        auto entry = makeEntry("a");
        for (std::uint64_t i = 1; i <= 5000; ++i) {
            entry.bornMs = i;
            directory.put(entry, kStart);
            CPPUNIT_ASSERT(directory.markLeaving(entry.id, kStart));
        }
        entry.bornMs = 1;
        directory.put(entry, kStart + seconds(9));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             directory.usable("models", kStart + seconds(9)).size());
    }

    // Guards against excluding an upstream forever because it once left its address.
    void misdirectedUpstreamReturnsAfterRestart()
    {
        UpstreamDirectory directory(DirectoryTimes{});
        auto entry = makeEntry("a");
        directory.put(entry, kStart);
        directory.markMisdirected(entry.id);
        CPPUNIT_ASSERT(directory.usable("models", kStart).empty());
        entry.slots = 7;
        directory.put(entry, kStart);
        CPPUNIT_ASSERT(directory.usable("models", kStart).empty());
        entry.address = "10.0.0.9:1";
        directory.put(entry, kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usable("models", kStart).size());
    }

    // Guards against requests to an upstream between its end and the platform's notice of it.
    void endedUpstreamIsOnlyAFallback()
    {
        UpstreamDirectory directory(DirectoryTimes{});
        directory.put(makeEntry("a"), kStart);
        directory.put(makeEntry("b"), kStart);
        const auto revision = directory.revision();
        directory.markEnded(rendezvousMemberHash("a"), kStart, kStart + seconds(1));
        CPPUNIT_ASSERT(directory.revision() != revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usable("models", kStart).size());
        directory.markEnded(rendezvousMemberHash("b"), kStart, kStart + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.usable("models", kStart).size());
    }

    // Guards against excluding an upstream that has restarted with its id and address.
    void endedUpstreamReturnsIfItIsStillListed()
    {
        UpstreamDirectory directory(DirectoryTimes{});
        directory.put(makeEntry("a"), kStart);
        directory.put(makeEntry("b"), kStart);
        directory.markEnded(rendezvousMemberHash("a"), kStart, kStart);
        const auto revision = directory.revision();
        const TimePoint later = kStart + seconds(5);
        directory.expire(later);
        CPPUNIT_ASSERT(directory.revision() != revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.usable("models", later).size());
        // Evidence of the same end is repeated.
        directory.markEnded(rendezvousMemberHash("a"), kStart, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.usable("models", later).size());
    }

    // Guards against late evidence that keeps the next process of an id out of use.
    void successorIsNotTakenForTheEndedProcess()
    {
        UpstreamDirectory directory(DirectoryTimes{});
        auto entry = makeEntry("a");
        entry.bornMs = 1000;
        directory.put(entry, kStart);
        directory.put(makeEntry("b"), kStart);
        entry.bornMs = 2000;
        directory.put(entry, kStart + milliseconds(50));
        directory.markEnded(rendezvousMemberHash("a"), kStart, kStart + milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.usable("models", kStart).size());
        directory.markEnded(rendezvousMemberHash("a"), kStart + milliseconds(300),
                            kStart + milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usable("models", kStart).size());
    }

    // Guards against an upstream that drains, or shares its address, taken for one that has ended.
    void listingTellsALaterStartFromARemovalAndADrain()
    {
        UpstreamDirectory directory(DirectoryTimes{});
        auto entry = makeEntry("a");
        entry.bornMs = 1000;
        directory.put(entry, kStart);
        auto other = makeEntry("b");
        other.address = entry.address;
        directory.put(other, kStart);
        CPPUNIT_ASSERT(directory.listing(entry) == ProcessListing::Listed);
        auto draining = entry;
        draining.draining = true;
        directory.put(draining, kStart);
        CPPUNIT_ASSERT(directory.listing(entry) == ProcessListing::Listed);
        directory.remove(entry.id, kStart);
        CPPUNIT_ASSERT(directory.listing(entry) == ProcessListing::Gone);
        other.bornMs = 2000;
        directory.put(other, kStart);
        CPPUNIT_ASSERT(directory.listing(entry) == ProcessListing::Replaced);
    }

    // Guards against a fixed time on a platform whose upstreams renew their entries less often.
    void endedUpstreamIsLeftOutLongerWithRareHeartbeats()
    {
        DirectoryTimes times;
        times.heartbeat = seconds(10);
        UpstreamDirectory directory(times);
        directory.put(makeEntry("a"), kStart);
        directory.put(makeEntry("b"), kStart);
        directory.markEnded(rendezvousMemberHash("a"), kStart, kStart);
        directory.expire(kStart + seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usable("models", kStart).size());
        directory.expire(kStart + seconds(31));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.usable("models", kStart).size());
    }

    void endedUpstreamReturnsAfterRestart()
    {
        UpstreamDirectory directory(DirectoryTimes{});
        auto entry = makeEntry("a");
        directory.put(entry, kStart);
        directory.put(makeEntry("b"), kStart);
        directory.markEnded(rendezvousMemberHash("a"), kStart, kStart);
        entry.address = "10.0.0.9:1";
        directory.put(entry, kStart + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             directory.usable("models", kStart + seconds(1)).size());
    }

    void listReplacesAll()
    {
        UpstreamDirectory directory(DirectoryTimes{});
        directory.replaceAll({makeEntry("a"), makeEntry("b")}, kStart);
        directory.replaceAll({makeEntry("b"), makeEntry("c")}, kStart + seconds(60));
        const auto usable = directory.usable("models", kStart + seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, usable.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), usable[0].id.value);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), usable[1].id.value);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamDirectoryTest);

} // namespace hawthornslip
