#include "modules/freshness/config_cache.h"
#include "modules/peers/state_readers.h"
#include "modules/upstreams/upstream_directory.h"
#include "servers/state/feed_follower.h"
#include "servers/state/recording_sink.h"
#include "servers/state/relayed_feed.h"
#include "servers/state/state_relay.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/manual_loop.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace hawthornslip::test {

namespace {

constexpr Duration kStoreLatency = milliseconds(4);
constexpr Duration kPeerLatency = milliseconds(1);
constexpr Duration kDrainWithin = seconds(4);
constexpr Duration kRevokeWithin = seconds(5);
constexpr int kUnavailable = 503;

/** The platform's store with one kind of integers; counts the calls of each node. */
class StoreSim
{
public:
    explicit StoreSim(ManualLoop &loop)
        : m_loop(loop)
    {}

    void put(const std::string &name, int value)
    {
        m_objects[name] = {value, ++m_revision};
        for (const auto &wake : std::exchange(m_waiting, {}))
            wake();
    }

    /** Takes a copy of the state, which restore() brings back. */
    void copy() { m_copy = {m_objects, m_revision}; }

    /** Restarts from the last copy in a new era; waiting watches are cut. */
    void restore()
    {
        m_objects = m_copy.first;
        m_revision = m_copy.second;
        ++m_era;
        m_waiting.clear();
    }

    void list(const std::string &node, StateFeed<int>::Done done)
    {
        answer(node, [this, done = std::move(done)] {
            FeedResult<int> result = makeResult();
            for (const auto &[name, object] : m_objects)
                result.items.push_back(makeItem(name, object.first));
            done(result);
        });
    }

    void watch(const std::string &node, std::uint64_t after, Duration wait,
               StateFeed<int>::Done done)
    {
        ++calls[node];
        if (unreachableFrom.contains(node))
            return;
        const auto finished = std::make_shared<bool>(false);
        const auto finish = [this, node, after, done = std::move(done), finished, era = m_era] {
            if (std::exchange(*finished, true) || era != m_era)
                return;
            FeedResult<int> result = makeResult();
            if (m_revision < after)
                result.error = FeedError::HistoryGone;
            for (const auto &[name, object] : m_objects) {
                if (object.second > after)
                    result.items.push_back(makeItem(name, object.first));
            }
            m_loop.after(kStoreLatency, [this, node, done, result] {
                if (!unreachableFrom.contains(node))
                    done(result);
            });
        };
        if (m_revision != after) {
            finish();
            return;
        }
        m_waiting.push_back(finish);
        m_loop.after(wait, finish);
    }

    static FeedItem<int> makeItem(const std::string &name, int value)
    {
        FeedItem<int> item{name, false, value, ""};
        item.encoded = std::to_string(value);
        return item;
    }

    std::map<std::string, int> calls;
    std::set<std::string> unreachableFrom;

private:
    FeedResult<int> makeResult() const
    {
        FeedResult<int> result;
        result.revision = m_revision;
        result.era = m_era;
        return result;
    }

    void answer(const std::string &node, EventLoop::Task task)
    {
        ++calls[node];
        if (!unreachableFrom.contains(node))
            m_loop.after(kStoreLatency, std::move(task));
    }

    using Objects = std::map<std::string, std::pair<int, std::uint64_t>>;

    ManualLoop &m_loop;
    Objects m_objects;
    std::uint64_t m_revision = 1;
    std::uint64_t m_era = 1;
    std::pair<Objects, std::uint64_t> m_copy;
    std::vector<EventLoop::Task> m_waiting;
};

/** The store as one node calls it. */
class StoreFeed : public StateFeed<int>
{
public:
    StoreFeed(StoreSim &store, std::string node)
        : m_store(store)
        , m_node(std::move(node))
    {}
    void list(const std::string &, Done done) override { m_store.list(m_node, std::move(done)); }
    void watch(StatePosition from, Duration wait, Done done) override
    {
        m_store.watch(m_node, from.revision, wait, std::move(done));
    }

private:
    StoreSim &m_store;
    std::string m_node;
};

/** What one node knows. */
class KnownState : public FollowerSink<int>
{
public:
    explicit KnownState(ManualLoop &loop)
        : m_loop(loop)
    {}

