#include "modules/ownership/rendezvous_hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace hawthornslip {

namespace {

std::vector<NodeId> makeNodes(int n)
{
    std::vector<NodeId> nodes;
    for (int i = 0; i < n; ++i)
        nodes.emplace_back("127.0.0.1:" + std::to_string(9000 + i));
    return nodes;
}

} // namespace

class RendezvousHashTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RendezvousHashTest);
    CPPUNIT_TEST(onlyKeysOfLostNodeMove);
    CPPUNIT_TEST(keysSpreadEvenly);
    CPPUNIT_TEST(emptyListHasNoOwner);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a membership change that moves groups whose owner has not left.
    void onlyKeysOfLostNodeMove()
    {
        const auto nodes = makeNodes(9);
        auto fewer = nodes;
        fewer.erase(fewer.begin() + 4);
        for (int i = 0; i < 1000; ++i) {
            const auto key = "key" + std::to_string(i);
            const auto before = rendezvousOwner(key, nodes);
            if (before != nodes[4])
                CPPUNIT_ASSERT_EQUAL(before, rendezvousOwner(key, fewer));
        }
    }

    // Guards against one node that owns most groups.
    void keysSpreadEvenly()
    {
        const auto nodes = makeNodes(10);
        std::map<NodeId, int> counts;
        constexpr int kKeys = 10000;
        for (int i = 0; i < kKeys; ++i)
            ++counts[rendezvousOwner("key" + std::to_string(i), nodes)];
        for (const auto &it : nodes) {
            CPPUNIT_ASSERT(counts[it] > kKeys / 10 * 8 / 10);
            CPPUNIT_ASSERT(counts[it] < kKeys / 10 * 12 / 10);
        }
    }

    // Guards against a crash while no member is known.
    void emptyListHasNoOwner() { CPPUNIT_ASSERT(rendezvousOwner("key", {}).empty()); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RendezvousHashTest);

} // namespace hawthornslip
