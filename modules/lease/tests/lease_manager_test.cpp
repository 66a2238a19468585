#include "modules/lease/lease_manager.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>

namespace hawthornslip {

namespace {

// Several managers over one lease object, with a simulated clock.
class LeaseHarness
{
public:
    LeaseManager &add(const std::string &name, std::uint64_t incarnation = 1)
    {
        managers.push_back(std::make_unique<LeaseManager>(NodeId(name), incarnation));
        return *managers.back();
    }

    void run(std::size_t n, const LeaseActions &actions)
    {
        auto &manager = *managers[n];
        for (const auto &it : actions) {
            if (const auto *read = std::get_if<ReadLease>(&it)) {
                ++calls;
                const auto error = storeDown      ? StoreError::Unavailable
                                   : version == 0 ? StoreError::NotFound
                                                  : StoreError::None;
                run(n, manager.read(read->operation, error, record, version, now));
            } else if (const auto *write = std::get_if<WriteLease>(&it)) {
                ++calls;
                if (holdWrites)
                    held.push_back(*write);
                else
                    commit(n, *write);
            } else if (std::holds_alternative<LeaseLost>(it)) {
                ++lost;
            }
        }
    }

    void commit(std::size_t n, const WriteLease &write)
    {
        auto error = StoreError::Unavailable;
        if (!storeDown && write.expectedVersion != version)
            error = StoreError::Conflict;
        else if (!storeDown) {
            record = write.record;
            ++version;
            error = loseAnswer ? StoreError::Unknown : StoreError::None;
        }
        loseAnswer = false;
        run(n, managers[n]->written(write.operation, error, version, now));
    }

    // Advances the clock in steps of 100 ms; the manager with index paused does not run.
    void advanceTime(Duration span, int paused = -1)
    {
        const auto end = now + span;
        while (now < end) {
            now += milliseconds(100);
            for (std::size_t i = 0; i < managers.size(); ++i) {
                if (static_cast<int>(i) != paused)
                    run(i, managers[i]->wake(now));
            }
            int holders = 0;
            for (const auto &it : managers)
                holders += it->held(now) ? 1 : 0;
            CPPUNIT_ASSERT(holders <= 1);
        }
    }

    void want(std::size_t n, bool wanted = true) { run(n, managers[n]->setWanted(wanted, now)); }

