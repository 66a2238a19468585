#include "modules/selection/outlier_detector.h"
#include "modules/selection/upstream_selector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace hawthornslip {

namespace {

constexpr TimePoint kStart{seconds(1000)};

std::vector<UpstreamId> makeIds(int n)
{
    std::vector<UpstreamId> ids;
    for (int i = 0; i < n; ++i)
        ids.emplace_back("u" + std::to_string(i));
    return ids;
}

} // namespace

class SelectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SelectionTest);
    CPPUNIT_TEST(prefixKeepsItsPreferredUpstream);
    CPPUNIT_TEST(prefixYieldsToLoadBound);
    CPPUNIT_TEST(excludedUpstreamIsSkipped);
    CPPUNIT_TEST(fullUpstreamIsNeverPicked);
    CPPUNIT_TEST(failingUpstreamIsEjectedAndRampsUp);
    CPPUNIT_TEST(slowUpstreamIsEjected);
    CPPUNIT_TEST(ejectionsAreCapped);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests with the same prefix that miss the prefix cache because they are
    // spread over upstreams.
    void prefixKeepsItsPreferredUpstream()
    {
        UpstreamSelector selector(true);
        selector.setUpstreams(makeIds(10));
        for (std::size_t i = 0; i < 10; ++i)
            selector.setLoad(i, 20, 10);
        std::map<std::size_t, int> used;
        for (std::uint64_t prefix = 0; prefix < 200; ++prefix) {
            const auto key = PrefixAffinity::keyOf(WorkspaceId("w"), prefix);
            const auto first = selector.pick(key, {});
            CPPUNIT_ASSERT(first == selector.pick(key, {}));
            ++used[*first];
        }
        CPPUNIT_ASSERT(used.size() >= 9);
    }

    // Guards against one workspace that overloads its preferred upstream while the others idle.
    void prefixYieldsToLoadBound()
    {
        UpstreamSelector selector(true);
        selector.setUpstreams(makeIds(10));
        std::map<std::size_t, std::uint32_t> load;
        for (std::size_t i = 0; i < 10; ++i)
            selector.setLoad(i, 20, 0);
        const auto key = PrefixAffinity::keyOf(WorkspaceId("w"), 1);
        for (int n = 0; n < 100; ++n) {
            const auto i = selector.pick(key, {});
            CPPUNIT_ASSERT(i.has_value());
            selector.setLoad(*i, 20, ++load[*i]);
        }
        for (const auto &[i, n] : load)
            CPPUNIT_ASSERT(n <= 14);
    }

    // Guards against a retry at the upstream that has just failed, unless no other has capacity.
    void excludedUpstreamIsSkipped()
    {
        UpstreamSelector selector(true);
        selector.setUpstreams(makeIds(2));
        selector.setLoad(0, 5, 0);
        selector.setLoad(1, 5, 4);
        for (std::uint64_t key = 0; key < 20; ++key)
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *selector.pick(key, {0}));
        selector.setLoad(1, 5, 5);
        CPPUNIT_ASSERT(!selector.pick(1, {0}));
        selector.setLoad(1, 0, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *selector.pick(1, {0}));
    }

    // Guards against exceeding the limit of an upstream, and against slot counts that drift.
    void fullUpstreamIsNeverPicked()
    {
        UpstreamSelector selector(false);
        selector.setUpstreams(makeIds(3));
        std::map<std::size_t, std::uint32_t> load;
        for (std::size_t i = 0; i < 3; ++i)
            selector.setLoad(i, 4, 0);
        while (const auto i = selector.pick(0, {}))
            selector.setLoad(*i, 4, ++load[*i]);
        for (std::size_t i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(4U, load[i]);
        CPPUNIT_ASSERT_EQUAL(0U, selector.freeSlots());
        CPPUNIT_ASSERT_EQUAL(12U, selector.totalSlots());
    }

    // Guards against a crashed upstream that attracts requests because it looks idle.
    void failingUpstreamIsEjectedAndRampsUp()
    {
        OutlierDetector detector;
        detector.resize(6);
        for (int n = 0; n < 3; ++n)
            detector.observeFailure(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, detector.update(6, kStart).size());
        CPPUNIT_ASSERT_EQUAL(0.0, detector.share(2, kStart + seconds(4)));
        detector.update(6, kStart + seconds(5));
        const double first = detector.share(2, kStart + seconds(5));
        CPPUNIT_ASSERT(first > 0 && first < 0.2);
        CPPUNIT_ASSERT_EQUAL(1.0, detector.share(2, kStart + seconds(10)));
        // The next ejection is longer.
        for (int n = 0; n < 3; ++n)
            detector.observeFailure(2);
        detector.update(6, kStart + seconds(16));
        detector.update(6, kStart + seconds(22));
        CPPUNIT_ASSERT_EQUAL(0.0, detector.share(2, kStart + seconds(22)));
    }

    // Guards against an upstream that answers, but much more slowly than the others.
    void slowUpstreamIsEjected()
    {
        OutlierDetector detector;
        detector.resize(6);
        for (int n = 0; n < 20; ++n) {
            for (std::size_t i = 0; i < 6; ++i)
                detector.observeLatency(i, i == 4 ? 3.0 : 0.8);
        }
        const auto ejected = detector.update(6, kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ejected.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, ejected.front());
    }

    // Guards against ejecting a whole group because of a fault outside its upstreams.
    void ejectionsAreCapped()
    {
        OutlierDetector detector;
        detector.resize(9);
        for (std::size_t i = 0; i < 9; ++i) {
            for (int n = 0; n < 5; ++n)
                detector.observeFailure(i);
        }
        detector.update(9, kStart);
        detector.update(9, kStart + milliseconds(50));
        int out = 0;
        for (std::size_t i = 0; i < 9; ++i)
            out += detector.share(i, kStart + seconds(1)) > 0 ? 0 : 1;
        CPPUNIT_ASSERT_EQUAL(3, out);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SelectionTest);

} // namespace hawthornslip
