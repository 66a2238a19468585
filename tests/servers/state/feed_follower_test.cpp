#include "servers/state/feed_follower.h"
#include "servers/state/router_state.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/manual_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace hawthornslip::test {

namespace {

/** Records the last call, so that the test can answer it. */
class ScriptedFeed : public StateFeed<int>
{
public:
    void list(const std::string &after, Done done) override
    {
        ++lists;
        listedAfter = after;
        answer = std::move(done);
    }
    void watch(StatePosition from, Duration length, Done done) override
    {
        ++watches;
        revision = from.revision;
        wait = length;
        answer = std::move(done);
    }
    std::optional<Duration> chooseRelay() override
    {
        return isRelayed ? std::optional<Duration>(milliseconds(500)) : std::nullopt;
    }

    Done answer;
    bool isRelayed = false;
    int lists = 0;
    int watches = 0;
    std::string listedAfter;
    std::uint64_t revision = 0;
    Duration wait{0};
};

/** Keeps the last call for upstreams, so that the test can answer it. */
class ScriptedUpstreamFeed : public StateFeed<UpstreamEntry>
{
public:
    void list(const std::string &, Done done) override { answer = std::move(done); }
    void watch(StatePosition, Duration, Done done) override { answer = std::move(done); }

    Done answer;
};

class RecordingSink : public FollowerSink<int>
{
public:
    void onList(const std::vector<FeedItem<int>> &list) override { items = list.size(); }
    void onChange(const FeedItem<int> &) override { ++changes; }
    void onConfirmed(TimePoint at, StatePosition position) override
    {
        confirmed = at;
        revision = position.revision;
    }
    void onStoreRecovered(Duration length) override
    {
        ++recoveries;
        away = length;
    }
    void onStoreRestored() override { ++restores; }
    bool isStoreBehind() const override { return isBehind; }

    std::size_t items = 0;
    int changes = 0;
    int recoveries = 0;
    Duration away{0};
    int restores = 0;
    bool isBehind = false;
    TimePoint confirmed{};
    std::uint64_t revision = 0;
};

FeedResult<int> makeResult(std::uint64_t revision, std::size_t items = 0)
{
    FeedResult<int> result;
    result.revision = revision;
    for (std::size_t i = 0; i < items; ++i)
        result.items.push_back({std::to_string(i), false, 1, ""});
    return result;
}

FeedResult<int> makeResultOf(std::uint64_t era, std::uint64_t revision, std::size_t items = 0)
{
    auto result = makeResult(revision, items);
    result.era = era;
    return result;
}

FeedResult<int> makeError(FeedError error, std::optional<std::uint64_t> era = std::nullopt)
{
    FeedResult<int> result;
    result.era = era;
    result.error = error;
    return result;
}

} // namespace

class FeedFollowerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FeedFollowerTest);
    CPPUNIT_TEST(readsAllPagesThenWatches);
    CPPUNIT_TEST(retriesFailedPage);
    CPPUNIT_TEST(retriesLostPage);
    CPPUNIT_TEST(emptyWatchConfirmsUpToItsEnd);
    CPPUNIT_TEST(watchAfterChangeIsShort);
    CPPUNIT_TEST(retriesLostAnswer);
    CPPUNIT_TEST(watchAfterLostCallIsShort);
    CPPUNIT_TEST(backsOffAfterRefusals);
    CPPUNIT_TEST(listsAgainWhenHistoryIsGone);
    CPPUNIT_TEST(listsAgainInAnotherEra);
    CPPUNIT_TEST(listsAgainAfterARefusalInAnotherEra);
    CPPUNIT_TEST(listsAgainWhenAnotherFollowerSeesAnEra);
    CPPUNIT_TEST(listsAgainWhenTheReaderGoesAfterARestore);
    CPPUNIT_TEST(listsAgainWhenOnlyThisNodeTakesTheStoreForOutdated);
    CPPUNIT_TEST(listAcrossTwoErasIsReadAgain);
    CPPUNIT_TEST(answerWithoutEraKeepsTheEra);
    CPPUNIT_TEST(wrongEraIsForgottenWithTheNextAnswer);
    CPPUNIT_TEST(suspendedProcessDoesNotConfirm);
    CPPUNIT_TEST(refusalsAreNoOutage);
    CPPUNIT_TEST(failedCallsAreAnOutage);
    CPPUNIT_TEST(outageThatAnotherFollowerSawCounts);
    CPPUNIT_TEST(defersRetriesWhileAnotherFollowerFails);
    CPPUNIT_TEST(retriesWhileTheOtherFollowerSucceeds);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_times.watch = seconds(3);
        m_times.overdueAfter = milliseconds(500);
        m_times.isAgeBounded = true;
        m_feed = {};
        m_sink = {};
        m_follower = std::make_unique<FeedFollower<int>>("test", m_feed, m_sink, m_loop, m_metrics,
                                                         m_times, 1);
        m_follower->start();
    }

    // Guards against missing a change that happens between two pages of a list.
    void readsAllPagesThenWatches()
    {
        auto page = makeResult(10, 2);
        page.hasMore = true;
        m_feed.answer(page);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), m_feed.listedAfter);
        m_feed.answer(makeResult(15, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_sink.items);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, m_feed.revision);
    }

    // Guards against nodes that never finish a list: many start at once, an overloaded store
    // refuses some pages, and each node starts over at the first page.
    void retriesFailedPage()
    {
        auto page = makeResult(10, 2);
        page.hasMore = true;
        m_feed.answer(page);
        m_feed.answer(makeError(FeedError::RateLimited));
        m_loop.advance(m_times.initialBackoff);
        CPPUNIT_ASSERT_EQUAL(3, m_feed.lists);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), m_feed.listedAfter);
        m_feed.answer(makeResult(15, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_sink.items);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, m_feed.revision);
    }

    void retriesLostPage()
    {
        auto page = makeResult(10, 2);
        page.hasMore = true;
        m_feed.answer(page);
        m_loop.advance(m_times.overdueAfter + m_times.initialBackoff);
        CPPUNIT_ASSERT_EQUAL(3, m_feed.lists);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), m_feed.listedAfter);
    }

    void emptyWatchConfirmsUpToItsEnd()
    {
        m_feed.answer(makeResult(10));
        const TimePoint start = m_loop.now();
        m_loop.advance(seconds(3) + milliseconds(5));
        m_feed.answer(makeResult(10));
        CPPUNIT_ASSERT(m_sink.confirmed == start + seconds(3));
    }

    // Guards against API keys that expire although the store answers: a change late in a watch only
    // confirms the start of the watch, and a full watch after it would exceed the maximum age.
    void watchAfterChangeIsShort()
    {
        m_feed.answer(makeResult(10));
        const TimePoint start = m_loop.now();
        m_loop.advance(milliseconds(2900));
        m_feed.answer(makeResult(12, 1));
        CPPUNIT_ASSERT_EQUAL(1, m_sink.changes);
        CPPUNIT_ASSERT(m_sink.confirmed == start);
        m_loop.advance(m_times.batchDelay);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, m_feed.revision);
        CPPUNIT_ASSERT(m_feed.wait <= milliseconds(200));
        m_loop.advance(m_feed.wait);
        m_feed.answer(makeResult(12));
        CPPUNIT_ASSERT(m_loop.now() - m_sink.confirmed <= milliseconds(1));
        CPPUNIT_ASSERT(m_feed.wait > seconds(2));
    }

    // Guards against entries that count as expired in an outage because the store limits its calls.
    void refusalsAreNoOutage()
    {
        m_feed.answer(makeResult(10));
        failFor(seconds(5), FeedError::RateLimited);
        m_feed.answer(makeResult(10));
        CPPUNIT_ASSERT_EQUAL(1, m_sink.recoveries);
        CPPUNIT_ASSERT(m_sink.away == Duration(0));
    }

    // Guards against an overload of the upstreams whose entries did not expire in an outage.
    void failedCallsAreAnOutage()
    {
        m_feed.answer(makeResult(10));
        failFor(seconds(5), FeedError::Unavailable);
        m_feed.answer(makeResult(10));
        CPPUNIT_ASSERT_EQUAL(1, m_sink.recoveries);
        CPPUNIT_ASSERT(m_sink.away >= seconds(5));
    }

    // Guards against the same where one follower tries the store for all.
    void outageThatAnotherFollowerSawCounts()
    {
        StoreContact contact;
        m_follower->shareContact(contact);
        m_feed.answer(makeResult(10));
        const TimePoint start = m_loop.now();
        contact.onFailed(start, start, start);
        m_follower->abandonWatch();
        contact.onFailed(start, start, start + seconds(1));
        contact.onAnswered(start + seconds(4));
        m_follower->retryNow();
        m_feed.answer(makeResult(10));
        CPPUNIT_ASSERT(m_sink.away == seconds(4));
    }

    // Guards against load on an unresponsive store from all three followers of each node.
    void defersRetriesWhileAnotherFollowerFails()
    {
        m_follower->deferRetriesWhile([] { return true; });
        m_feed.answer(makeResult(10));
        m_follower->abandonWatch();
        m_loop.advance(seconds(2));
        CPPUNIT_ASSERT_EQUAL(1, m_feed.watches);
        m_follower->retryNow();
        CPPUNIT_ASSERT_EQUAL(2, m_feed.watches);
        // retryNow() cancelled the pending retry, so the call is made only once.
        m_loop.advance(milliseconds(50));
        m_follower->retryNow();
        CPPUNIT_ASSERT_EQUAL(2, m_feed.watches);
    }

    // Guards against a long backoff after one failed call while the store answers other followers.
    void retriesWhileTheOtherFollowerSucceeds()
    {
        m_follower->deferRetriesWhile([] { return false; });
        m_feed.answer(makeResult(10));
        m_feed.answer(makeError(FeedError::Unavailable));
        m_loop.advance(m_times.initialBackoff);
        CPPUNIT_ASSERT_EQUAL(2, m_feed.watches);
    }

    // Guards against a stale state because a connection went silent without being closed.
    void retriesLostAnswer()
    {
        m_feed.answer(makeResult(10));
        const auto late = m_feed.answer;
        m_loop.advance(m_times.watch + m_times.overdueAfter + m_times.initialBackoff);
        CPPUNIT_ASSERT_EQUAL(2, m_feed.watches);
        // A late answer to the abandoned call is ignored.
        late(makeResult(99, 1));
        CPPUNIT_ASSERT_EQUAL(0, m_sink.changes);
        m_feed.answer(makeResult(11, 1));
        CPPUNIT_ASSERT_EQUAL(1, m_sink.changes);
        CPPUNIT_ASSERT_EQUAL(1, m_sink.recoveries);
    }

    // Guards against requests to a drained upstream for seconds: a long watch that starts while the
    // store is still silent gets no answer, which is noticed only at its end.
    void watchAfterLostCallIsShort()
    {
        FollowerTimes longTimes;
        longTimes.watch = seconds(15);
        ManualLoop ownLoop;
        FeedFollower<int> follower("test", m_feed, m_sink, ownLoop, m_metrics, longTimes, 1);
        follower.start();
        m_feed.answer(makeResult(10));
        CPPUNIT_ASSERT(m_feed.wait == seconds(15));
        follower.abandonWatch();
        const int before = m_feed.watches;
        ownLoop.advance(seconds(4));
        // The store is silent for four seconds.
        CPPUNIT_ASSERT(m_feed.watches >= before + 3);
        CPPUNIT_ASSERT(m_feed.wait <= milliseconds(200));
        // The store answers from the next call on.
        const int lost = m_feed.watches;
        while (m_feed.watches == lost)
            ownLoop.advance(milliseconds(10));
        m_feed.answer(makeResult(10));
        ownLoop.advance(longTimes.batchDelay);
        CPPUNIT_ASSERT(m_feed.wait == seconds(15));
    }

    // Guards against too many calls to a store that refuses them; each call is billed.
    void backsOffAfterRefusals()
    {
        m_feed.answer(makeError(FeedError::RateLimited));
        const TimePoint start = m_loop.now();
        while (m_loop.now() < start + seconds(10)) {
            const int before = m_feed.lists;
            m_loop.advance(milliseconds(10));
            if (m_feed.lists != before)
                m_feed.answer(makeError(FeedError::Unavailable));
        }
        CPPUNIT_ASSERT(m_feed.lists <= 30);
        CPPUNIT_ASSERT(m_feed.lists >= 10);
    }

    void listsAgainWhenHistoryIsGone()
    {
        m_feed.answer(makeResult(10));
        m_feed.answer(makeError(FeedError::HistoryGone));
        CPPUNIT_ASSERT_EQUAL(2, m_feed.lists);
        m_feed.answer(makeResult(40, 2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, m_feed.revision);
        CPPUNIT_ASSERT_EQUAL(0, m_sink.recoveries);
    }

    // Guards against changes that are skipped because a revision was given out again.
    void listsAgainInAnotherEra()
    {
        m_feed.answer(makeResultOf(1, 10, 3));
        m_feed.answer(makeResultOf(2, 12, 1));
        m_loop.advance(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(0, m_sink.changes);
        CPPUNIT_ASSERT_EQUAL(2, m_feed.lists);
        CPPUNIT_ASSERT_EQUAL(0, m_sink.restores);
        m_feed.answer(makeResultOf(2, 8, 2));
        CPPUNIT_ASSERT_EQUAL(1, m_sink.restores);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, m_feed.revision);
    }

    void listsAgainAfterARefusalInAnotherEra()
    {
        m_feed.answer(makeResultOf(1, 10));
        m_feed.answer(makeError(FeedError::Unavailable, 2));
        m_loop.advance(m_times.initialBackoff);
        CPPUNIT_ASSERT_EQUAL(2, m_feed.lists);
    }

    // Guards against a long watch that hears nothing of a restore, as its revision exists again.
    void listsAgainWhenAnotherFollowerSeesAnEra()
    {
        std::uint64_t seen = 0;
        m_follower->onEraSeen([&seen](std::uint64_t era) { seen = era; });
        m_feed.answer(makeResultOf(1, 10));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, seen);
        m_follower->enterEra(1);
        m_loop.advance(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(1, m_feed.lists);
        const auto abandoned = m_feed.answer;
        m_follower->enterEra(2);
        m_loop.advance(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(2, m_feed.lists);
        abandoned(makeResultOf(1, 11, 1));
        CPPUNIT_ASSERT_EQUAL(0, m_sink.changes);
        m_feed.answer(makeResultOf(1, 11));
        m_loop.advance(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a list of the earlier era", 2, m_feed.lists);
    }

    // Guards against a node that loses its reader and watches the store from an earlier era.
    void listsAgainWhenTheReaderGoesAfterARestore()
    {
        m_feed.isRelayed = true;
        m_feed.answer(makeResultOf(1, 10));
        m_follower->enterEra(2);
        m_loop.advance(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(1, m_feed.lists);
        m_feed.isRelayed = false;
        m_feed.answer(makeError(FeedError::ReaderUnavailable));
        m_loop.advance(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(2, m_feed.lists);
    }

    // Guards against a node that stays unready, as its new reader has nothing to tell.
    void listsAgainWhenOnlyThisNodeTakesTheStoreForOutdated()
    {
        m_feed.isRelayed = true;
        m_feed.answer(makeResultOf(1, 10));
        m_sink.isBehind = true;
        auto confirmation = makeResultOf(1, 12);
        confirmation.age = milliseconds(1);
        m_feed.answer(confirmation);
        m_loop.advance(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(2, m_feed.lists);
        m_feed.answer(confirmation);
        m_feed.answer(confirmation);
        m_loop.advance(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one list is enough", 2, m_feed.lists);
    }

    void listAcrossTwoErasIsReadAgain()
    {
        auto page = makeResultOf(1, 10, 2);
        page.hasMore = true;
        m_feed.answer(page);
        m_feed.answer(makeResultOf(2, 9, 1));
        m_loop.advance(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(3, m_feed.lists);
        CPPUNIT_ASSERT_EQUAL(std::string(), m_feed.listedAfter);
        m_feed.answer(makeResultOf(2, 9, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_sink.items);
    }

    void answerWithoutEraKeepsTheEra()
    {
        m_feed.answer(makeResultOf(3, 10));
        m_feed.answer(makeResult(11, 1));
        CPPUNIT_ASSERT_EQUAL(1, m_sink.changes);
        CPPUNIT_ASSERT_EQUAL(1, m_feed.lists);
    }

    // Guards against a node that refuses the store's answers for good after one absurd era.
    void wrongEraIsForgottenWithTheNextAnswer()
    {
        m_feed.answer(makeResultOf(3, 10));
        m_feed.answer(makeResultOf(UINT64_MAX, 10));
        m_loop.advance(milliseconds(300));
        m_feed.answer(makeResultOf(3, 11, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_sink.items);
        m_loop.advance(milliseconds(100));
        m_feed.answer(makeResultOf(3, 12, 1));
        CPPUNIT_ASSERT_EQUAL(1, m_sink.changes);
    }

    // Guards against a suspended process that takes an old, waiting answer for a current one.
    void suspendedProcessDoesNotConfirm()
    {
        m_feed.answer(makeResult(10));
        const TimePoint start = m_loop.now();
        m_loop.suspend(seconds(20));
        m_feed.answer(makeResult(10));
        CPPUNIT_ASSERT(m_sink.confirmed <= start + m_times.watch);
    }

private:
    /** Answers all calls with @p error until @p span is over and another call waits. */
    void failFor(Duration span, FeedError error)
    {
        const TimePoint end = m_loop.now() + span;
        m_feed.answer(makeError(error));
        int calls = m_feed.watches;
        while (m_loop.now() < end || m_feed.watches == calls) {
            m_loop.advance(milliseconds(10));
            if (m_loop.now() < end && m_feed.watches != std::exchange(calls, m_feed.watches))
                m_feed.answer(makeError(error));
        }
    }

    ManualLoop m_loop;
    CountingMetrics m_metrics;
    ScriptedFeed m_feed;
    RecordingSink m_sink;
    FollowerTimes m_times;
    std::unique_ptr<FeedFollower<int>> m_follower;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FeedFollowerTest);

/** Tests the sinks of RouterState without followers. */
class RouterStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterStateTest);
    CPPUNIT_TEST(malformedConfigurationChangesNothing);
    CPPUNIT_TEST(malformedEntryRemovesUpstream);
    CPPUNIT_TEST(cutWatchKeepsNoRemovedUpstreamInUse);
    CPPUNIT_TEST(upstreamThatLeftReturnsAfterARestoreOnlyWithItsEntry);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a removed or malformed object that discards the active configuration.
    void malformedConfigurationChangesNothing()
    {
        RoutingConfig config;
        config.version = 4;
        m_state.configSink().onList({{"main", false, config, ""}});
        m_state.configSink().onChange({"main", true, std::nullopt, ""});
        m_state.configSink().onChange({"main", false, std::nullopt, "half"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, m_state.config().table()->config().version);
    }

    // Guards against requests to an upstream whose entry another program overwrote with a malformed
    // one.
    void malformedEntryRemovesUpstream()
    {
        UpstreamEntry entry;
        entry.id = UpstreamId("a");
        entry.service = "models";
        UpstreamEntry other = entry;
        other.id = UpstreamId("b");
        m_state.upstreamSink().onList({{"a", false, entry, ""}, {"b", false, other, ""}});
        m_state.upstreamSink().onChange({"a", false, std::nullopt, "no address"});
        const auto usable = m_state.upstreams().usable("models", m_loop.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), usable[0].id.value);
    }

    // Guards against requests to an upstream that is gone: the store cut off the watch in which its
    // removal would have been seen.
    void cutWatchKeepsNoRemovedUpstreamInUse()
    {
        UpstreamEntry entry;
        entry.id = UpstreamId("a");
        entry.service = "models";
        UpstreamEntry other = entry;
        other.id = UpstreamId("b");
        ScriptedUpstreamFeed feed;
        FeedFollower<UpstreamEntry> follower("upstreams", feed, m_state.upstreamSink(), m_loop,
                                             m_metrics, FollowerTimes{}, 1);
        follower.start();
        feed.answer({FeedError::None, {{"a", false, entry, ""}, {"b", false, other, ""}}, 10});
        m_loop.advance(seconds(1));
        feed.answer({FeedError::Unavailable, {}});
        m_loop.advance(seconds(1));
        feed.answer({FeedError::None, {{"a", true, std::nullopt, ""}}, 11});
        const auto usable = m_state.upstreams().usable("models", m_loop.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), usable[0].id.value);
    }

    void upstreamThatLeftReturnsAfterARestoreOnlyWithItsEntry()
    {
        UpstreamEntry entry;
        entry.id = UpstreamId("a");
        entry.service = "models";
        entry.address = "10.0.0.9:80";
        const FeedItem<UpstreamEntry> item{"a", false, entry, ""};
        auto &sink = m_state.upstreamSink();
        sink.onList({item});
        sink.onChange({"a", true, std::nullopt, ""});
        sink.onStoreRestored();
        sink.onList({item});
        sink.onList({item});
        CPPUNIT_ASSERT(m_state.upstreams().usable("models", m_loop.now()).empty());
        sink.onChange(item);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             m_state.upstreams().usable("models", m_loop.now()).size());
    }

private:
    ManualLoop m_loop;
    CountingMetrics m_metrics;
    RouterState m_state{m_loop, m_metrics, KeyTrustPolicy{}, DirectoryTimes{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterStateTest);

} // namespace hawthornslip::test
