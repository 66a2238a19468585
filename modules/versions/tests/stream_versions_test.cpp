#include "modules/versions/stream_versions.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr UnixMillis kNow = 1'700'000'000'000;
constexpr UnixMillis kSecond = 1000;

UpstreamEntry makeEntry(const std::string &id, const std::string &version)
{
    UpstreamEntry entry;
    entry.id = UpstreamId(id);
    entry.service = "models";
    entry.softwareVersion = version;
    return entry;
}

/** @return a journal of @p at with one listed version. */
VersionJournal makeJournal(UnixMillis at, const std::string &version)
{
    return {at, at, {{"models", version, at}}, {}};
}

} // namespace

class StreamVersionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamVersionsTest);
    CPPUNIT_TEST(versionThatLeftIsNotForgottenWhileItsStreamsMayLast);
    CPPUNIT_TEST(versionThatIsListedForLongIsRemembered);
    CPPUNIT_TEST(journalOfANodeThatEndedMayHideLaterStreams);
    CPPUNIT_TEST(earlierProcessMayHaveRelayedUnrecordedStreams);
    CPPUNIT_TEST(upstreamThatRestartsWithItsVersionKeepsItsStreams);
    CPPUNIT_TEST(clockThatIsSetBackHidesNoVersion);
    CPPUNIT_TEST(completeStreamsAreNotKept);
    CPPUNIT_TEST(shortStreamsNeedNoJournal);
    CPPUNIT_TEST(streamsAreBoundedInNumberAndAge);
    CPPUNIT_TEST(eachPartOfAStreamsIdentityCounts);
    CPPUNIT_TEST_SUITE_END();

