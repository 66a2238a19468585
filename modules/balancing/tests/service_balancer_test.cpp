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

RequestDemand makeDemand(std::uint64_t shared = 0)
{
    RequestDemand demand;
    demand.affinityKey = shared;
    demand.sharedTokens = shared == 0 ? 0 : 5000;
    demand.ownTokens = 500;
    return demand;
}

} // namespace

class ServiceBalancerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServiceBalancerTest);
    CPPUNIT_TEST(nodesAgreeOnThePreferredUpstreamOfAPrefix);
    CPPUNIT_TEST(peerLoadReportedBeforeTheUpstreamIsKnownCounts);
    CPPUNIT_TEST(peerLoadReportedBeforeTheUpstreamIsKnownEnds);
    CPPUNIT_TEST(urgentRequestGoesBeforeLessUrgentOnesOfOtherNodes);
    CPPUNIT_TEST(unreachableUpstreamIsAvoidedAtOnce);
    CPPUNIT_TEST(consecutiveFailuresMakeAnUpstreamAvoided);
    CPPUNIT_TEST(excludedUpstreamsAreNotChosen);
    CPPUNIT_TEST(tolerantRequestsLeaveSlotsFree);
    CPPUNIT_TEST(shortRequestsDoNotUseUpLimits);
    CPPUNIT_TEST(namesTheUpstreamThatCachesThePrefix);
    CPPUNIT_TEST(shortPrefixIsNotCopied);
    CPPUNIT_TEST(nodesWithTheSameViewChooseDifferentUpstreams);
    CPPUNIT_TEST(equalEnginesAreChosenAsWithoutSpeeds);
    CPPUNIT_TEST(slowEngineGetsFewerLongPrompts);
    CPPUNIT_TEST(peersShareWhatTheyKnowOfASlowEngine);
    CPPUNIT_TEST(restartedEngineStartsAtTheSpeedOfTheService);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against nodes that each choose another upstream for the same prefix, so that it is
    // prefilled several times.
    void nodesAgreeOnThePreferredUpstreamOfAPrefix()
    {
        for (std::uint64_t prompt = 1; prompt <= 20; ++prompt) {
            std::set<std::string> chosen;
            for (int node = 0; node < 3; ++node) {
                ServiceBalancer balancer;
                balancer.setUpstreams(makeEntries({"a", "b", "c", "d", "e", "f"}));
                for (int i = 0; i < node; ++i)
                    balancer.place(makeDemand(), {}, kStart);
                chosen.insert(balancer.place(makeDemand(prompt), {}, kStart)->upstream.id.value);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chosen.size());
        }
    }

    // Guards against requests sent to a full upstream because a peer reported its load before this
    // node knew the upstream.
    void peerLoadReportedBeforeTheUpstreamIsKnownCounts()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(makeEntries({"a"}));
        reportPeerRunning(balancer, "b", kSlots);
        balancer.setUpstreams(makeEntries({"a", "b"}));
        for (std::uint32_t i = 0; i < kSlots; ++i) {
            const auto placement = balancer.place(makeDemand(), {}, kStart);
            CPPUNIT_ASSERT_EQUAL(std::string("a"), placement->upstream.id.value);
            balancer.onSent(*placement, kStart);
        }
        CPPUNIT_ASSERT(balancer.place(makeDemand(), {}, kStart)->isFull);
    }

    // Guards against a negative count, which would hide later requests of peers.
    void peerLoadReportedBeforeTheUpstreamIsKnownEnds()
    {
        ServiceBalancer balancer;
        reportPeerRunning(balancer, "a", kSlots);
        balancer.setUpstreams(makeEntries({"a"}));
        reportPeerRunning(balancer, "a", -static_cast<std::int64_t>(kSlots));
        CPPUNIT_ASSERT(!balancer.place(makeDemand(), {}, kStart)->isFull);
        reportPeerRunning(balancer, "a", kSlots);
        CPPUNIT_ASSERT(balancer.place(makeDemand(), {}, kStart)->isFull);
    }

    // Guards against refusing urgent requests at a node that sends no other ones itself.
    void urgentRequestGoesBeforeLessUrgentOnesOfOtherNodes()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams({makeEntry("a")});
        LoadChange change{rendezvousMemberHash("a"), 1, 0, {}};
        change.promptTokens[2] = 6000;
        balancer.onPeerLoad(change, kStart);
        CPPUNIT_ASSERT(balancer.hasSentLessUrgent(1, kStart + seconds(1)));
        CPPUNIT_ASSERT(!balancer.hasSentLessUrgent(2, kStart + seconds(1)));
        CPPUNIT_ASSERT(!balancer.hasSentLessUrgent(1, kStart + seconds(3)));
    }

    void unreachableUpstreamIsAvoidedAtOnce()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(makeEntries({"a", "b"}));
        endAttemptAt(balancer, "a", AttemptOutcome::Unreachable);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("b"),
                                 balancer.place(makeDemand(), {}, kStart)->upstream.id.value);
        // It is tried again after the avoidance ends, to detect that it is reachable again.
        std::set<std::string> later;
        for (int i = 0; i < 4; ++i)
            later.insert(balancer.place(makeDemand(), {}, kStart + seconds(5))->upstream.id.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, later.size());
    }

    // Guards against avoiding an upstream after a single failure, and against an upstream that
    // fails all requests and keeps getting its share of them.
    void consecutiveFailuresMakeAnUpstreamAvoided()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(makeEntries({"a", "b"}));
        endAttemptAt(balancer, "a", AttemptOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, chosenUpstreams(balancer).size());
        endAttemptAt(balancer, "a", AttemptOutcome::Failed);
        endAttemptAt(balancer, "a", AttemptOutcome::Failed);
        CPPUNIT_ASSERT(chosenUpstreams(balancer) == std::set<std::string>{"b"});
    }

    void excludedUpstreamsAreNotChosen()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(makeEntries({"a", "b"}));
        CPPUNIT_ASSERT_EQUAL(
                std::string("b"),
                balancer.place(makeDemand(), {UpstreamId("a")}, kStart)->upstream.id.value);
        CPPUNIT_ASSERT(!balancer.place(makeDemand(), {UpstreamId("a"), UpstreamId("b")}, kStart));
    }

    // Guards against urgent requests that find no free slot and preempt tolerant ones.
    void tolerantRequestsLeaveSlotsFree()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(makeEntries({"a"}));
        reportPeerRunning(balancer, "a", kSlots - 1);
        CPPUNIT_ASSERT(!balancer.place(makeDemand(), {}, kStart)->isFull);
        auto tolerant = makeDemand();
        tolerant.tolerance = PauseTolerance::Tolerant;
        CPPUNIT_ASSERT(balancer.place(tolerant, {}, kStart)->isFull);
    }

    // Guards against limits of requests that are spent on short requests instead of long ones.
    void shortRequestsDoNotUseUpLimits()
    {
        const std::vector<std::string> ids = {"a", "b", "c", "d", "e", "f"};
        const std::set<std::string> limited = {"a", "c", "f"};
        ServiceBalancer balancer;
        balancer.setUpstreams(makeEntries(ids));
        for (const auto &it : limited)
            balancer.setRequestLimit(rendezvousMemberHash(it), 1000, kStart);
        auto tolerant = makeDemand();
        tolerant.tolerance = PauseTolerance::Tolerant;
        balancer.onRequest(tolerant, kStart);
        balancer.onRequest(makeDemand(), kStart);
        for (std::uint64_t prompt = 1; prompt <= 20; ++prompt) {
            auto longPrompt = makeDemand(prompt);
            longPrompt.tolerance = PauseTolerance::Tolerant;
            const TimePoint now = kStart + seconds(1);
            const auto placed = balancer.place(longPrompt, {}, now)->upstream.id.value;
            CPPUNIT_ASSERT(limited.contains(placed));
            const auto other = balancer.place(makeDemand(prompt), {}, now)->upstream.id.value;
            CPPUNIT_ASSERT(!limited.contains(other));
        }
    }

    // Guards against prefilling a long shared prefix that another upstream has cached.
    void namesTheUpstreamThatCachesThePrefix()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(makeEntries({"a", "b", "c"}));
        const auto preferred = balancer.place(makeDemand(7), {}, kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, preferred->preferenceRank);
        CPPUNIT_ASSERT(!preferred->kvSourceAddress.empty());
        CPPUNIT_ASSERT(preferred->kvSourceAddress != preferred->upstream.address);
        const auto other = balancer.place(makeDemand(7), {preferred->upstream.id}, kStart);
        CPPUNIT_ASSERT_EQUAL(preferred->upstream.address, other->kvSourceAddress);
    }

    void shortPrefixIsNotCopied()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(makeEntries({"a", "b", "c"}));
        auto demand = makeDemand(7);
        demand.sharedTokens = 100;
        CPPUNIT_ASSERT(balancer.place(demand, {}, kStart)->kvSourceAddress.empty());
    }

    // Guards against engine speeds that change decisions though the engines are equal.
    void equalEnginesAreChosenAsWithoutSpeeds()
    {
        ServiceBalancer balancer;
        ServiceBalancer withoutSpeeds;
        for (auto *it : {&balancer, &withoutSpeeds})
            it->setUpstreams(makeEntries({"a", "b", "c", "d"}));
        TimePoint now = kStart;
        for (int i = 0; i < 500; ++i) {
            now += milliseconds(500);
            const auto placement = *balancer.place(makeLongDemand(i % 7), {}, now);
            auto other = *withoutSpeeds.place(makeLongDemand(i % 7), {}, now);
            CPPUNIT_ASSERT_EQUAL(placement.upstream.id.value, other.upstream.id.value);
            CPPUNIT_ASSERT(placement.wait == other.wait);
            CPPUNIT_ASSERT(placement.prefillTime == other.prefillTime);
            serve(balancer, placement, 1, now);
            withoutSpeeds.onSent(other, now);
            withoutSpeeds.onEnded(other, AttemptOutcome::Succeeded, now);
            // The rate of the service is measured, but the speed of no engine.
            other.upstream.id = UpstreamId("unknown");
            withoutSpeeds.onFirstEvent(other, timeToFirstEvent(other, 1), now);
        }
    }

    // Guards against prompts that are late because they queue up at the slowest engine.
    void slowEngineGetsFewerLongPrompts()
    {
        ServiceBalancer balancer;
        balancer.setUpstreams(makeEntries({"a", "b", "c", "d"}));
        serveSlowly(balancer, "a", kStart);
        const TimePoint now = kStart + seconds(12);
        CPPUNIT_ASSERT(timesChosen(balancer, "a", 3, now) < 10);
        CPPUNIT_ASSERT(timesChosen(balancer, "a", 1, now + seconds(60)) > 10);
    }

    // Guards against each node learning anew which engine is slow.
    void peersShareWhatTheyKnowOfASlowEngine()
    {
        ServiceBalancer peer;
        ServiceBalancer balancer;
        for (auto *it : {&peer, &balancer})
            it->setUpstreams(makeEntries({"a", "b", "c", "d"}));
        serveSlowly(peer, "a", kStart);
        const TimePoint now = kStart + seconds(12);
        for (const auto &it : peer.nodeLoads())
            balancer.onPeerLoad({it.upstreamHash, 0, 0, {}, *it.speed}, now);
        CPPUNIT_ASSERT(timesChosen(balancer, "a", 3, now) < 10);
    }

    // Guards against an engine that is judged by the hardware on which it ran before.
    void restartedEngineStartsAtTheSpeedOfTheService()
    {
        auto entries = makeEntries({"a", "b", "c", "d"});
        for (auto &it : entries)
            it.bornMs = 1;
        ServiceBalancer balancer;
        balancer.setUpstreams(entries);
        serveSlowly(balancer, "a", kStart);
        entries[0].bornMs = 2;
        balancer.setUpstreams(entries);
        CPPUNIT_ASSERT(timesChosen(balancer, "a", 1, kStart + seconds(12)) > 10);
    }

    // Guards against many nodes that all send their next request to the least loaded upstream.
    void nodesWithTheSameViewChooseDifferentUpstreams()
    {
        std::vector<std::string> ids;
        for (int i = 0; i < 30; ++i)
            ids.push_back("engine-" + std::to_string(i));
        std::set<std::string> chosen;
        for (std::uint64_t node = 1; node <= 30; ++node) {
            ServiceBalancer balancer(node);
            balancer.setUpstreams(makeEntries(ids));
            for (int i = 1; i < 30; ++i)
                reportPeerRunning(balancer, ids[i], 1);
            chosen.insert(balancer.place(makeDemand(), {}, kStart)->upstream.id.value);
        }
        CPPUNIT_ASSERT(chosen.size() >= 10);
    }