    void onList(const std::vector<FeedItem<int>> &items) override
    {
        if (!keepsNewest)
            values.clear();
        for (const auto &it : items)
            onChange(it);
    }
    void onChange(const FeedItem<int> &item) override
    {
        isBehind = isOutdated(item);
        if (isBehind)
            return;
        wentBack = wentBack || (item.value && *item.value < values[item.name]);
        values[item.name] = item.value.value_or(0);
    }
    void onConfirmed(TimePoint at, StatePosition) override
    {
        if (!isBehind)
            confirmedAt = std::max(confirmedAt, at);
        isFromFuture = isFromFuture || at > m_loop.now();
    }
    void onStoreRestored() override { ++restores; }
    bool isOutdated(const FeedItem<int> &item) const override
    {
        const auto known = values.find(item.name);
        return keepsNewest && item.value && known != values.end() && *item.value < known->second;
    }
    bool isStoreBehind() const override { return isBehind; }

    std::map<std::string, int> values;
    TimePoint confirmedAt{};
    bool wentBack = false;
    bool isFromFuture = false;
    int restores = 0;
    /** Lower values replace no higher ones, as with versions of the configuration. */
    bool keepsNewest = false;
    bool isBehind = false;

private:
    ManualLoop &m_loop;
};

class RelayCluster;

/** Delivers calls between nodes. */
class PeerClient : public UpstreamClient
{
public:
    PeerClient(RelayCluster &cluster, std::string node)
        : m_cluster(cluster)
        , m_node(std::move(node))
    {}
    std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                       std::shared_ptr<UpstreamHandler> handler) override;

private:
    RelayCluster &m_cluster;
    std::string m_node;
};

/** One node: follower, relay and the choice of its source. */
class RelayNode : public StateReaderSource
{
public:
    RelayNode(RelayCluster &cluster, std::string nodeName);

    std::optional<std::string> reader() override;
    void onReaderFailed(const std::string &failed, bool refused) override;

    std::string name;
    KnownState known;
    PeerClient client;
    StateReaders readers;
    StateRelay relay;
    RecordingSink<int> sink;
    RelayedFeed<int> feed;
    FeedFollower<int> follower;

private:
    RelayCluster &m_cluster;
};

/** Nodes of one failure domain with their store, in virtual time. */
class RelayCluster
{
public:
    explicit RelayCluster(int nodes)
    {
        for (int i = 0; i < nodes; ++i)
            names.push_back(fmt::format("10.0.0.{}:7000", i));
        for (const auto &it : names)
            m_nodes.push_back(std::make_unique<RelayNode>(*this, it));
    }

    void start()
    {
        for (auto &it : m_nodes)
            it->follower.start();
    }

    /** Starts all nodes but the last one. */
    void startAllButOne()
    {
        for (std::size_t i = 0; i + 1 < m_nodes.size(); ++i)
            m_nodes[i]->follower.start();
    }

    RelayNode &node(const std::string &name)
    {
        return **std::find_if(m_nodes.begin(), m_nodes.end(),
                              [&name](const auto &it) { return it->name == name; });
    }
    const std::vector<std::unique_ptr<RelayNode>> &nodes() const { return m_nodes; }

    /** @return the names of the nodes that call the store. */
    std::vector<std::string> readers()
    {
        std::vector<std::string> found;
        for (auto &it : m_nodes) {
            if (!it->feed.isRelayed())
                found.push_back(it->name);
        }
        return found;
    }

    /** @return the number of nodes that know @p value. */
    std::size_t knowing(const std::string &object, int value) const
    {
        return static_cast<std::size_t>(
                std::count_if(m_nodes.begin(), m_nodes.end(),
                              [&](const auto &it) { return it->known.values[object] == value; }));
    }

