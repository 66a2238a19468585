#include "tests/support/gateway_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornslip::test {

namespace {

constexpr std::size_t kNodes = 2;
constexpr Duration kStoreLatency = milliseconds(4);
constexpr int kRefused = 503;
const HttpHeaders kStream = {{"proof", "1"}, {"content-type", "text/event-stream"}};

/** Records the calls to upstreams, so that a test can answer them. */
class CallRecorder : public UpstreamClient
{
public:
    struct Call : public UpstreamCall
    {
        UpstreamRequest request;
        std::shared_ptr<UpstreamHandler> handler;

        void cancel() override {}
        void resume() override {}
        /** @return the id of the upstream that the call goes to. */
        std::string upstream() const { return *findHeader(request.headers, "expect"); }
        void begin(std::string_view events) const
        {
            handler->onHeaders(200, kStream);
            handler->onData(events);
        }
        void breakOff() const { handler->onEnd({UpstreamResult::Broken, 0, "scripted", false}); }
        void end() const { handler->onEnd({UpstreamResult::Complete, 200, "", false}); }
    };

    std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                       std::shared_ptr<UpstreamHandler> handler) override
    {
        auto call = std::make_shared<Call>();
        call->request = std::move(request);
        call->handler = std::move(handler);
        calls.push_back(call);
        return call;
    }

    std::deque<std::shared_ptr<Call>> calls;
};

/** The journals in the platform's store. */
struct SharedJournals
{
    std::map<std::string, VersionJournal> journals;
    bool isAway = false;
    int reads = 0;
    int writes = 0;
};

/** The journals as one node reads and writes them. */
class NodeJournals : public VersionStore
{
public:
    NodeJournals(EventLoop &loop, SharedJournals &shared, std::string self)
        : m_loop(loop)
        , m_shared(shared)
        , m_self(std::move(self))
    {}

    std::string self() const override { return m_self; }
    void write(const VersionJournal &journal, std::function<void(bool)> done) override
    {
        ++m_shared.writes;
        if (!m_shared.isAway)
            m_shared.journals[m_self] = journal;
        m_loop.after(kStoreLatency, [done, isDone = !m_shared.isAway] { done(isDone); });
    }
    void readAll(ReadDone done) override
    {
        ++m_shared.reads;
        Journals journals;
        for (const auto &[node, journal] : m_shared.journals)
            journals.entries.push_back({node, journal});
        const auto result = m_shared.isAway ? std::nullopt : std::optional(journals);
        m_loop.after(kStoreLatency, [done, result] { done(result); });
    }
    void remove(const std::string &node) override { m_shared.journals.erase(node); }

private:
    EventLoop &m_loop;
    SharedJournals &m_shared;
    std::string m_self;
};

UpstreamEntry makeEntry(const std::string &id, const std::string &version)
{
    UpstreamEntry entry;
    entry.id = UpstreamId(id);
    entry.service = "models";
    entry.address = id + ":1";
    entry.slots = 40;
    entry.softwareVersion = version;
    return entry;
}

RoutingConfig makeConfig()
{
    Route route;
    route.name = "drafts";
    route.host = "fleet.example";
    route.pathPrefix = "/draft/";
    route.kind = RouteKind::Streaming;
    route.targets = {{"models", 1}};
    route.timeout = seconds(15);
    route.maxAttempts = 2;
    route.resumable = true;
    RoutingConfig config;
    config.version = 1;
    config.routes = {route};
    Service service;
    service.name = "models";
    config.services = {service};
    return config;
}

/** All nodes of a deployment, until they are killed together. */
class Deployment
{
public:
    /** @param startAt time of the start; clocks go on while all nodes are down. */
    Deployment(CallRecorder &client, SharedJournals &journals,
               const std::vector<UpstreamEntry> &upstreams, TimePoint startAt)
        : fleet(kNodes, client, makeConfig(), upstreams)
    {
        fleet.loop.suspend(std::max(Duration(0), startAt - fleet.loop.now()));
        for (std::size_t i = 0; i < kNodes; ++i) {
            m_stores.push_back(std::make_unique<NodeJournals>(fleet.loop, journals,
                                                              "node-" + std::to_string(i)));
            fleet.gateway(i).versions().setStore(*m_stores.back());
        }
        list(upstreams);
        fleet.loop.advance(seconds(1));
    }