private:
    static RequestDemand makeLongDemand(int shared)
    {
        auto demand = makeDemand(static_cast<std::uint64_t>(shared));
        demand.ownTokens = 4'000;
        return demand;
    }

    static Duration timeToFirstEvent(const RequestPlacement &placement, int slowness)
    {
        const auto tokens = static_cast<std::int64_t>(placement.prefillTokens);
        return slowness * milliseconds(20 + tokens / 60);
    }

    static void serve(ServiceBalancer &balancer, const RequestPlacement &placement, int slowness,
                      TimePoint now)
    {
        balancer.onSent(placement, now);
        balancer.onFirstEvent(placement, timeToFirstEvent(placement, slowness), now);
        balancer.onEnded(placement, AttemptOutcome::Succeeded, now);
    }

    /** Serves requests for 12 s, those at the upstream @p slow in three times the usual time. */
    static void serveSlowly(ServiceBalancer &balancer, const std::string &slow, TimePoint start)
    {
        for (Duration at{0}; at < seconds(12); at += milliseconds(150)) {
            auto demand = makeDemand();
            demand.ownTokens = 2'000;
            const auto placement = *balancer.place(demand, {}, start + at);
            serve(balancer, placement, placement.upstream.id.value == slow ? 3 : 1, start + at);
        }
    }

    /**
     * @return how many of 80 prompts that arrive 60 ms apart go to the upstream @p id, which takes
     *         @p slowness times as long as the others.
     */
    static int timesChosen(ServiceBalancer &balancer, const std::string &id, int slowness,
                           TimePoint now)
    {
        int times = 0;
        for (int i = 0; i < 80; ++i) {
            auto demand = makeDemand();
            demand.ownTokens = 4'000;
            const auto placement = *balancer.place(demand, {}, now);
            times += placement.upstream.id.value == id ? 1 : 0;
            serve(balancer, placement, placement.upstream.id.value == id ? slowness : 1, now);
            now += milliseconds(60);
        }
        return times;
    }

    static std::vector<UpstreamEntry> makeEntries(const std::vector<std::string> &ids)
    {
        std::vector<UpstreamEntry> result;
        for (const auto &it : ids)
            result.push_back(makeEntry(it));
        return result;
    }

    static void reportPeerRunning(ServiceBalancer &balancer, const std::string &id,
                                  std::int64_t running)
    {
        balancer.onPeerLoad({rendezvousMemberHash(id), running, 0, {}}, kStart);
    }

    static void endAttemptAt(ServiceBalancer &balancer, const std::string &id,
                             AttemptOutcome outcome)
    {
        RequestPlacement placement;
        placement.upstream = makeEntry(id);
        balancer.onSent(placement, kStart);
        balancer.onEnded(placement, outcome, kStart);
    }

    static std::set<std::string> chosenUpstreams(ServiceBalancer &balancer)
    {
        std::set<std::string> chosen;
        for (int i = 0; i < 6; ++i)
            chosen.insert(balancer.place(makeDemand(), {}, kStart)->upstream.id.value);
        return chosen;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceBalancerTest);

} // namespace hawthornslip