    ManualLoop loop;
    CountingMetrics metrics;
    StoreSim store{loop};
    std::vector<std::string> names;
    /** Nodes that neither send nor answer anything. */
    std::set<std::string> silent;
    /** Replaces the reply of each reader; for malformed ones. */
    std::optional<std::string> forgedReply;
    /** Delay of each reply on its way. */
    Duration replyDelay = kPeerLatency;

private:
    std::vector<std::unique_ptr<RelayNode>> m_nodes;
};

FollowerTimes makeTimes()
{
    FollowerTimes times;
    times.watch = kRevokeWithin * 3 / 5;
    times.isAgeBounded = true;
    times.overdueAfter = milliseconds(500);
    return times;
}

RelayNode::RelayNode(RelayCluster &cluster, std::string nodeName)
    : name(std::move(nodeName))
    , known(cluster.loop)
    , client(cluster, name)
    , readers(name)
    , relay(cluster.loop, cluster.metrics)
    , sink(StateKind::Config, relay, known)
    , feed(
              StateKind::Config, {cluster.loop, client, *this},
              std::make_unique<StoreFeed>(cluster.store, name),
              [](const StateObject &object) {
                  if (object.removed)
                      return FeedItem<int>{object.name, true, std::nullopt, ""};
                  return StoreSim::makeItem(object.name, std::stoi(object.encoded));
              },
              kDrainWithin / 4)
    , follower("test", feed, sink, cluster.loop, cluster.metrics, makeTimes(), 1)
    , m_cluster(cluster)
{
    relay.setServing(StateKind::Config,
                     [this] { return !feed.isRelayed() && !follower.isFailing(); });
    follower.onContactLost([this] { relay.refuseHeld(); });
}

std::optional<std::string> RelayNode::reader()
{
    auto peers = m_cluster.names;
    std::erase(peers, name);
    return readers.choose(std::move(peers), m_cluster.loop.now());
}

void RelayNode::onReaderFailed(const std::string &failed, bool refused)
{
    if (refused)
        readers.onRefused(failed, m_cluster.loop.now());
    else
        readers.onSilent(failed, m_cluster.loop.now());
}

/** Passes a reply to the calling node after the latency of the network. */
class ReplyWriter : public ResponseWriter
{
public:
    ReplyWriter(RelayCluster &cluster, std::string from, std::shared_ptr<UpstreamHandler> handler)
        : m_cluster(cluster)
        , m_from(std::move(from))
        , m_handler(std::move(handler))
    {}

    void begin(int status, const HttpHeaders &, std::optional<std::size_t>) override
    {
        m_status = status;
    }
    void write(std::string_view piece) override { m_body += piece; }
    void end() override
    {
        if (m_cluster.silent.contains(m_from))
            return;
        if (m_cluster.forgedReply)
            m_body = *m_cluster.forgedReply;
        m_cluster.loop.after(m_cluster.replyDelay,
                             [handler = m_handler, status = m_status, body = m_body] {
                                 handler->onHeaders(status, {});
                                 handler->onData(body);
                                 handler->onEnd({UpstreamResult::Complete, status, "", false});
                             });
    }
    void abort() override {}
    std::size_t unsentBytes() const override { return 0; }

private:
    RelayCluster &m_cluster;
    std::string m_from;
    std::shared_ptr<UpstreamHandler> m_handler;
    int m_status = 0;
    std::string m_body;
};

/** Reports the first end of a call only: its answer or its time limit. */
class FirstEnd : public UpstreamHandler
{
public:
    explicit FirstEnd(std::shared_ptr<UpstreamHandler> handler)
        : m_handler(std::move(handler))
    {}
    void onHeaders(int status,
                   const std::vector<std::pair<std::string, std::string>> &headers) override
    {
        if (!m_ended)
            m_handler->onHeaders(status, headers);
    }
    bool onData(std::string_view piece) override { return m_ended || m_handler->onData(piece); }
    void onEnd(const UpstreamEnd &end) override
    {
        if (!std::exchange(m_ended, true))
            m_handler->onEnd(end);
    }

private:
    std::shared_ptr<UpstreamHandler> m_handler;
    bool m_ended = false;
};

