#include "modules/usage/usage_collector.h"
#include "modules/usage/usage_counter.h"
#include "modules/usage/usage_draft.h"
#include "modules/usage/usage_journal.h"
#include "modules/usage/window_clock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

class UsageCountsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageCountsTest);
    CPPUNIT_TEST(counterKeepsABoundedNumberOfWindows);
    CPPUNIT_TEST(lostAndDoubledMessagesDoNotChangeTheSum);
    CPPUNIT_TEST(restartedNodeAddsToItsEarlierCounts);
    CPPUNIT_TEST(missingNodesAreCounted);
    CPPUNIT_TEST(windowThatNobodyCountedIsNotKnown);
    CPPUNIT_TEST(jumpOfOneClockDoesNotMoveWindows);
    CPPUNIT_TEST(delayedQuestionDoesNotMoveWindows);
    CPPUNIT_TEST(fewClocksChangeNothing);
    CPPUNIT_TEST(unreadableJournalsAreRefused);
    CPPUNIT_TEST(draftsKeepTheCountsOfEachStart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against counts that grow without bound while nobody reports them.
    void counterKeepsABoundedNumberOfWindows()
    {
        const UsageTimes times;
        UsageCounter counter(times);
        for (std::uint64_t window = 1; window <= 1000; ++window)
            counter.onBegun("a", window);
        const auto counts = counter.countsFrom(0);
        CPPUNIT_ASSERT_EQUAL(times.keptWindows(), counts.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), counts.rbegin()->first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), counter.countsFrom(1000).size());
    }

    // Guards against requests that are lost or counted twice with a datagram.
    void lostAndDoubledMessagesDoNotChangeTheSum()
    {
        UsageCollector collector;
        const NodeId node("n");
        // The message with 2 is lost; those with 3 and 1 come in the wrong order, one of them
        // twice.
        for (const std::uint64_t n : {3, 1, 3})
            collector.onCounts(node, 1, {{10, {{"a", n}}}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), collector.sum(10, {}).counts.at("a"));
    }

    // Guards against a restart that hides what the node counted before.
    void restartedNodeAddsToItsEarlierCounts()
    {
        UsageCollector collector;
        const NodeId node("n");
        collector.onCounts(node, 1, {{10, {{"a", 5}}}});
        collector.onCounts(node, 2, {{10, {{"a", 2}}}});
        const auto usage = collector.sum(10, {node});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), usage.counts.at("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), usage.parts);
    }

    // Guards against a window that is frozen while the last counts of a node are on their way.
    void missingNodesAreCounted()
    {
        UsageCollector collector;
        const std::vector<NodeId> nodes{NodeId("a"), NodeId("b")};
        collector.onFinal(nodes[0], 1, 11);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), collector.sum(10, nodes).missing);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), collector.firstOpen(nodes[1], 10));
        collector.onFinal(nodes[1], 1, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), collector.sum(10, nodes).missing);
        collector.onFinal(nodes[1], 1, 12);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), collector.sum(10, nodes).missing);
    }

    // Guards against a report without requests for a window whose counts ended with their nodes.
    void windowThatNobodyCountedIsNotKnown()
    {
        UsageCollector collector;
        const NodeId node("n");
        collector.onFinal(node, 10, 12);
        CPPUNIT_ASSERT(!collector.sum(9, {node}).isKnown);
        CPPUNIT_ASSERT(collector.sum(10, {node}).isKnown);
        CPPUNIT_ASSERT(collector.sum(11, {node}).isKnown);
        collector.onCounts(node, 1, {{9, {{"a", 1}}}});
        CPPUNIT_ASSERT(collector.sum(9, {node}).isKnown);
    }

    // Guards against a clock step of one node, or of the holder, that moves requests into another
    // window.
    void jumpOfOneClockDoesNotMoveWindows()
    {
        const TimePoint start{seconds(100)};
        const UnixMillis wall = 1'000'000'000;
        WindowClock holder(seconds(5), wall, start);
        const TimePoint now = start + seconds(7);
        holder.onNodeClock(NodeId("self"), wall + 7000 + 30'000, now);
        holder.onNodeClock(NodeId("b"), wall + 7000, now);
        holder.onNodeClock(NodeId("c"), wall + 7001, now);
        holder.setToMedian(now);
        CPPUNIT_ASSERT_EQUAL(wall + 7001, holder.timeAt(now));
        // A node that started with a wrong clock follows the holder.
        WindowClock node(seconds(5), wall - 20'000, start);
        node.onHolderTime(holder.timeAt(now), now);
        CPPUNIT_ASSERT_EQUAL(holder.windowAt(now), node.windowAt(now));
        CPPUNIT_ASSERT(holder.endOf(node.windowAt(now)) > now);
        CPPUNIT_ASSERT(holder.endOf(node.windowAt(now) - 1) <= now);
    }

    // Guards against questions that a frozen node reads seconds after they were sent.
    void delayedQuestionDoesNotMoveWindows()
    {
        const TimePoint start{seconds(100)};
        const UnixMillis wall = 1'000'000'000;
        WindowClock node(seconds(5), wall, start);
        node.onHolderTime(wall + 1000, start + seconds(1));
        node.onHolderTime(wall + 2000, start + seconds(6));
        CPPUNIT_ASSERT_EQUAL(wall + 6000, node.timeAt(start + seconds(6)));
    }

    // Guards against a median of two clocks, which is one of them by chance.
    void fewClocksChangeNothing()
    {
        const TimePoint start{seconds(100)};
        WindowClock holder(seconds(5), 1000, start);
        holder.onNodeClock(NodeId("self"), 50'000, start);
        holder.onNodeClock(NodeId("b"), 60'000, start);
        holder.setToMedian(start);
        CPPUNIT_ASSERT_EQUAL(UnixMillis(1000), holder.timeAt(start));
    }

    // Guards against a draft that mixes starts of a node up, and against one that other software
    // has written.
    void draftsKeepTheCountsOfEachStart()
    {
        StartCounts starts;
        starts[{NodeId("n"), 1}] = {{9, {{"a", 1}}}, {10, {{"a", 2}, {"b", 3}}}};
        starts[{NodeId("n"), 2}] = {{10, {{"b", 4}}}, {11, {}}};
        starts[{NodeId("m"), 3}] = {{9, {{"c", 5}}}};
        const auto decoded = decodeUsageDraft(encodeUsageDraft(starts, 10));
        starts.erase({NodeId("m"), 3});
        starts.begin()->second.erase(9);
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(starts == *decoded);
        CPPUNIT_ASSERT(encodeUsageDraft(starts, 12).empty());
        for (const char *text : {"", "[]", "{}", R"({"workspaces":[1],"starts":[]})",
                                 R"({"workspaces":["a"],"starts":[["n",1]]})",
                                 R"({"workspaces":["a"],"starts":[["n",1,[[5,[1,2]]]]]})",
                                 R"({"workspaces":["a"],"starts":[["n",1,[[5,[0]]]]]})",
                                 R"({"workspaces":["a"],"starts":[["n",1,[[5,[0,-2]]]]]})"})
            CPPUNIT_ASSERT(!decodeUsageDraft(text).has_value());
    }

    // Guards against a journal that other software has written.
    void unreadableJournalsAreRefused()
    {
        UsageJournal journal{7, {}};
        journal.reports[7].counts = {{"a", 3}};
        journal.reports[8].isAccepted = true;
        CPPUNIT_ASSERT(journal == *decodeUsageJournal(encodeUsageJournal(journal)));
        for (const char *text :
             {"", "[]", "{}", R"({"first_window":-1,"reports":[]})",
              R"({"first_window":1,"reports":[{"window":1}]})",
              R"({"first_window":1,"reports":[{"window":1,"counts":{"a":-1},"accepted":false}]})"})
            CPPUNIT_ASSERT(!decodeUsageJournal(text).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageCountsTest);

} // namespace hawthornslip
