#include "modules/scaling/order_book.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr Duration kStep = milliseconds(250);
constexpr Duration kStartTime = seconds(4);

} // namespace

class OrderBookTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderBookTest);
    CPPUNIT_TEST(sendsOneOrderForEachChange);
    CPPUNIT_TEST(repeatsAnOrderOfUnknownFateWithTheNewestValue);
    CPPUNIT_TEST(repeatsAnOrderWithoutEffect);
    CPPUNIT_TEST(silentProviderIsCalledRarely);
    CPPUNIT_TEST(findsReclaimedUpstreamsOnce);
    CPPUNIT_TEST(refusedRiseWaitsAndAFallDoesNot);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second order while one is on its way, and against repeated ones.
    void sendsOneOrderForEachChange()
    {
        OrderBook book(kStartTime);
        TimePoint now{seconds(1)};
        const UpstreamCounts ready = {{m_subject, 3}};
        CPPUNIT_ASSERT(book.due({{m_subject, 3}}, ready, now).empty());
        const auto orders = book.due({{m_subject, 5}}, ready, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        book.onSent(orders[0]);
        CPPUNIT_ASSERT(book.due({{m_subject, 6}}, ready, now + seconds(1)).empty());
        book.onResult(orders[0], ProviderResult::Accepted, now);
        now += seconds(1);
        CPPUNIT_ASSERT(book.due({{m_subject, 5}}, ready, now).empty());
        CPPUNIT_ASSERT_EQUAL(6U, book.due({{m_subject, 6}}, ready, now)[0].desired);
    }

    // Guards against a lost order, and against one that is carried out seconds later and replaces
    // the newer value.
    void repeatsAnOrderOfUnknownFateWithTheNewestValue()
    {
        OrderBook book(kStartTime);
        TimePoint now{seconds(1)};
        const UpstreamCounts ready = {{m_subject, 3}};
        const DueOrder order{m_subject, 5};
        book.onSent(order);
        book.onResult(order, ProviderResult::Unknown, now);
        now += seconds(2);
        // Also when the upstreams that are ready are as many as desired.
        const auto again = book.due({{m_subject, 3}}, ready, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
        CPPUNIT_ASSERT_EQUAL(3U, again[0].desired);
        book.onSent(again[0]);
        book.onResult(again[0], ProviderResult::Accepted, now);
        CPPUNIT_ASSERT(book.due({{m_subject, 3}}, ready, now + seconds(1)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             book.due({{m_subject, 3}}, ready, now + seconds(7)).size());
    }

    // Guards against upstreams that never come although their order was accepted.
    void repeatsAnOrderWithoutEffect()
    {
        OrderBook book(kStartTime);
        TimePoint now{seconds(1)};
        const UpstreamCounts ready = {{m_subject, 3}};
        const DueOrder order{m_subject, 5};
        book.onSent(order);
        book.onResult(order, ProviderResult::Accepted, now);
        std::size_t calls = 0;
        for (const TimePoint end = now + seconds(120); now < end; now += kStep) {
            for (const auto &it : book.due({{m_subject, 5}}, ready, now)) {
                ++calls;
                book.onSent(it);
                book.onResult(it, ProviderResult::Accepted, now);
            }
        }
        CPPUNIT_ASSERT(calls >= 2 && calls <= 6);
    }

    // Guards against a call each second while the provider answers none.
    void silentProviderIsCalledRarely()
    {
        OrderBook book(kStartTime);
        TimePoint now{seconds(1)};
        std::size_t calls = 0;
        for (const TimePoint end = now + seconds(60); now < end; now += kStep) {
            for (const auto &it : book.due({{m_subject, 5}}, {}, now)) {
                ++calls;
                book.onSent(it);
                book.onResult(it, ProviderResult::Unknown, now);
            }
        }
        CPPUNIT_ASSERT(calls >= 8 && calls <= 16);
    }

    // Guards against capacity that is counted on after it was taken away, and against an upstream
    // that one has given up oneself being taken for such a loss.
    void findsReclaimedUpstreamsOnce()
    {
        OrderBook book(kStartTime);
        TimePoint now{seconds(1)};
        const UpstreamCounts ready = {{m_subject, 5}};
        CPPUNIT_ASSERT(book.findReclaimed(ready, now).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book.findReclaimed({{m_subject, 0}}, now).size());
        CPPUNIT_ASSERT(book.withoutReclaimable(now).contains(m_subject.domain));
        CPPUNIT_ASSERT(book.findReclaimed({{m_subject, 0}}, now).empty());
        const auto orders = book.due({{m_subject, 0}}, {}, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        book.onSent(orders[0]);
        book.onResult(orders[0], ProviderResult::Accepted, now);
        CPPUNIT_ASSERT(book.due({{m_subject, 0}}, {}, now + seconds(20)).empty());
        CPPUNIT_ASSERT(book.withoutReclaimable(now + seconds(20)).empty());
        CPPUNIT_ASSERT(book.findReclaimed(ready, now).empty());
        CPPUNIT_ASSERT(book.findReclaimed({{m_subject, 0}}, now).empty());
    }

    // Guards against refused calls in quick succession, and against a fall that waits for them.
    void refusedRiseWaitsAndAFallDoesNot()
    {
        OrderBook book(kStartTime);
        TimePoint now{seconds(1)};
        const UpstreamCounts ready = {{m_subject, 5}};
        const DueOrder order{m_subject, 8};
        book.onSent(order);
        book.onResult(order, ProviderResult::Conflict, now);
        now += seconds(2);
        CPPUNIT_ASSERT(book.due({{m_subject, 8}}, ready, now).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book.due({{m_subject, 3}}, ready, now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             book.due({{m_subject, 8}}, ready, now + seconds(3)).size());
    }

private:
    const OrderSubject m_subject{FailureDomain("a"), UpstreamSort::Reclaimable};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderBookTest);

} // namespace hawthornslip
