#include "modules/queueing/hold_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace hawthornslip {

class HoldQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HoldQueueTest);
    CPPUNIT_TEST(offersByUrgency);
    CPPUNIT_TEST(keepsWhatFoundNoRoom);
    CPPUNIT_TEST(offerMayChangeTheQueue);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a dialogue that waits behind summaries, and an order behind a lower workspace.
    void offersByUrgency()
    {
        HoldQueue queue;
        std::string order;
        const auto add = [&](const std::string &name, HoldRank rank) {
            queue.add(rank, [&order, name] {
                order += name;
                return HoldQueue::Offer::Taken;
            });
        };
        const TimePoint soon{seconds(1)};
        const TimePoint later{seconds(2)};
        add("e", {0, 0, true, soon});
        add("d", {1, 0, false, soon});
        add("c", {0, 1, false, soon});
        add("b", {0, 0, false, later});
        add("a", {0, 0, false, soon});
        queue.pump(10);
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), order);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
    }

    void keepsWhatFoundNoRoom()
    {
        HoldQueue queue;
        int offers = 0;
        for (int i = 0; i < 5; ++i) {
            queue.add({}, [&offers] {
                ++offers;
                return HoldQueue::Offer::Kept;
            });
        }
        queue.pump(3);
        CPPUNIT_ASSERT_EQUAL(3, offers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, queue.size());
    }

    // Guards against a request that is offered a place after its caller left in the same round.
    void offerMayChangeTheQueue()
    {
        HoldQueue queue;
        HoldQueue::Ticket second = 0;
        int offers = 0;
        queue.add({0, 0, false, TimePoint(seconds(1))}, [&] {
            queue.remove(second);
            return HoldQueue::Offer::Taken;
        });
        second = queue.add({0, 0, false, TimePoint(seconds(2))}, [&] {
            ++offers;
            return HoldQueue::Offer::Taken;
        });
        queue.pump(10);
        CPPUNIT_ASSERT_EQUAL(0, offers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HoldQueueTest);

} // namespace hawthornslip