std::shared_ptr<UpstreamCall> PeerClient::send(UpstreamRequest request,
                                               std::shared_ptr<UpstreamHandler> handler)
{
    // A connection that was cut while idle would delay the failure of the call by seconds.
    CPPUNIT_ASSERT(request.reuseWithin <= DirectoryTimes().drainWithin);
    const auto first = std::make_shared<FirstEnd>(std::move(handler));
    m_cluster.loop.after(request.totalTimeout, [first] {
        first->onEnd({UpstreamResult::TotalTimeout, 0, "", false});
    });
    const auto start = request.url.find("//") + 2;
    const auto slash = request.url.find('/', start);
    const auto to = request.url.substr(start, slash - start);
    if (m_cluster.silent.contains(to) || m_cluster.silent.contains(m_node))
        return nullptr;
    HttpRequest call;
    call.method = request.method;
    const auto question = request.url.find('?');
    call.path = request.url.substr(slash, question - slash);
    if (question != std::string::npos)
        call.query = request.url.substr(question + 1);
    m_cluster.loop.after(kPeerLatency, [this, to, call, first] {
        m_cluster.node(to).relay.onRequest(call,
                                           std::make_shared<ReplyWriter>(m_cluster, to, first));
    });
    return nullptr;
}

} // namespace

class StateRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StateRelayTest);
    CPPUNIT_TEST(callsToTheStoreDoNotGrowWithTheNodes);
    CPPUNIT_TEST(changesReachAllNodesAtOnce);
    CPPUNIT_TEST(silentReaderDelaysNoChangeBeyondTheDrainTime);
    CPPUNIT_TEST(readerWithoutStoreIsLeft);
    CPPUNIT_TEST(keysStayTrustedWhileAReaderIsLost);
    CPPUNIT_TEST(confirmationIsNeverTooYoung);
    CPPUNIT_TEST(readerCutFromTheStoreConfirmsNothing);
    CPPUNIT_TEST(malformedReplyIsNotUsed);
    CPPUNIT_TEST(stateNeverGoesBackWhenTheReaderChanges);
    CPPUNIT_TEST(stoppingReaderRefusesHeldCalls);
    CPPUNIT_TEST(changesReachAllNodesAfterTheStoreIsRestored);
    CPPUNIT_TEST(changesUnderReusedRevisionsAreNotMissed);
    CPPUNIT_TEST(storeRestoredTwiceIsFollowed);
    CPPUNIT_TEST(nodeCutOffOverARestoreCatchesUp);
    CPPUNIT_TEST(newNodeGetsTheNewestVersionThatItsReaderKnows);
    CPPUNIT_TEST(nothingIsConfirmedWhileTheStoreHasAnOlderVersion);
    CPPUNIT_TEST(unknownKindIsNotFound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against each node following the store by calls of its own: of the users' 195 nodes,
    // each made 40 calls on a quiet day.
    void callsToTheStoreDoNotGrowWithTheNodes()
    {
        constexpr int kFew = 10;
        constexpr int kMany = 100;
        const int few = callsInAMinute(kFew);
        const int many = callsInAMinute(kMany);
        // Each node lists once at its start.
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} and {} calls", few, many),
                               many - few <= 2 * (kMany - kFew));
    }

    void changesReachAllNodesAtOnce()
    {
        RelayCluster cluster(40);
        startAndSettle(cluster);
        cluster.store.put("a", 7);
        cluster.loop.advance(2 * kStoreLatency + 10 * kPeerLatency);
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, cluster.knowing("a", 7));
    }

    // Guards against nodes that miss an upstream's leaving because the reader that they follow
    // froze or was cut off.
    void silentReaderDelaysNoChangeBeyondTheDrainTime()
    {
        RelayCluster cluster(40);
        startAndSettle(cluster);
        cluster.silent.insert(cluster.readers().front());
        cluster.store.put("a", 7);
        cluster.loop.advance(kDrainWithin / 2);
        CPPUNIT_ASSERT(cluster.knowing("a", 7) >= std::size_t{39});
    }

    // Guards against nodes that believe a reader which is cut off from the store.
    void readerWithoutStoreIsLeft()
    {
        RelayCluster cluster(40);
        startAndSettle(cluster);
        const auto readers = cluster.readers();
        for (const auto &it : readers)
            cluster.store.unreachableFrom.insert(it);
        cluster.loop.advance(seconds(8));
        cluster.store.put("a", 7);
        cluster.loop.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{40} - readers.size(), cluster.knowing("a", 7));
    }

    // Guards against API keys that are refused because the confirmations of a lost reader stop.
    void keysStayTrustedWhileAReaderIsLost()
    {
        RelayCluster cluster(40);
        startAndSettle(cluster);
        cluster.silent.insert(cluster.readers().front());
        for (int i = 0; i < 200; ++i) {
            cluster.loop.advance(milliseconds(50));
            for (const auto &it : cluster.nodes()) {
                if (cluster.silent.contains(it->name))
                    continue;
                // The same check decides whether a gateway refuses keys.
                ConfigCache cache({true, kRevokeWithin});
                RoutingConfig config;
                config.version = 1;
                cache.adopt(std::move(config), cluster.loop.now());
                cache.confirm(it->known.confirmedAt);
                CPPUNIT_ASSERT_MESSAGE(
                        fmt::format("confirmed {} ms ago",
                                    toMillis(cluster.loop.now() - it->known.confirmedAt)),
                        cache.mayTrustKeys(cluster.loop.now()));
            }
        }
    }

    // Guards against revoked keys that are accepted for too long because a reply was on its way
    // while the reader's confirmation aged.
    void confirmationIsNeverTooYoung()
    {
        RelayCluster cluster(20);
        cluster.replyDelay = milliseconds(300);
        cluster.start();
        for (int i = 0; i < 400; ++i) {
            cluster.loop.advance(milliseconds(50));
            TimePoint newest{};
            for (const auto &it : cluster.readers())
                newest = std::max(newest, cluster.node(it).known.confirmedAt);
            for (const auto &it : cluster.nodes()) {
                CPPUNIT_ASSERT(it->known.confirmedAt <= newest);
                CPPUNIT_ASSERT(!it->known.isFromFuture);
            }
        }
    }

    // Guards against a reader that passes its state on as confirmed while the store is silent.
    void readerCutFromTheStoreConfirmsNothing()
    {
        RelayCluster cluster(3);
        startAndSettle(cluster);
        const auto readers = cluster.readers();
        for (const auto &it : readers)
            cluster.store.unreachableFrom.insert(it);
        const TimePoint lostAt = cluster.loop.now();
        cluster.loop.advance(seconds(2));
        for (const auto &it : cluster.nodes())
            CPPUNIT_ASSERT(it->known.confirmedAt <= lostAt);
    }

    // Guards against a node that goes down, or takes nonsense for state, on a malformed reply.
    void malformedReplyIsNotUsed()
    {
        for (const std::string &reply : {std::string("\xff\xff nonsense"), std::string()}) {
            RelayCluster cluster(10);
            startAndSettle(cluster);
            cluster.forgedReply = reply;
            cluster.store.put("a", 7);
            cluster.loop.advance(seconds(2));
            CPPUNIT_ASSERT_EQUAL(std::size_t{10}, cluster.knowing("a", 7));
        }
    }

    // Guards against older state from a reader that lags behind the one followed before.
    void stateNeverGoesBackWhenTheReaderChanges()
    {
        RelayCluster cluster(12);
        startAndSettle(cluster);
        for (int value = 1; value <= 60; ++value) {
            cluster.store.put("a", value);
            const auto readers = cluster.readers();
            cluster.silent.clear();
            cluster.store.unreachableFrom.clear();
            const auto &lost = readers[static_cast<std::size_t>(value) % readers.size()];
            if (value % 2 == 0)
                cluster.silent.insert(lost);
            else
                cluster.store.unreachableFrom.insert(lost);
            cluster.loop.advance(milliseconds(700));
        }
        cluster.silent.clear();
        cluster.store.unreachableFrom.clear();
        cluster.loop.advance(seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, cluster.knowing("a", 60));
        for (const auto &it : cluster.nodes())
            CPPUNIT_ASSERT(!it->known.wentBack);
    }

    // Guards against followers that wait for a reader which is about to end.
    void stoppingReaderRefusesHeldCalls()
    {
        RelayCluster cluster(10);
        startAndSettle(cluster);
        const auto reader = cluster.readers().front();
        cluster.node(reader).relay.beginStop();
        cluster.silent.insert(reader);
        cluster.loop.advance(milliseconds(100));
        cluster.store.put("a", 7);
        cluster.loop.advance(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, cluster.knowing("a", 7));
    }

    // Guards against followers that keep the state of before a restore to the end of the process.
    void changesReachAllNodesAfterTheStoreIsRestored()
    {
        RelayCluster cluster(40);
        startAndSettle(cluster);
        cluster.store.copy();
        cluster.store.put("a", 7);
        cluster.store.put("b", 2);
        cluster.loop.advance(seconds(1));
        restoreAfterOutage(cluster);
        cluster.store.put("a", 8);
        cluster.loop.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, cluster.knowing("a", 8));
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, cluster.knowing("b", 1));
        for (const auto &it : cluster.nodes())
            CPPUNIT_ASSERT_EQUAL(1, it->known.restores);
    }

    // Guards against a watch that skips changes because its revision was given out again.
    void changesUnderReusedRevisionsAreNotMissed()
    {
        RelayCluster cluster(40);
        startAndSettle(cluster);
        cluster.store.copy();
        cluster.store.put("a", 7);
        cluster.loop.advance(seconds(1));
        cluster.store.restore();
        cluster.store.put("b", 2);
        cluster.store.put("c", 3);
        cluster.loop.advance(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, cluster.knowing("b", 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, cluster.knowing("c", 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, cluster.knowing("a", 0));
    }

    // Guards against a second restore, before the first one has reached all nodes, that is missed.
    void storeRestoredTwiceIsFollowed()
    {
        RelayCluster cluster(40);
        startAndSettle(cluster);
        cluster.store.copy();
        for (int value = 1; value <= 5; ++value)
            cluster.store.put("a", value);
        cluster.loop.advance(seconds(1));
        restoreAfterOutage(cluster);
        cluster.store.put("a", 6);
        cluster.loop.advance(milliseconds(100));
        restoreAfterOutage(cluster);
        cluster.store.put("a", 9);
        cluster.loop.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, cluster.knowing("a", 9));
    }

    // Guards against a node that missed a restore and holds revisions that have another meaning.
    void nodeCutOffOverARestoreCatchesUp()
    {
        RelayCluster cluster(12);
        startAndSettle(cluster);
        const auto lost = cluster.readers().front();
        cluster.store.copy();
        cluster.store.put("a", 7);
        cluster.loop.advance(seconds(1));
        cluster.silent.insert(lost);
        cluster.store.unreachableFrom.insert(lost);
        cluster.loop.advance(seconds(3));
        cluster.store.restore();
        cluster.store.put("b", 2);
        cluster.loop.advance(seconds(5));
        cluster.silent.clear();
        cluster.store.unreachableFrom.clear();
        cluster.loop.advance(seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, cluster.knowing("b", 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, cluster.knowing("a", 0));
    }

    // Guards against a node that serves the configuration of a copy because it starts before the
    // operator has written the newest one again.
    void newNodeGetsTheNewestVersionThatItsReaderKnows()
    {
        RelayCluster cluster(12);
        for (const auto &it : cluster.nodes())
            it->known.keepsNewest = true;
        cluster.store.put("a", 4);
        cluster.startAllButOne();
        cluster.loop.advance(seconds(10));
        cluster.store.copy();
        cluster.store.put("a", 7);
        cluster.loop.advance(seconds(1));
        restoreAfterOutage(cluster);
        cluster.nodes().back()->follower.start();
        cluster.loop.advance(seconds(1));
        CPPUNIT_ASSERT(cluster.nodes().back()->feed.isRelayed());
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, cluster.knowing("a", 7));
        cluster.store.put("a", 7);
        cluster.store.put("a", 9);
        cluster.loop.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, cluster.knowing("a", 9));
    }

    // Guards against API keys that stay trusted though the version that revoked them may be lost.
    void nothingIsConfirmedWhileTheStoreHasAnOlderVersion()
    {
        RelayCluster cluster(12);
        for (const auto &it : cluster.nodes())
            it->known.keepsNewest = true;
        cluster.store.put("a", 4);
        cluster.startAllButOne();
        cluster.loop.advance(seconds(10));
        cluster.store.copy();
        cluster.store.put("a", 7);
        cluster.loop.advance(seconds(1));
        restoreAfterOutage(cluster);
        const TimePoint restoredAt = cluster.loop.now() - seconds(10);
        cluster.nodes().back()->follower.start();
        cluster.loop.advance(seconds(1));
        for (const auto &it : cluster.nodes())
            CPPUNIT_ASSERT(it->known.confirmedAt < restoredAt);
        cluster.store.put("a", 7);
        cluster.loop.advance(seconds(4));
        for (const auto &it : cluster.nodes())
            CPPUNIT_ASSERT(it->known.confirmedAt > restoredAt);
    }

    void unknownKindIsNotFound()
    {
        RelayCluster cluster(1);
        startAndSettle(cluster);
        CPPUNIT_ASSERT_EQUAL(404, statusOf(cluster, "GET", "/state/secrets"));
        CPPUNIT_ASSERT_EQUAL(404, statusOf(cluster, "POST", "/state/config"));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(cluster, "GET", "/state/config"));
        CPPUNIT_ASSERT_EQUAL(kUnavailable, statusOf(cluster, "GET", "/state/nodes"));
    }

