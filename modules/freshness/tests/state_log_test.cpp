#include "modules/freshness/state_log.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr TimePoint kStart{seconds(1000)};

} // namespace

class StateLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StateLogTest);
    CPPUNIT_TEST(returnsOnlyLaterChanges);
    CPPUNIT_TEST(repeatedListReportsMissingObjectsAsRemoved);
    CPPUNIT_TEST(revisionBeforeTheHistoryGetsTheCompleteList);
    CPPUNIT_TEST(manyRemovalsEndTheHistory);
    CPPUNIT_TEST(stagedObjectsAreInvisible);
    CPPUNIT_TEST(confirmationNeverGoesBack);
    CPPUNIT_TEST(positionOfAnotherEraGetsTheCompleteList);
    CPPUNIT_TEST(eraStartsANewHistory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a follower that misses a change or gets all objects with each one.
    void returnsOnlyLaterChanges()
    {
        StateLog log = makeLog();
        log.stage({"b", false, "2"});
        log.commit({0, 12}, kStart);
        const auto changes = log.since(StatePosition{0, 10});
        CPPUNIT_ASSERT(!changes.isComplete);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, changes.position.revision);
        CPPUNIT_ASSERT(changes.objects == (std::vector<StateObject>{{"b", false, "2"}}));
        CPPUNIT_ASSERT(log.since(StatePosition{0, 12}).objects.empty());
        // A follower that already read a later revision elsewhere keeps it.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, log.since(StatePosition{0, 15}).position.revision);
    }

    // Guards against removed upstreams that stay in use at followers because the reader had to list
    // again and saw no removal.
    void repeatedListReportsMissingObjectsAsRemoved()
    {
        StateLog log = makeLog();
        log.stageList({{"b", false, "1"}});
        log.commit({0, 20}, kStart);
        const auto changes = log.since(StatePosition{0, 10});
        CPPUNIT_ASSERT(changes.objects == (std::vector<StateObject>{{"a", true, ""}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.since(std::nullopt).objects.size());
    }

    void revisionBeforeTheHistoryGetsTheCompleteList()
    {
        const StateLog log = makeLog();
        CPPUNIT_ASSERT(log.since(StatePosition{0, 9}).isComplete);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log.since(StatePosition{0, 9}).objects.size());
    }

    // Guards against memory that grows with each upstream that ever left.
    void manyRemovalsEndTheHistory()
    {
        StateLog log = makeLog();
        constexpr std::uint64_t kRemovals = 2000;
        for (std::uint64_t i = 0; i < kRemovals; ++i) {
            log.stage({"gone" + std::to_string(i), true, ""});
            log.commit({0, 11 + i}, kStart);
        }
        CPPUNIT_ASSERT(log.since(StatePosition{0, 10}).isComplete);
        CPPUNIT_ASSERT(log.since(StatePosition{0, 10 + kRemovals / 2}).isComplete);
        const auto recent = log.since(StatePosition{0, 11 + kRemovals - 10});
        CPPUNIT_ASSERT(!recent.isComplete);
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, recent.objects.size());
    }

    // Guards against followers that see half of a batch of changes as confirmed.
    void stagedObjectsAreInvisible()
    {
        StateLog log = makeLog();
        log.stage({"b", false, "2"});
        CPPUNIT_ASSERT(log.since(StatePosition{0, 10}).objects.empty());
        CPPUNIT_ASSERT(!StateLog().isListed());
    }

    void confirmationNeverGoesBack()
    {
        StateLog log = makeLog();
        log.commit({0, 10}, kStart - seconds(5));
        CPPUNIT_ASSERT(log.confirmedAt() == kStart);
    }

    // Guards against followers that hold a revision which the store has given out again.
    void positionOfAnotherEraGetsTheCompleteList()
    {
        const StateLog log = makeLog();
        CPPUNIT_ASSERT(log.since(StatePosition{1, 10}).isComplete);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, log.since(StatePosition{1, 20}).position.era);
    }

    // Guards against changes that are filed under a revision of the era before.
    void eraStartsANewHistory()
    {
        StateLog log = makeLog();
        log.stageList({{"a", false, "1"}});
        log.commit({1, 8}, kStart);
        CPPUNIT_ASSERT(log.since(StatePosition{0, 10}).isComplete);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.since(StatePosition{0, 10}).objects.size());
        log.stage({"c", false, "1"});
        log.commit({1, 9}, kStart);
        const auto changes = log.since(StatePosition{1, 8});
        CPPUNIT_ASSERT(!changes.isComplete);
        CPPUNIT_ASSERT(changes.objects == (std::vector<StateObject>{{"c", false, "1"}}));
    }

private:
    static StateLog makeLog()
    {
        StateLog log;
        log.stageList({{"a", false, "1"}, {"b", false, "1"}});
        log.commit({0, 10}, kStart);
        return log;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateLogTest);

} // namespace hawthornslip