public:
    void versionThatLeftIsNotForgottenWhileItsStreamsMayLast()
    {
        StreamVersions versions(seconds(60));
        versions.learn("n", makeJournal(kNow - 10 * kSecond, "v1"), kNow - 10 * kSecond);
        versions.onUpstreams({makeEntry("b", "v2")}, kNow);
        CPPUNIT_ASSERT(!versions.unrecordedOrigin("models", kNow));
        // All streams of the first version were recorded by then.
        versions.learn("n", makeJournal(kNow + 10 * kSecond, "v2"), kNow + 10 * kSecond);
        const auto origin = versions.unrecordedOrigin("models", kNow + 10 * kSecond);
        CPPUNIT_ASSERT(origin && origin->version == "v2");
    }

    void versionThatIsListedForLongIsRemembered()
    {
        StreamVersions versions(seconds(60));
        versions.onUpstreams({makeEntry("a", "v1")}, kNow);
        versions.expire(kNow + 500 * kSecond);
        const auto origin = versions.unrecordedOrigin("models", kNow + 500 * kSecond);
        CPPUNIT_ASSERT(origin && origin->version == "v1");
    }

    // Guards against taking a node's silence for proof that it began no stream.
    void journalOfANodeThatEndedMayHideLaterStreams()
    {
        StreamVersions versions(seconds(60));
        versions.learn("ended", makeJournal(kNow - 30 * kSecond, "v1"), kNow);
        versions.learn("running", makeJournal(kNow, "v2"), kNow);
        CPPUNIT_ASSERT(!versions.unrecordedOrigin("models", kNow));
        versions.expire(kNow + 40 * kSecond);
        versions.learn("running", makeJournal(kNow + 40 * kSecond, "v2"), kNow + 40 * kSecond);
        CPPUNIT_ASSERT(versions.unrecordedOrigin("models", kNow + 40 * kSecond));
    }

    void earlierProcessMayHaveRelayedUnrecordedStreams()
    {
        StreamVersions versions(seconds(60));
        versions.learnOwn(makeJournal(kNow - 5 * kSecond, "v1"), kNow);
        versions.onUpstreams({makeEntry("b", "v2")}, kNow);
        CPPUNIT_ASSERT(!versions.unrecordedOrigin("models", kNow));
        CPPUNIT_ASSERT_EQUAL(kNow - 5 * kSecond, versions.journal(kNow).completeUntil);
        versions.expire(kNow + 61 * kSecond);
        CPPUNIT_ASSERT_EQUAL(kNow + 61 * kSecond,
                             versions.journal(kNow + 61 * kSecond).completeUntil);
    }

    void upstreamThatRestartsWithItsVersionKeepsItsStreams()
    {
        StreamVersions versions(seconds(60));
        auto entry = makeEntry("a", "v1");
        entry.bornMs = kNow - 100 * kSecond;
        versions.onUpstreams({entry}, kNow);
        versions.onFirstEvent(1, entry, kNow);
        entry.bornMs = kNow + kSecond;
        versions.onUpstreams({entry}, kNow + 2 * kSecond);
        CPPUNIT_ASSERT(versions.recordOf(1));
        // Another version under the same id: only streams from long before its start are sure.
        versions.onFirstEvent(2, entry, kNow + 20 * kSecond);
        entry.bornMs = kNow + 20 * kSecond;
        entry.softwareVersion = "v2";
        versions.onUpstreams({entry}, kNow + 21 * kSecond);
        CPPUNIT_ASSERT(versions.recordOf(1));
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), versions.recordOf(1)->version);
        CPPUNIT_ASSERT(versions.recordOf(2)->version.empty());
    }

    void clockThatIsSetBackHidesNoVersion()
    {
        StreamVersions versions(seconds(60));
        versions.learn("n", makeJournal(kNow, "v1"), kNow);
        versions.learn("n", makeJournal(kNow + kSecond, "v2"), kNow + kSecond);
        CPPUNIT_ASSERT(!versions.unrecordedOrigin("models", kNow - kSecond));
        CPPUNIT_ASSERT(!versions.unrecordedOrigin("models", kNow + 2 * kSecond));
    }

    void completeStreamsAreNotKept()
    {
        StreamVersions versions(seconds(60));
        versions.onFirstEvent(1, makeEntry("a", "v1"), kNow);
        versions.onFirstEvent(2, makeEntry("b", "v2"), kNow);
        versions.onComplete(1, kNow);
        // The end may have got lost on the way to its caller.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, versions.journal(kNow).streams.size());
        versions.expire(kNow + 21 * kSecond);
        const auto journal = versions.journal(kNow + 21 * kSecond);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, journal.streams.size());
        CPPUNIT_ASSERT((StreamGroup{"models", "v2", {2}}) == journal.streams.front());
    }

    void shortStreamsNeedNoJournal()
    {
        StreamVersions versions(seconds(60));
        versions.onUpstreams({makeEntry("a", "v1"), makeEntry("b", "v2")}, kNow);
        versions.onFirstEvent(1, makeEntry("a", "v1"), kNow);
        CPPUNIT_ASSERT(versions.needsJournal(kNow - kSecond));
        versions.onComplete(1, kNow);
        CPPUNIT_ASSERT(!versions.needsJournal(kNow - kSecond));
        versions.onFirstEvent(2, makeEntry("a", "v1"), kNow);
        versions.onJournalWritten();
        CPPUNIT_ASSERT(!versions.needsJournal(kNow - kSecond));
    }

    void streamsAreBoundedInNumberAndAge()
    {
        StreamVersions versions(seconds(60));
        for (StreamKey key = 0; key < 100'000; ++key)
            versions.onFirstEvent(key, makeEntry("a", "v1"), kNow);
        CPPUNIT_ASSERT(versions.size() < 70'000);
        CPPUNIT_ASSERT(versions.recordOf(99'999));
        // What was dropped is not taken for younger than the journal.
        CPPUNIT_ASSERT_EQUAL(kNow, versions.journal(kNow + kSecond).completeUntil);
        versions.expire(kNow + 61 * kSecond);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, versions.size());
    }

    // Guards against a take-up that names the stream of another caller or prompt.
    void eachPartOfAStreamsIdentityCounts()
    {
        const StreamIdentity own{"id", "workspace", "host", "/path", "prompt"};
        std::vector<StreamIdentity> others(5, own);
        others[0].requestId = "other";
        others[1].workspace = "other";
        others[2].host = "other";
        others[3].path = "other";
        others[4].prompt = "other";
        others.push_back({"idworkspace", "", "host", "/path", "prompt"});
        for (const auto &it : others)
            CPPUNIT_ASSERT(streamKey(own) != streamKey(it));
        CPPUNIT_ASSERT(streamKey(own) == streamKey(own));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamVersionsTest);

} // namespace hawthornslip
