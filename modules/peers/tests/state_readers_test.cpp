#include "modules/peers/state_readers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <map>
#include <set>

namespace hawthornslip {

namespace {

constexpr TimePoint kStart{seconds(1000)};
constexpr int kNodes = 39;

std::string nodeName(int i)
{
    return fmt::format("10.0.0.{}:7000", i);
}

std::vector<std::string> peersOf(int self)
{
    std::vector<std::string> peers;
    for (int i = 0; i < kNodes; ++i) {
        if (i != self)
            peers.push_back(nodeName(i));
    }
    return peers;
}

} // namespace

class StateReadersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StateReadersTest);
    CPPUNIT_TEST(fewNodesReadForTheDomain);
    CPPUNIT_TEST(failedReaderIsReplacedAtOnce);
    CPPUNIT_TEST(nodeWithoutPeersCallsTheStore);
    CPPUNIT_TEST(smallDomainHasNoReaders);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against calls to the store that grow with the number of nodes, and against one reader
    // that serves all others.
    void fewNodesReadForTheDomain()
    {
        std::size_t direct = 0;
        std::map<std::string, int> followers;
        for (int i = 0; i < kNodes; ++i) {
            StateReaders readers(nodeName(i));
            const auto reader = readers.choose(peersOf(i), kStart);
            if (reader)
                ++followers[*reader];
            else
                ++direct;
        }
        CPPUNIT_ASSERT_EQUAL(StateReaders::kReadersPerDomain, direct);
        CPPUNIT_ASSERT_EQUAL(StateReaders::kReadersPerDomain, followers.size());
        for (const auto &[reader, count] : followers)
            CPPUNIT_ASSERT(count >= kNodes / 4);
    }

    // Guards against a node that keeps asking a lost reader, or never asks it again.
    void failedReaderIsReplacedAtOnce()
    {
        const int self = follower();
        StateReaders readers(nodeName(self));
        std::set<std::string> asked;
        for (std::size_t i = 0; i < StateReaders::kReadersPerDomain; ++i) {
            const auto reader = readers.choose(peersOf(self), kStart);
            CPPUNIT_ASSERT(reader.has_value());
            CPPUNIT_ASSERT(asked.insert(*reader).second);
            if (i == 0)
                readers.onRefused(*reader, kStart);
            else
                readers.onSilent(*reader, kStart);
        }
        CPPUNIT_ASSERT(!readers.choose(peersOf(self), kStart).has_value());
        // One that refused is back sooner than one that was silent.
        const auto refused = readers.choose(peersOf(self), kStart + seconds(3));
        CPPUNIT_ASSERT(refused.has_value());
        readers.onSilent(*refused, kStart + seconds(3));
        CPPUNIT_ASSERT(!readers.choose(peersOf(self), kStart + seconds(4)).has_value());
        CPPUNIT_ASSERT(readers.choose(peersOf(self), kStart + seconds(11)).has_value());
    }

    void nodeWithoutPeersCallsTheStore()
    {
        StateReaders readers("self:1");
        CPPUNIT_ASSERT(!readers.choose({}, kStart).has_value());
    }

    // Guards against more calls than without readers, as a reader polls more often.
    void smallDomainHasNoReaders()
    {
        StateReaders readers("self:1", 7);
        CPPUNIT_ASSERT(!readers.choose({"a:1", "b:1", "c:1", "d:1", "e:1"}, kStart).has_value());
    }

private:
    static int follower()
    {
        for (int i = 0; i < kNodes; ++i) {
            if (StateReaders(nodeName(i)).choose(peersOf(i), kStart))
                return i;
        }
        return 0;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateReadersTest);

} // namespace hawthornslip
