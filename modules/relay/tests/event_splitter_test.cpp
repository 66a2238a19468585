#include "modules/relay/event_splitter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace hawthornslip {

class EventSplitterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSplitterTest);
    CPPUNIT_TEST(splitsAtEveryPosition);
    CPPUNIT_TEST(keepsIncompleteEvent);
    CPPUNIT_TEST(readsIds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an event that is relayed incompletely or merged with the next one when the
    // stream is split at any byte.
    void splitsAtEveryPosition()
    {
        const std::string first = "id: 1\ndata: a\n\n";
        const std::string second = "id: 2\r\ndata: b\r\n\r\n";
        const std::string third = "data: c\n\n";
        const std::string all = first + second + third;
        for (std::size_t cut = 0; cut <= all.size(); ++cut) {
            EventSplitter splitter;
            std::vector<std::string> events;
            const auto take = [&events](const StreamEvent &it) { events.emplace_back(it.text); };
            splitter.add(all.substr(0, cut), take);
            splitter.add(all.substr(cut), take);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, events.size());
            CPPUNIT_ASSERT_EQUAL(first, events[0]);
            CPPUNIT_ASSERT_EQUAL(second, events[1]);
            CPPUNIT_ASSERT_EQUAL(third, events[2]);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, splitter.pending());
        }
    }

    // Guards against treating a stream that stops in the middle of an event as complete.
    void keepsIncompleteEvent()
    {
        EventSplitter splitter;
        int events = 0;
        splitter.add("id: 1\ndata: a\n", [&events](const StreamEvent &) { ++events; });
        CPPUNIT_ASSERT_EQUAL(0, events);
        CPPUNIT_ASSERT(splitter.pending() > 0);
        splitter.reset();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, splitter.pending());
    }

    void readsIds()
    {
        EventSplitter splitter;
        std::vector<std::optional<std::uint64_t>> ids;
        splitter.add("version: 3\nid:17\ndata: id: 5\n\ndata: x\n\nid: no\n\n",
                     [&ids](const StreamEvent &it) { ids.push_back(it.id); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ids.size());
        CPPUNIT_ASSERT(ids[0] == std::uint64_t{17});
        CPPUNIT_ASSERT(!ids[1]);
        CPPUNIT_ASSERT(!ids[2]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

} // namespace hawthornslip
