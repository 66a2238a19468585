#include "modules/queueing/hold_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace hawthornslip {

class HoldQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HoldQueueTest);
    CPPUNIT_TEST(sendsByUrgency);
    CPPUNIT_TEST(keepsRequestsWithoutRoom);
    CPPUNIT_TEST(sendMayChangeTheQueue);
    CPPUNIT_TEST(workspaceAboveItsShareGoesLastInItsPriority);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a dialogue that waits behind summaries, and an order that waits behind a
    // workspace of lower priority.
    void sendsByUrgency()
    {
        HoldQueue queue;
        std::string order;
        const auto add = [&](const std::string &name, HoldRank rank) {
            queue.add(rank, [&order, name] {
                order += name;
                return HoldQueue::SendResult::Done;
            });
        };
        const TimePoint soon{seconds(1)};
        const TimePoint later{seconds(2)};
        add("e", {0, 0, true, soon});
        add("d", {1, 0, false, soon});
        add("c", {0, 1, false, soon});
        add("b", {0, 0, false, later});
        add("a", {0, 0, false, soon});
        queue.trySendAll(10);
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), order);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
    }

    // Guards against a workspace at ten times its usual behind whose requests the others wait, and
    // against shares that overrule priorities.
    void workspaceAboveItsShareGoesLastInItsPriority()
    {
        constexpr std::uint32_t kGreedy = 7;
        bool isAbove = true;
        HoldQueue queue([&isAbove](std::uint32_t it) { return it == kGreedy && isAbove; });
        std::string order;
        const auto add = [&](const std::string &name, int route, int due, std::uint32_t of) {
            queue.add({0, route, false, TimePoint(seconds(due)), of}, [&order, name] {
                order += name;
                return HoldQueue::SendResult::Held;
            });
        };
        add("b", 0, 1, kGreedy);
        add("a", 0, 5, 3);
        add("d", 1, 1, kGreedy);
        add("c", 1, 5, 3);
        queue.trySendAll(10);
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), order);
        CPPUNIT_ASSERT(queue.mustYield({0, 0, false, TimePoint(seconds(1)), kGreedy}));
        CPPUNIT_ASSERT(!queue.mustYield({-1, 0, false, TimePoint(seconds(1)), kGreedy}));
        // The order follows the shares while requests are held.
        isAbove = false;
        order.clear();
        queue.trySendAll(10);
        CPPUNIT_ASSERT_EQUAL(std::string("badc"), order);
    }

    void keepsRequestsWithoutRoom()
    {
        HoldQueue queue;
        int sendAttempts = 0;
        for (int i = 0; i < 5; ++i) {
            queue.add({}, [&sendAttempts] {
                ++sendAttempts;
                return HoldQueue::SendResult::Held;
            });
        }
        queue.trySendAll(3);
        CPPUNIT_ASSERT_EQUAL(3, sendAttempts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, queue.size());
    }

    // Guards against sending a request whose caller left earlier in the same round.
    void sendMayChangeTheQueue()
    {
        HoldQueue queue;
        HoldQueue::Ticket second = 0;
        int sendAttempts = 0;
        queue.add({0, 0, false, TimePoint(seconds(1))}, [&] {
            queue.remove(second);
            return HoldQueue::SendResult::Done;
        });
        second = queue.add({0, 0, false, TimePoint(seconds(2))}, [&] {
            ++sendAttempts;
            return HoldQueue::SendResult::Done;
        });
        queue.trySendAll(10);
        CPPUNIT_ASSERT_EQUAL(0, sendAttempts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HoldQueueTest);

} // namespace hawthornslip