    std::vector<std::unique_ptr<LeaseManager>> managers;
    TimePoint now{seconds(1000)};
    LeaseRecord record;
    std::uint64_t version = 0;
    bool storeDown = false;
    bool loseAnswer = false;
    bool holdWrites = false;
    std::vector<WriteLease> held;
    int calls = 0;
    int lost = 0;
};

} // namespace

class LeaseManagerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseManagerTest);
    CPPUNIT_TEST(oneHolderAtATime);
    CPPUNIT_TEST(pausedHolderLosesLease);
    CPPUNIT_TEST(acquisitionWaitsFullDuration);
    CPPUNIT_TEST(durationCountsFromStartOfWrite);
    CPPUNIT_TEST(lostAnswerIsReadBack);
    CPPUNIT_TEST(outageEndsTheLease);
    CPPUNIT_TEST(releaseHandsOver);
    CPPUNIT_TEST(restartedHolderWaits);
    CPPUNIT_TEST(storeCallsAreLimited);
    CPPUNIT_TEST(recordSurvivesEncoding);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two nodes that hold the lease and send orders at the same time.
    void oneHolderAtATime()
    {
        LeaseHarness harness;
        harness.add("a");
        harness.add("b");
        harness.want(0);
        harness.want(1);
        CPPUNIT_ASSERT(harness.managers[0]->held(harness.now));
        harness.advanceTime(seconds(60));
        CPPUNIT_ASSERT(harness.managers[0]->held(harness.now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harness.record.fencing);
    }

    // Guards against a paused process that resumes and sends orders after another node acquired
    // its lease.
    void pausedHolderLosesLease()
    {
        LeaseHarness harness;
        harness.add("a");
        harness.add("b");
        harness.want(0);
        harness.want(1);
        harness.advanceTime(seconds(30), 0);
        CPPUNIT_ASSERT(harness.managers[1]->held(harness.now));
        CPPUNIT_ASSERT(!harness.managers[0]->held(harness.now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.record.fencing);
        harness.advanceTime(seconds(30));
        CPPUNIT_ASSERT(harness.managers[1]->held(harness.now));
    }

    // Guards against a waiting node that counts the duration from an old renewal or from before
    // its first read.
    void acquisitionWaitsFullDuration()
    {
        LeaseHarness harness;
        harness.add("a");
        harness.add("b");
        harness.want(0);
        harness.advanceTime(seconds(5));
        const auto seen = harness.now;
        harness.want(1);
        harness.advanceTime(seconds(9), 0);
        CPPUNIT_ASSERT(!harness.managers[1]->held(harness.now));
        while (!harness.managers[1]->held(harness.now))
            harness.advanceTime(milliseconds(100), 0);
        CPPUNIT_ASSERT(harness.managers[1]->held(harness.now)->acquiredAt >= seen + seconds(10));
    }

    // Guards against using a lease beyond its expiry when the write took long: the duration counts
    // from the start of the write.
    void durationCountsFromStartOfWrite()
    {
        LeaseHarness harness;
        harness.add("a");
        harness.holdWrites = true;
        harness.want(0);
        const auto sent = harness.now;
        harness.now += seconds(4);
        harness.commit(0, harness.held.at(0));
        CPPUNIT_ASSERT(harness.managers[0]->held(harness.now)->usableUntil == sent + seconds(9));
    }

    // Guards against a holder that waits for its own lease to expire when the answer to its write
    // is lost.
    void lostAnswerIsReadBack()
    {
        LeaseHarness harness;
        harness.add("a");
        harness.loseAnswer = true;
        harness.want(0);
        CPPUNIT_ASSERT(harness.managers[0]->held(harness.now));
        harness.advanceTime(seconds(2));
        harness.loseAnswer = true;
        harness.advanceTime(seconds(10));
        CPPUNIT_ASSERT(harness.managers[0]->held(harness.now));
        CPPUNIT_ASSERT_EQUAL(0, harness.lost);
    }

    // Guards against using the lease during a store outage, and against never acquiring it again.
    void outageEndsTheLease()
    {
        LeaseHarness harness;
        harness.add("a");
        harness.want(0);
        harness.storeDown = true;
        harness.advanceTime(seconds(12));
        CPPUNIT_ASSERT(!harness.managers[0]->held(harness.now));
        CPPUNIT_ASSERT_EQUAL(1, harness.lost);
        harness.storeDown = false;
        harness.advanceTime(seconds(5));
        CPPUNIT_ASSERT(harness.managers[0]->held(harness.now).has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.record.fencing);
    }

    // Guards against a graceful shutdown that leaves the lease unused for its full duration.
    void releaseHandsOver()
    {
        LeaseHarness harness;
        harness.add("a");
        harness.add("b");
        harness.want(0);
        harness.want(1);
        harness.advanceTime(seconds(4));
        harness.want(0, false);
        CPPUNIT_ASSERT(!harness.managers[0]->held(harness.now));
        harness.advanceTime(seconds(4));
        CPPUNIT_ASSERT(harness.managers[1]->held(harness.now));
    }

    // Guards against a restarted process that uses the lease of its earlier incarnation.
    void restartedHolderWaits()
    {
        LeaseHarness harness;
        harness.add("a", 1);
        harness.want(0);
        harness.add("a", 2);
        harness.want(1);
        harness.advanceTime(seconds(9), 0);
        CPPUNIT_ASSERT(!harness.managers[1]->held(harness.now));
        harness.advanceTime(seconds(5), 0);
        CPPUNIT_ASSERT(harness.managers[1]->held(harness.now));
    }

    // Guards against store calls beyond the renewals and the periodic reads.
    void storeCallsAreLimited()
    {
        LeaseHarness harness;
        harness.add("a");
        harness.add("b");
        harness.want(0);
        harness.want(1);
        harness.calls = 0;
        harness.advanceTime(seconds(60));
        CPPUNIT_ASSERT(harness.calls >= 38 && harness.calls <= 42);
    }

    // Guards against a field that is lost in encoding, and against accepting invalid documents.
    void recordSurvivesEncoding()
    {
        const LeaseRecord record{NodeId("n"), 5, 6, 7};
        CPPUNIT_ASSERT(decodeLease(encodeLease(record)) == record);
        for (const auto *it : {"", "[]", "{}", R"({"holder":1})",
                               R"({"holder":"n","incarnation":-1,"fencing":1,"renewals":1})"})
            CPPUNIT_ASSERT(!decodeLease(it));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseManagerTest);

} // namespace hawthornslip
