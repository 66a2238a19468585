#include "modules/balancing/service_balancer.h"
#include "modules/ownership/rendezvous_hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace hawthornslip {

namespace {

constexpr TimePoint kStart{seconds(1000)};
constexpr std::uint32_t kSlots = 4;

UpstreamEntry makeEntry(const std::string &id)
{
    UpstreamEntry entry;
    entry.id = UpstreamId(id);
    entry.service = "models";
    entry.address = id + ":80";
    entry.slots = kSlots;
    return entry;
}

Demand makeDemand(std::uint64_t shared = 0)
{
    Demand demand;
    demand.affinityKey = shared;
    demand.sharedTokens = shared == 0 ? 0 : 5000;
    demand.ownTokens = 500;
    return demand;
}

} // namespace

class ServiceBalancerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServiceBalancerTest);
    CPPUNIT_TEST(nodesAgreeOnTheHomeOfASharedPrompt);
    CPPUNIT_TEST(peersRequestsCountAtAnUpstreamThatIsNewHere);
    CPPUNIT_TEST(peersRequestsEndAtAnUpstreamThatWasNew);
    CPPUNIT_TEST(unreachableUpstreamIsLeftAtOnce);
    CPPUNIT_TEST(failuresInARowMakeAnUpstreamAvoided);
    CPPUNIT_TEST(excludedUpstreamsAreNotChosen);
    CPPUNIT_TEST(tolerantRequestsLeaveSlotsFree);
    CPPUNIT_TEST(namesWhereTheSharedPromptIsKept);
    CPPUNIT_TEST(smallSharedPromptIsNotCopied);
    CPPUNIT_TEST(nodesWithTheSameViewChooseDifferentUpstreams);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a shared prompt that each node has read at an upstream of its own.
    void nodesAgreeOnTheHomeOfASharedPrompt()
    {
        for (std::uint64_t prompt = 1; prompt <= 20; ++prompt) {
            std::set<std::string> chosen;
            for (int node = 0; node < 3; ++node) {
                ServiceBalancer balancer;
                balancer.setUpstreams(entries({"a", "b", "c", "d", "e", "f"}));
                for (int i = 0; i < node; ++i)
                    balancer.place(makeDemand(), {}, kStart);
                chosen.insert(balancer.place(makeDemand(prompt), {}, kStart)->upstream.id.value);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chosen.size());
        }
    }

    // Guards against requests sent to a full upstream, because its load was told before the node
    // learned of the upstream.
    void peersRequestsCountAtAnUpstreamThatIsNewHere()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(entries({"a"}));
        tellRunning(balancer, "b", kSlots);
        balancer.setUpstreams(entries({"a", "b"}));
        for (std::uint32_t i = 0; i < kSlots; ++i) {
            const auto placement = balancer.place(makeDemand(), {}, kStart);
            CPPUNIT_ASSERT_EQUAL(std::string("a"), placement->upstream.id.value);
            balancer.onSent(*placement, kStart);
        }
        CPPUNIT_ASSERT(balancer.place(makeDemand(), {}, kStart)->isFull);
    }

    // Guards against a count below zero that hides later requests of peers.
    void peersRequestsEndAtAnUpstreamThatWasNew()
    {
        ServiceBalancer balancer;
        tellRunning(balancer, "a", kSlots);
        balancer.setUpstreams(entries({"a"}));
        tellRunning(balancer, "a", -static_cast<std::int64_t>(kSlots));
        CPPUNIT_ASSERT(!balancer.place(makeDemand(), {}, kStart)->isFull);
        tellRunning(balancer, "a", kSlots);
        CPPUNIT_ASSERT(balancer.place(makeDemand(), {}, kStart)->isFull);
    }

    void unreachableUpstreamIsLeftAtOnce()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(entries({"a", "b"}));
        endAt(balancer, "a", AttemptVerdict::Unreachable);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("b"),
                                 balancer.place(makeDemand(), {}, kStart)->upstream.id.value);
        // It is tried again after a while: a node that is cut off from it learns so.
        std::set<std::string> later;
        for (int i = 0; i < 4; ++i)
            later.insert(balancer.place(makeDemand(), {}, kStart + seconds(5))->upstream.id.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, later.size());
    }

    // Guards against one broken answer that takes an upstream out, and against an upstream that
    // fails everything and keeps its share of the requests.
    void failuresInARowMakeAnUpstreamAvoided()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(entries({"a", "b"}));
        endAt(balancer, "a", AttemptVerdict::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, chosenOf(balancer).size());
        endAt(balancer, "a", AttemptVerdict::Failed);
        endAt(balancer, "a", AttemptVerdict::Failed);
        CPPUNIT_ASSERT(chosenOf(balancer) == std::set<std::string>{"b"});
    }

    void excludedUpstreamsAreNotChosen()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(entries({"a", "b"}));
        CPPUNIT_ASSERT_EQUAL(
                std::string("b"),
                balancer.place(makeDemand(), {UpstreamId("a")}, kStart)->upstream.id.value);
        CPPUNIT_ASSERT(!balancer.place(makeDemand(), {UpstreamId("a"), UpstreamId("b")}, kStart));
    }

    // Guards against urgent requests that find no slot and displace long prompts.
    void tolerantRequestsLeaveSlotsFree()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(entries({"a"}));
        tellRunning(balancer, "a", kSlots - 1);
        CPPUNIT_ASSERT(!balancer.place(makeDemand(), {}, kStart)->isFull);
        auto tolerant = makeDemand();
        tolerant.tolerance = PauseTolerance::Tolerant;
        CPPUNIT_ASSERT(balancer.place(tolerant, {}, kStart)->isFull);
    }

    // Guards against an upstream that reads a long shared prompt which another one keeps.
    void namesWhereTheSharedPromptIsKept()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(entries({"a", "b", "c"}));
        const auto home = balancer.place(makeDemand(7), {}, kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, home->homeRank);
        CPPUNIT_ASSERT(!home->promptSource.empty());
        CPPUNIT_ASSERT(home->promptSource != home->upstream.address);
        const auto other = balancer.place(makeDemand(7), {home->upstream.id}, kStart);
        CPPUNIT_ASSERT_EQUAL(home->upstream.address, other->promptSource);
    }

    void smallSharedPromptIsNotCopied()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(entries({"a", "b", "c"}));
        auto demand = makeDemand(7);
        demand.sharedTokens = 100;
        CPPUNIT_ASSERT(balancer.place(demand, {}, kStart)->promptSource.empty());
    }

    // Guards against many nodes that send their next requests to the one that looked best.
    void nodesWithTheSameViewChooseDifferentUpstreams()
    {
        std::vector<std::string> ids;
        for (int i = 0; i < 30; ++i)
            ids.push_back("engine-" + std::to_string(i));
        std::set<std::string> chosen;
        for (std::uint64_t node = 1; node <= 30; ++node) {
            ServiceBalancer balancer(node);
            balancer.setUpstreams(entries(ids));
            for (int i = 1; i < 30; ++i)
                tellRunning(balancer, ids[i], 1);
            chosen.insert(balancer.place(makeDemand(), {}, kStart)->upstream.id.value);
        }
        CPPUNIT_ASSERT(chosen.size() >= 10);
    }

private:
    static std::vector<UpstreamEntry> entries(const std::vector<std::string> &ids)
    {
        std::vector<UpstreamEntry> result;
        for (const auto &it : ids)
            result.push_back(makeEntry(it));
        return result;
    }

    static void tellRunning(ServiceBalancer &balancer, const std::string &id, std::int64_t running)
    {
        balancer.onPeerLoad({rendezvousMemberHash(id), running, 0, {}}, kStart);
    }

    static void endAt(ServiceBalancer &balancer, const std::string &id, AttemptVerdict verdict)
    {
        Placement placement;
        placement.upstream = makeEntry(id);
        balancer.onSent(placement, kStart);
        balancer.onEnded(placement, verdict, kStart);
    }

    static std::set<std::string> chosenOf(ServiceBalancer &balancer)
    {
        std::set<std::string> chosen;
        for (int i = 0; i < 6; ++i)
            chosen.insert(balancer.place(makeDemand(), {}, kStart)->upstream.id.value);
        return chosen;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceBalancerTest);

} // namespace hawthornslip
