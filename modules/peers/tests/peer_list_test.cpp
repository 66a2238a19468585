#include "modules/peers/peer_list.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr Duration kLongSilence = seconds(600);

} // namespace

class PeerListTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerListTest);
    CPPUNIT_TEST(lostPeerIsRemovedByOneNode);
    CPPUNIT_TEST(restartingPeerIsKept);
    CPPUNIT_TEST(isolatedNodeRemovesNone);
    CPPUNIT_TEST(replaceAllDropsUnlistedPeers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a list that grows with each replaced VM, and against several nodes that remove
    // the same entry.
    void lostPeerIsRemovedByOneNode()
    {
        std::size_t removals = 0;
        for (const auto *self : {"a", "b", "c"}) {
            PeerList list(self);
            list.replaceAll({"a", "b", "c", "gone"}, kStart);
            hearAll(list, {"a", "b", "c"}, kStart + kLongSilence);
            removals += list.peersToRemove(kStart + kLongSilence).size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removals);
    }

    // Guards against removing a peer that is only restarting.
    void restartingPeerIsKept()
    {
        PeerList list("a");
        list.replaceAll({"a", "b"}, kStart);
        CPPUNIT_ASSERT(list.peersToRemove(kStart + seconds(60)).empty());
    }

    // Guards against an isolated node that empties the shared list.
    void isolatedNodeRemovesNone()
    {
        PeerList list("a");
        list.replaceAll({"a", "b", "c", "d"}, kStart);
        CPPUNIT_ASSERT(list.peersToRemove(kStart + kLongSilence).empty());
    }

    // Guards against keeping a peer that the new list lacks, and against listing the node itself.
    void replaceAllDropsUnlistedPeers()
    {
        PeerList list("a");
        list.replaceAll({"a", "b", "c"}, kStart);
        list.replaceAll({"a", "c"}, kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list.size());
        list.add("a", kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list.size());
    }

private:
    static constexpr TimePoint kStart{seconds(1000)};

    static void hearAll(PeerList &list, const std::vector<std::string> &peers, TimePoint now)
    {
        for (const auto &it : peers)
            list.onHeard(it, now);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerListTest);

} // namespace hawthornslip
