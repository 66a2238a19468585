#include "servers/config/config_service.h"
#include "tests/support/sim_control_nodes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

using test::SimControlNodes;

constexpr std::uint64_t kSeeds = 5;
// Limits within which an accepted change must be in force on 9 nodes.
constexpr auto kInForceLimit = seconds(2);
constexpr auto kInForceLimitStoreFails = seconds(5);
constexpr std::size_t kFullFleet = 360;
constexpr auto kInForceLimitFullFleet = seconds(13);

std::string documentOf(std::uint64_t generation, const std::string &author,
                       std::size_t workspaces = 1)
{
    SharedConfig config;
    config.generation = generation;
    config.author = author;
    for (std::size_t i = 0; i < workspaces; ++i) {
        Workspace workspace;
        workspace.id = WorkspaceId("workspace-" + std::to_string(i));
        config.workspaces.push_back(workspace);
    }
    return ConfigDocument::toText(config);
}

/** The answers to one change by an operator. */
struct Change
{
    int answers = 0;
    ApplyResultInfo info;
};

std::shared_ptr<Change> applyAt(SimControlNodes &nodes, std::size_t i, const std::string &document)
{
    auto change = std::make_shared<Change>();
    nodes[i].config.apply(document, [change](const ApplyResultInfo &info) {
        ++change->answers;
        change->info = info;
    });
    return change;
}

std::unique_ptr<SimControlNodes> settledNodes(std::size_t n, std::uint64_t seed)
{
    auto nodes = std::make_unique<SimControlNodes>(n, seed);
    nodes->startAll();
    CPPUNIT_ASSERT(nodes->runUntil(seconds(30), [&] { return nodes->settled(); }));
    nodes->run(milliseconds(static_cast<std::int64_t>(1000 + seed * 130)));
    return nodes;
}

void applyAccepted(SimControlNodes &nodes, std::size_t i, std::uint64_t generation)
{
    const auto change = applyAt(nodes, i, documentOf(generation, "anna"));
    CPPUNIT_ASSERT(nodes.runUntil(seconds(3), [&] { return nodes.allHave(generation); }));
    CPPUNIT_ASSERT_EQUAL(1, change->answers);
    CPPUNIT_ASSERT(change->info.status == ApplyStatus::Accepted);
}

} // namespace

class ConfigServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigServiceTest);
    CPPUNIT_TEST(acceptedChangeIsInForceInTime);
    CPPUNIT_TEST(largeDocumentIsInForceInTime);
    CPPUNIT_TEST(inForceInTimeWhenStoreFailsAfterAccepting);
    CPPUNIT_TEST(inForceWithLossWhenStoreFails);
    CPPUNIT_TEST(acceptingNodePushesToAllAtOnce);
    CPPUNIT_TEST(inForceInTimeOnFullFleet);
    CPPUNIT_TEST(invalidDocumentIsRefused);
    CPPUNIT_TEST(onlyOneConcurrentChangeIsAccepted);
    CPPUNIT_TEST(lostAnswerIsReadBack);
    CPPUNIT_TEST(retriedWriteAfterTimeoutIsSafe);
    CPPUNIT_TEST(storeOutageLeavesConfigurationInForce);
    CPPUNIT_TEST(retriesBackOffDuringOutage);
    CPPUNIT_TEST(nodeStartingInOutageCatchesUp);
    CPPUNIT_TEST(restartedNodeReadsStore);
    CPPUNIT_TEST(nodesInForceNamesLaggingNodes);
    CPPUNIT_TEST(historyListsRecentDocuments);
    CPPUNIT_TEST(generationNeverDecreasesUnderFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptedChangeIsInForceInTime()
    {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            auto nodes = settledNodes(9, seed);
            const auto change = applyAt(*nodes, seed % 9, documentOf(1, "anna"));
            CPPUNIT_ASSERT(nodes->runUntil(kInForceLimit, [&] { return nodes->allHave(1); }));
            CPPUNIT_ASSERT(change->info.status == ApplyStatus::Accepted);
            CPPUNIT_ASSERT_EQUAL(std::string("anna"), (*nodes)[3].config.current()->author);
        }
    }

    // Guards against a large document that does not reach all nodes: too large to be pushed, it has
    // to be pulled from other nodes when the store fails.
    void largeDocumentIsInForceInTime()
    {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            auto nodes = settledNodes(9, seed);
            const auto large = documentOf(1, "anna", 2000);
            CPPUNIT_ASSERT(large.size() > ConfigServiceOptions{}.maxPushBytes * 4);
            failAfterAccepting(*nodes, large);
            CPPUNIT_ASSERT(
                    nodes->runUntil(kInForceLimitStoreFails, [&] { return nodes->allHave(1); }));
        }
    }

    // Guards against an accepted change that stays on one node when the store fails.
    void inForceInTimeWhenStoreFailsAfterAccepting()
    {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            auto nodes = settledNodes(9, seed);
            failAfterAccepting(*nodes);
            CPPUNIT_ASSERT(
                    nodes->runUntil(kInForceLimitStoreFails, [&] { return nodes->allHave(1); }));
        }
    }

    void inForceWithLossWhenStoreFails()
    {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            auto nodes = settledNodes(9, seed);
            nodes->network.faults = {0.05, 0.05, 0.2, milliseconds(300)};
            failAfterAccepting(*nodes);
            CPPUNIT_ASSERT(
                    nodes->runUntil(kInForceLimitStoreFails, [&] { return nodes->allHave(1); }));
        }
    }

    // Guards against propagation that waits for the next probe instead of pushing.
    void acceptingNodePushesToAllAtOnce()
    {
        auto nodes = settledNodes(9, 1);
        failAfterAccepting(*nodes);
        CPPUNIT_ASSERT(nodes->runUntil(milliseconds(50), [&] { return nodes->allHave(1); }));
    }

    // Guards against propagation that only follows the probes along the ring of observers, which is
    // slow with many nodes.
    void inForceInTimeOnFullFleet()
    {
        for (const std::size_t workspaces : {1U, 2000U}) {
            auto nodes = settledNodes(kFullFleet, 1);
            failAfterAccepting(*nodes, documentOf(1, "anna", workspaces));
            CPPUNIT_ASSERT(
                    nodes->runUntil(kInForceLimitFullFleet, [&] { return nodes->allHave(1); }));
        }
    }

    void invalidDocumentIsRefused()
    {
        auto nodes = settledNodes(2, 1);
        const auto change = applyAt(*nodes, 0, R"({"schema_version":1,"generation":1,"x":1})");
        nodes->run(seconds(1));
        CPPUNIT_ASSERT(change->info.status == ApplyStatus::Invalid);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, change->info.faults.size());
        CPPUNIT_ASSERT(nodes->store.objects.empty());
    }

    // Guards against two concurrent changes of one generation that are both reported as accepted,
    // and against a conflict that is not reported.
    void onlyOneConcurrentChangeIsAccepted()
    {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            auto nodes = settledNodes(9, seed);
            applyAccepted(*nodes, 0, 1);
            const auto a = applyAt(*nodes, 1, documentOf(2, "anna"));
            const auto b = applyAt(*nodes, 2, documentOf(2, "berta"));
            nodes->run(seconds(2));
            CPPUNIT_ASSERT(nodes->allHave(2));
            const bool aWon = a->info.status == ApplyStatus::Accepted;
            const auto &winner = aWon ? a : b;
            const auto &loser = aWon ? b : a;
            CPPUNIT_ASSERT(winner->info.status == ApplyStatus::Accepted);
            CPPUNIT_ASSERT(loser->info.status == ApplyStatus::Conflict);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, loser->info.generation);
            CPPUNIT_ASSERT_EQUAL(std::string(aWon ? "anna" : "berta"), loser->info.author);
            for (std::size_t i = 0; i < 9; ++i)
                CPPUNIT_ASSERT_EQUAL(loser->info.author, (*nodes)[i].config.current()->author);
        }
    }

    // Guards against reporting an accepted change as failed when the store's answer is lost.
    void lostAnswerIsReadBack()
    {
        auto nodes = settledNodes(9, 1);
        nodes->store.faults.loseWriteAnswers = 1;
        const auto change = applyAt(*nodes, 0, documentOf(1, "anna"));
        nodes->run(seconds(4));
        CPPUNIT_ASSERT_EQUAL(1, change->answers);
        CPPUNIT_ASSERT(change->info.status == ApplyStatus::Accepted);
        CPPUNIT_ASSERT(nodes->allHave(1));
    }

    // Guards against a retried write that overwrites another change, when the first try takes
    // effect only after its timeout.
    void retriedWriteAfterTimeoutIsSafe()
    {
        auto nodes = settledNodes(9, 1);
        applyAccepted(*nodes, 0, 1);
        nodes->store.faults.delayWrites = 1;
        const auto change = applyAt(*nodes, 0, documentOf(2, "anna"));
        nodes->run(seconds(12));
        CPPUNIT_ASSERT_EQUAL(1, change->answers);
        CPPUNIT_ASSERT(change->info.status == ApplyStatus::Accepted);
        CPPUNIT_ASSERT(nodes->allHave(2));
        applyAccepted(*nodes, 3, 3);
    }

    // Guards against a configuration that expires during an outage of the store, and against a
    // change in the outage that is reported as accepted.
    void storeOutageLeavesConfigurationInForce()
    {
        auto nodes = settledNodes(9, 1);
        applyAccepted(*nodes, 0, 1);
        nodes->store.faults.down = true;
        nodes->run(seconds(1800));
        const auto change = applyAt(*nodes, 4, documentOf(2, "anna"));
        nodes->run(seconds(1800));
        CPPUNIT_ASSERT(change->info.status == ApplyStatus::StoreUnavailable);
        CPPUNIT_ASSERT(nodes->allHave(1));
        nodes->store.faults.down = false;
        applyAccepted(*nodes, 4, 2);
        CPPUNIT_ASSERT(!nodes->wentLower());
    }

    // Guards against retries without backoff that overload a failing store.
    void retriesBackOffDuringOutage()
    {
        auto nodes = settledNodes(2, 1);
        (*nodes)[0].store.way.silent = true;
        nodes->store.faults.rateLimit = 1'000'000;
        nodes->run(seconds(600));
        const int refused = 1'000'000 - nodes->store.faults.rateLimit;
        // At the longest backoff, a jittered 5 s, one node calls at most every 2.5 s.
        CPPUNIT_ASSERT(refused > 0);
        CPPUNIT_ASSERT(refused < 2 * 600 / 2);
    }

    void nodeStartingInOutageCatchesUp()
    {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            auto nodes = std::make_unique<SimControlNodes>(9, seed);
            for (std::size_t i = 0; i < 8; ++i)
                nodes->start(i);
            CPPUNIT_ASSERT(nodes->runUntil(seconds(30), [&] { return nodes->settled(); }));
            applyAccepted(*nodes, 0, 1);
            nodes->store.faults.down = true;
            nodes->start(8);
            CPPUNIT_ASSERT(nodes->runUntil(seconds(5), [&] { return nodes->allHave(1); }));
            CPPUNIT_ASSERT(!(*nodes)[8].config.storeAnswered());
        }
    }

    void restartedNodeReadsStore()
    {
        auto nodes = settledNodes(3, 1);
        applyAccepted(*nodes, 0, 1);
        for (std::size_t i = 0; i < 3; ++i)
            nodes->crash(i);
        nodes->run(seconds(10));
        nodes->start(1);
        CPPUNIT_ASSERT(nodes->runUntil(seconds(1), [&] { return nodes->allHave(1); }));
        CPPUNIT_ASSERT((*nodes)[1].config.storeAnswered());
    }

    // Guards against `config apply --wait` that returns before all live nodes have the generation.
    void nodesInForceNamesLaggingNodes()
    {
        auto nodes = settledNodes(4, 1);
        applyAccepted(*nodes, 0, 1);
        std::optional<NodesInForce> all;
        (*nodes)[0].config.nodesInForce(1, seconds(5), [&](const auto &it) { all = it; });
        nodes->run(milliseconds(100));
        CPPUNIT_ASSERT(all && all->all() && all->nodes.size() == 4);
        // Queries from node 0 no longer reach node 3, which all nodes still see as live.
        std::optional<NodesInForce> some;
        nodes->network.cut.insert({SimControlNodes::idOf(0), SimControlNodes::idOf(3)});
        (*nodes)[0].config.nodesInForce(1, seconds(2), [&](const auto &it) { some = it; });
        nodes->run(milliseconds(1900));
        CPPUNIT_ASSERT(!some);
        nodes->run(milliseconds(400));
        CPPUNIT_ASSERT(some && !some->all());
        CPPUNIT_ASSERT(some->missing() == std::vector{SimControlNodes::idOf(3)});
        nodes->network.cut.clear();
        std::optional<NodesInForce> higher;
        (*nodes)[0].config.nodesInForce(2, seconds(3), [&](const auto &it) { higher = it; });
        nodes->run(seconds(1));
        applyAccepted(*nodes, 2, 2);
        nodes->run(milliseconds(300));
        CPPUNIT_ASSERT(higher && higher->all());
    }

    void historyListsRecentDocuments()
    {
        auto nodes = settledNodes(2, 1);
        for (std::uint64_t generation = 1; generation <= 3; ++generation)
            applyAccepted(*nodes, generation % 2, generation);
        const auto history = (*nodes)[0].config.history();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, history.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, history[0].generation);
        CPPUNIT_ASSERT_EQUAL(documentOf(1, "anna"), history[2].document);
    }

    // Guards against a generation that goes lower (invariant I8) when message faults, store
    // outages, lost answers and restarts coincide.
    void generationNeverDecreasesUnderFaults()
    {
        for (std::uint64_t seed = 1; seed <= kSeeds * 2; ++seed) {
            SimControlNodes nodes(9, seed);
            nodes.startAll();
            nodes.network.faults = {0.2, 0.2, 0.3, milliseconds(1500)};
            std::mt19937_64 random(seed);
            std::uint64_t highestAccepted = 0;
            std::vector<std::shared_ptr<Change>> changes;
            for (int round = 0; round < 60; ++round) {
                nodes.store.faults.down = random() % 4 == 0;
                nodes.store.faults.loseWriteAnswers = static_cast<int>(random() % 2);
                const std::size_t i = random() % 9;
                if (random() % 4 == 0)
                    nodes.start(i);
                changes.push_back(applyAt(
                        nodes, i, documentOf(nodes.generation(i) + 1, "op" + std::to_string(i))));
                nodes.run(milliseconds(static_cast<std::int64_t>(random() % 2500)));
                for (const auto &it : changes) {
                    if (it->answers > 0 && it->info.status == ApplyStatus::Accepted)
                        highestAccepted = std::max(highestAccepted, it->info.generation);
                }
            }
            nodes.network.faults = {};
            nodes.store.faults = {};
            CPPUNIT_ASSERT(!nodes.wentLower());
            CPPUNIT_ASSERT(highestAccepted > 5);
            CPPUNIT_ASSERT(nodes.runUntil(seconds(30), [&] {
                return nodes.allHave(nodes.generation(0)) && nodes.generation(0) >= highestAccepted;
            }));
        }
    }

private:
    // The store accepts the change, confirms it, and then refuses every call.
    static void failAfterAccepting(SimControlNodes &nodes,
                                   const std::string &document = documentOf(1, "anna"))
    {
        const auto change = applyAt(nodes, 0, document);
        const TimePoint start = nodes.events.now();
        while (nodes.store.objects.empty()) {
            nodes.run(std::chrono::microseconds(100));
            CPPUNIT_ASSERT(nodes.events.now() - start < seconds(1));
        }
        nodes.store.faults.down = true;
        nodes.run(milliseconds(2));
        CPPUNIT_ASSERT(change->info.status == ApplyStatus::Accepted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigServiceTest);

} // namespace hawthornslip