    /** Sends the list of upstreams to all nodes. */
    void list(const std::vector<UpstreamEntry> &upstreams)
    {
        std::vector<FeedItem<UpstreamEntry>> items;
        for (const auto &it : upstreams)
            items.push_back({it.id.value, false, it, ""});
        for (std::size_t i = 0; i < kNodes; ++i)
            fleet.gateway(i).state().upstreamSink().onList(items);
    }

    GatewayFleet fleet;

private:
    std::vector<std::unique_ptr<NodeJournals>> m_stores;
};

const std::vector<UpstreamEntry> kTwoVersions = {makeEntry("a1", "v1"), makeEntry("a2", "v1"),
                                                 makeEntry("a3", "v1"), makeEntry("b1", "v2"),
                                                 makeEntry("b2", "v2"), makeEntry("b3", "v2")};

/** @return the version of an upstream of kTwoVersions, by the first letter of its id. */
char versionOf(const CallRecorder::Call &call)
{
    return call.upstream().front();
}

} // namespace

/** A stream goes on only at the software version that brought its first event. */
class StreamVersionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamVersionTest);
    CPPUNIT_TEST(answerIsNotJoinedFromTwoVersions);
    CPPUNIT_TEST(answerEndsAsBrokenWhenItsVersionIsGone);
    CPPUNIT_TEST(takeUpAtAnotherNodeIsNotJoinedFromTwoVersions);
    CPPUNIT_TEST(takeUpAfterTakeUpKeepsTheFirstVersion);
    CPPUNIT_TEST(takeUpAfterAllNodesWereKilledGoesOnAtItsVersion);
    CPPUNIT_TEST(takeUpAfterAllNodesWereKilledTwiceGoesOnAtItsVersion);
    CPPUNIT_TEST(takeUpIsRefusedWhenItsVersionLeftWhileAllNodesWereDown);
    CPPUNIT_TEST(takeUpThatNamesNoStreamOrAnotherOneIsRefused);
    CPPUNIT_TEST(takeUpOfAVersionThatIsGoneIsRefusedAtOnce);
    CPPUNIT_TEST(takeUpIsServedWhereTheServiceHasOneVersion);
    CPPUNIT_TEST(takeUpIsServedWhereNoUpstreamNamesAVersion);
    CPPUNIT_TEST(unnamedVersionIsNotTakenForANamedOne);
    CPPUNIT_TEST(withoutTheStoreOnlyTheNodeThatRelayedAStreamGoesOn);
    CPPUNIT_TEST(upstreamThatCameBackUnderItsIdWithAnotherVersionIsNotTrusted);
    CPPUNIT_TEST(versionThatLeftIsForgottenAfterAWhile);
    CPPUNIT_TEST(manyTakeUpsShareFewReads);
    CPPUNIT_TEST(streamsOfOneVersionAreNotWrittenOneByOne);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { deploy(kTwoVersions); }
    void tearDown() override { m_nodes.reset(); }

    void answerIsNotJoinedFromTwoVersions()
    {
        for (int i = 0; i < 20; ++i) {
            earnRetry();
            const auto view = beginAt(0, "r" + std::to_string(i));
            const auto first = m_client.calls.back();
            first->begin("id: 1\ndata: a\n\n");
            first->breakOff();
            const auto second = m_client.calls.back();
            CPPUNIT_ASSERT(second != first);
            CPPUNIT_ASSERT_EQUAL(versionOf(*first), versionOf(*second));
            second->begin("id: 2\ndata: b\n\n");
            second->end();
            CPPUNIT_ASSERT(view->ended);
        }
    }

    void answerEndsAsBrokenWhenItsVersionIsGone()
    {
        deploy({makeEntry("a1", "v1"), makeEntry("b1", "v2"), makeEntry("b2", "v2")});
        for (int i = 0; i < 20; ++i) {
            earnRetry();
            const auto view = beginAt(0, "r" + std::to_string(i));
            const auto first = m_client.calls.back();
            first->begin("id: 1\ndata: a\n\n");
            first->breakOff();
            const bool isAlone = versionOf(*first) == 'a';
            CPPUNIT_ASSERT_EQUAL(isAlone, view->aborted);
            CPPUNIT_ASSERT_EQUAL(isAlone, first == m_client.calls.back());
            CPPUNIT_ASSERT(!view->ended);
        }
    }

    void takeUpAtAnotherNodeIsNotJoinedFromTwoVersions()
    {
        for (int i = 0; i < 20; ++i) {
            const std::string id = "r" + std::to_string(i);
            const char version = breakStream(0, id);
            m_nodes->fleet.loop.advance(seconds(1));
            const auto view = takeUp(1, id);
            CPPUNIT_ASSERT_EQUAL(version, versionOf(*m_client.calls.back()));
            CPPUNIT_ASSERT_EQUAL(std::string("1"),
                                 *findHeader(m_client.calls.back()->request.headers, "last-event"));
            m_client.calls.back()->begin("id: 2\ndata: b\n\n");
            m_client.calls.back()->end();
            CPPUNIT_ASSERT(view->ended);
        }
    }

    // Guards against a chain of tries that drifts from version to version.
    void takeUpAfterTakeUpKeepsTheFirstVersion()
    {
        for (int i = 0; i < 10; ++i) {
            const std::string id = "r" + std::to_string(i);
            const char version = breakStream(0, id);
            for (std::size_t node = 1; node < 5; ++node) {
                m_nodes->fleet.loop.advance(milliseconds(400));
                takeUp(node % kNodes, id);
                CPPUNIT_ASSERT_EQUAL(version, versionOf(*m_client.calls.back()));
                m_client.calls.back()->begin("id: 2\ndata: b\n\n");
                m_client.calls.back()->breakOff();
                CPPUNIT_ASSERT_EQUAL(version, versionOf(*m_client.calls.back()));
                m_client.calls.back()->breakOff();
            }
        }
    }

    void takeUpAfterAllNodesWereKilledGoesOnAtItsVersion()
    {
        std::map<std::string, char> versions;
        for (int i = 0; i < 20; ++i)
            versions["r" + std::to_string(i)] = breakStream(i % kNodes, "r" + std::to_string(i));
        m_nodes->fleet.loop.advance(seconds(1));
        restart(kTwoVersions);
        for (const auto &[id, version] : versions) {
            takeUp(0, id);
            CPPUNIT_ASSERT_EQUAL(version, versionOf(*m_client.calls.back()));
        }
    }

    // Guards against a journal that loses the streams of the process before the last one.
    void takeUpAfterAllNodesWereKilledTwiceGoesOnAtItsVersion()
    {
        std::map<std::string, char> versions;
        for (int i = 0; i < 20; ++i)
            versions["r" + std::to_string(i)] = breakStream(i % kNodes, "r" + std::to_string(i));
        m_nodes->fleet.loop.advance(seconds(1));
        restart(kTwoVersions);
        breakStream(0, "other");
        m_nodes->fleet.loop.advance(seconds(1));
        restart(kTwoVersions);
        for (const auto &[id, version] : versions) {
            takeUp(1, id);
            CPPUNIT_ASSERT_EQUAL(version, versionOf(*m_client.calls.back()));
        }
    }

    // Guards against a version that is inferred from what is in service now.
    void takeUpIsRefusedWhenItsVersionLeftWhileAllNodesWereDown()
    {
        deploy({makeEntry("a1", "v1"), makeEntry("a2", "v1")});
        breakStream(0, "known");
        m_nodes->fleet.loop.advance(seconds(25));
        // Begins after the last journal was written.
        breakStream(0, "r1");
        restart({makeEntry("b1", "v2"), makeEntry("b2", "v2")}, seconds(40));
        for (const std::string id : {"known", "r1"})
            checkRefused(takeUp(0, id));
    }

    void takeUpThatNamesNoStreamOrAnotherOneIsRefused()
    {
        breakStream(0, "r1");
        breakStream(0, "r2", "/draft/2");
        m_nodes->fleet.loop.advance(seconds(1));
        for (std::size_t node = 0; node < kNodes; ++node) {
            checkRefused(call(node, "/draft/1", {{"id", "t1"}, {"last-event", "1"}}));
            checkRefused(takeUp(node, "never-sent"));
            checkRefused(takeUp(node, "r2"));
        }
    }

    void takeUpOfAVersionThatIsGoneIsRefusedAtOnce()
    {
        std::map<std::string, char> versions;
        for (int i = 0; i < 10; ++i)
            versions["r" + std::to_string(i)] = breakStream(0, "r" + std::to_string(i));
        m_nodes->fleet.loop.advance(seconds(1));
        m_nodes->list({makeEntry("b1", "v2"), makeEntry("b2", "v2")});
        m_nodes->fleet.loop.advance(seconds(3));
        for (const auto &[id, version] : versions) {
            const auto sentAt = m_nodes->fleet.loop.now();
            const auto view = takeUp(0, id);
            if (version == 'b')
                continue;
            checkRefused(view);
            CPPUNIT_ASSERT(view->endedAt - sentAt <= milliseconds(10));
        }
    }

    void takeUpIsServedWhereTheServiceHasOneVersion()
    {
        deploy({makeEntry("a1", "v1"), makeEntry("a2", "v1")});
        breakStream(0, "r1");
        takeUp(1, "r1");
        CPPUNIT_ASSERT_EQUAL('a', versionOf(*m_client.calls.back()));
        // Neither does it need a name.
        const auto calls = m_client.calls.size();
        call(1, "/draft/1", {{"id", "t2"}, {"last-event", "1"}});
        CPPUNIT_ASSERT_EQUAL(calls + 1, m_client.calls.size());
        restart({makeEntry("a1", "v1"), makeEntry("a2", "v1")});
        takeUp(0, "r1");
        CPPUNIT_ASSERT_EQUAL(calls + 2, m_client.calls.size());
    }

    void takeUpIsServedWhereNoUpstreamNamesAVersion()
    {
        deploy({makeEntry("a1", ""), makeEntry("a2", "")});
        breakStream(0, "r1");
        const auto calls = m_client.calls.size();
        takeUp(1, "r1");
        CPPUNIT_ASSERT_EQUAL(calls + 1, m_client.calls.size());
    }

    void unnamedVersionIsNotTakenForANamedOne()
    {
        deploy({makeEntry("a1", ""), makeEntry("a2", ""), makeEntry("b1", "v2"),
                makeEntry("b2", "v2")});
        for (int i = 0; i < 10; ++i) {
            const std::string id = "r" + std::to_string(i);
            const char version = breakStream(0, id);
            m_nodes->fleet.loop.advance(milliseconds(400));
            const auto calls = m_client.calls.size();
            const auto view = takeUp(1, id);
            if (version == 'b')
                CPPUNIT_ASSERT_EQUAL('b', versionOf(*m_client.calls.back()));
            else
                checkRefused(view);
            CPPUNIT_ASSERT_EQUAL(calls + (version == 'b' ? 1 : 0), m_client.calls.size());
        }
    }

    void withoutTheStoreOnlyTheNodeThatRelayedAStreamGoesOn()
    {
        m_journals.isAway = true;
        const char version = breakStream(0, "r1");
        checkRefused(takeUp(1, "r1"));
        takeUp(0, "r1");
        CPPUNIT_ASSERT_EQUAL(version, versionOf(*m_client.calls.back()));
    }

    void upstreamThatCameBackUnderItsIdWithAnotherVersionIsNotTrusted()
    {
        auto upstreams = std::vector{makeEntry("a1", "v1")};
        upstreams.front().bornMs = 1000;
        deploy(upstreams);
        breakStream(0, "r1");
        // The process had restarted before the stream began.
        upstreams = {makeEntry("a1", "v2"), makeEntry("b1", "v1")};
        upstreams.front().bornMs = static_cast<std::uint64_t>(m_nodes->fleet.loop.wallNow()) - 500;
        m_nodes->list(upstreams);
        checkRefused(takeUp(0, "r1"));
        checkRefused(takeUp(1, "r1"));
    }

    // Guards against take-ups that are refused for good after a release.
    void versionThatLeftIsForgottenAfterAWhile()
    {
        m_nodes->list({makeEntry("b1", "v2"), makeEntry("b2", "v2")});
        m_nodes->fleet.loop.advance(seconds(90));
        const auto calls = m_client.calls.size();
        call(1, "/draft/1", {{"id", "t1"}, {"last-event", "1"}});
        CPPUNIT_ASSERT_EQUAL(calls + 1, m_client.calls.size());
    }

    // Guards against a lookup in the store for each request.
    void manyTakeUpsShareFewReads()
    {
        constexpr int kTakeUps = 200;
        for (int i = 0; i < kTakeUps; ++i)
            breakStream(0, "r" + std::to_string(i));
        m_nodes->fleet.loop.advance(seconds(1));
        const int before = m_journals.reads;
        for (int i = 0; i < kTakeUps; ++i) {
            m_nodes->fleet.call(
                    1, "/draft/1",
                    {{"id", "t"}, {"resumes", "r" + std::to_string(i)}, {"last-event", "1"}});
            m_nodes->fleet.loop.advance(milliseconds(5));
        }
        CPPUNIT_ASSERT(m_journals.reads - before <= 6);
    }

    // Guards against a write for each stream.
    void streamsOfOneVersionAreNotWrittenOneByOne()
    {
        const auto writesOf = [this](const std::vector<UpstreamEntry> &upstreams) {
            deploy(upstreams);
            m_nodes->fleet.loop.advance(seconds(20));
            const int before = m_journals.writes;
            for (int i = 0; i < 100; ++i) {
                breakStream(0, "r" + std::to_string(i));
                m_nodes->fleet.loop.advance(milliseconds(20));
            }
            return m_journals.writes - before;
        };
        CPPUNIT_ASSERT(writesOf({makeEntry("a1", "v1"), makeEntry("a2", "v1")}) <= 2);
        CPPUNIT_ASSERT(writesOf(kTwoVersions) <= 12);
    }