private:
    class StatusHandler : public UpstreamHandler
    {
    public:
        void onHeaders(int code, const std::vector<std::pair<std::string, std::string>> &) override
        {
            status = code;
        }
        bool onData(std::string_view) override { return true; }
        void onEnd(const UpstreamEnd &) override {}

        int status = 0;
    };

    static int statusOf(RelayCluster &cluster, const std::string &method, const std::string &path)
    {
        HttpRequest request;
        request.method = method;
        request.path = path;
        const auto handler = std::make_shared<StatusHandler>();
        cluster.nodes().front()->relay.onRequest(
                request, std::make_shared<ReplyWriter>(cluster, "caller", handler));
        cluster.loop.advance(milliseconds(10));
        return handler->status;
    }

    static void startAndSettle(RelayCluster &cluster)
    {
        cluster.store.put("b", 1);
        cluster.start();
        cluster.loop.advance(seconds(10));
    }

    static void restoreAfterOutage(RelayCluster &cluster)
    {
        cluster.store.unreachableFrom.insert(cluster.names.begin(), cluster.names.end());
        cluster.loop.advance(seconds(2));
        cluster.store.restore();
        cluster.store.unreachableFrom.clear();
        cluster.loop.advance(seconds(10));
    }

    static int callsInAMinute(int nodes)
    {
        RelayCluster cluster(nodes);
        cluster.start();
        cluster.loop.advance(seconds(60));
        int sum = 0;
        for (const auto &[node, count] : cluster.store.calls)
            sum += count;
        return sum;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateRelayTest);

} // namespace hawthornslip::test