private:
    /** Starts the nodes of a new deployment. */
    void deploy(const std::vector<UpstreamEntry> &upstreams)
    {
        m_journals = {};
        restart(upstreams);
    }

    /** Kills all nodes and starts them again after @p down. */
    void restart(const std::vector<UpstreamEntry> &upstreams, Duration down = seconds(2))
    {
        const TimePoint at = m_nodes ? m_nodes->fleet.loop.now() + down : TimePoint();
        m_nodes = std::make_unique<Deployment>(m_client, m_journals, upstreams, at);
    }

    std::shared_ptr<CallerView> call(std::size_t node, const std::string &path, HttpHeaders headers)
    {
        auto view = m_nodes->fleet.call(node, path, std::move(headers));
        m_nodes->fleet.loop.advance(milliseconds(600));
        return view;
    }

    std::shared_ptr<CallerView> beginAt(std::size_t node, const std::string &id)
    {
        return call(node, "/draft/1", {{"id", id}});
    }

    /** Sends as many sound requests as the retry budget asks for one retry. */
    void earnRetry()
    {
        for (int i = 0; i < 6; ++i) {
            beginAt(0, "sound");
            m_client.calls.back()->begin("id: 1\ndata: a\n\n");
            m_client.calls.back()->end();
        }
    }

    /** Lets a stream break off after its first event. @return the version that began it. */
    char breakStream(std::size_t node, const std::string &id, const std::string &path = "/draft/1")
    {
        const auto view = m_nodes->fleet.call(node, path, {{"id", id}});
        const auto first = m_client.calls.back();
        first->begin("id: 1\ndata: a\n\n");
        first->breakOff();
        if (m_client.calls.back() != first)
            m_client.calls.back()->breakOff();
        CPPUNIT_ASSERT(view->aborted);
        return versionOf(*first);
    }

    /** Takes the stream of /draft/1 that @p id began up after its first event. */
    std::shared_ptr<CallerView> takeUp(std::size_t node, const std::string &id)
    {
        return call(
                node, "/draft/1",
                {{"id", "t" + std::to_string(++m_takeUps)}, {"resumes", id}, {"last-event", "1"}});
    }

    void checkRefused(const std::shared_ptr<CallerView> &view)
    {
        CPPUNIT_ASSERT_EQUAL(kRefused, view->status);
        CPPUNIT_ASSERT(view->ended);
        CPPUNIT_ASSERT(view->body.find("\"not_run\"") != std::string::npos);
        CPPUNIT_ASSERT(view->body.find("version_") != std::string::npos);
        // Callers do not come back after more than a third of their time, in vain.
        const auto *retryAfter = findHeader(view->headers, "Retry-After");
        CPPUNIT_ASSERT(retryAfter != nullptr && std::stod(*retryAfter) > 5);
    }

    CallRecorder m_client;
    SharedJournals m_journals;
    std::unique_ptr<Deployment> m_nodes;
    int m_takeUps = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamVersionTest);

} // namespace hawthornslip::test
