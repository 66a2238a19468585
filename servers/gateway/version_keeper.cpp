#include "servers/gateway/version_keeper.h"

#include "core/logger.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

// Callers may take a stream up again for as long as a route lets a request take, several times.
constexpr Duration kShortestMemory = seconds(60);
constexpr int kMemoryPerTimeout = 4;
constexpr Duration kTickInterval = milliseconds(250);
// A stream that begins less than this before its node is killed cannot be shown to others; short
// ones end within it and are not written.
constexpr Duration kWriteDelay = milliseconds(250);
// Added for each node, so that the sum of all nodes stays bounded.
constexpr Duration kWriteDelayPerNode = milliseconds(2);
// Nodes learn of a new version at the same time.
constexpr Duration kWriteSpread = milliseconds(40);
constexpr Duration kReadInterval = milliseconds(200);
constexpr Duration kReadRetry = milliseconds(500);
constexpr Duration kAbandonedAfter = seconds(3600);

} // namespace

VersionKeeper::VersionKeeper(EventLoop &loop, std::uint64_t seed)
    : m_loop(loop)
    , m_random(seed)
    , m_streams(kShortestMemory)
{}

Duration VersionKeeper::jitter(Duration longest)
{
    std::uniform_int_distribution<std::int64_t> distribution(0, longest.count());
    return Duration(distribution(m_random));
}

void VersionKeeper::setStore(VersionStore &store)
{
    m_store = &store;
    m_loop.after(kTickInterval, [this] { tick(); });
    read();
}

void VersionKeeper::setLongestTimeout(Duration timeout)
{
    m_streams.setMemory(std::max<Duration>(kShortestMemory, kMemoryPerTimeout * timeout));
}

void VersionKeeper::onUpstreams(const std::vector<UpstreamEntry> &entries)
{
    if (m_streams.onUpstreams(entries, m_loop.wallNow()))
        scheduleWrite(jitter(kWriteSpread));
}

void VersionKeeper::resolve(StreamKey stream, const std::string &service, Answer answer)
{
    if (const auto origin = m_streams.recordOf(stream)) {
        answer(origin);
        return;
    }
    if (m_store == nullptr) {
        answer(m_streams.unrecordedOrigin(service, m_loop.wallNow()));
        return;
    }
    // What a read under way returns may be older than the stream.
    m_waiting.push_back({stream, service, std::move(answer), m_reads + 1});
    read();
}

void VersionKeeper::read()
{
    if (m_isReading || m_isReadScheduled)
        return;
    const Duration pause = m_isFirstRead ? Duration(0) : m_readAt + kReadInterval - m_loop.now();
    if (pause > Duration(0)) {
        m_isReadScheduled = true;
        m_loop.after(pause, [this] {
            m_isReadScheduled = false;
            read();
        });
        return;
    }
    m_isReading = true;
    m_readAt = m_loop.now();
    ++m_reads;
    m_store->readAll([this](const auto &journals) { onRead(journals); });
}

void VersionKeeper::onRead(const std::optional<VersionStore::Journals> &journals)
{
    m_isReading = false;
    if (journals)
        learn(journals->entries);
    const bool wasFirst = journals && std::exchange(m_isFirstRead, false);
    answerWaiting(journals && journals->isComplete);
    if (wasFirst)
        scheduleWrite(Duration(0));
    if (m_isFirstRead)
        m_loop.after(jitter(kReadRetry), [this] { read(); });
    else if (!m_waiting.empty())
        read();
}

void VersionKeeper::learn(const std::vector<VersionStore::Entry> &entries)
{
    const std::string self = m_store->self();
    const UnixMillis now = m_loop.wallNow();
    m_journals = entries.size();
    for (const auto &[node, journal] : entries) {
        const bool isOwn = node == self;
        if (m_isFirstRead && now - journal.writtenAt > toMillis(kAbandonedAfter))
            m_store->remove(node);
        if (!isOwn)
            m_streams.learn(node, journal, now);
        else if (m_isFirstRead)
            m_streams.learnOwn(journal, now);
    }
    m_streams.expire(now);
    if (m_isFirstRead)
        logEvent(LogLevel::Info, "versions_read",
                 {{"nodes", entries.size()}, {"streams", m_streams.size()}});
}

void VersionKeeper::answerWaiting(bool isRead)
{
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &it : waiting) {
        auto origin = m_streams.recordOf(it.stream);
        if (!origin && isRead && it.read > m_reads) {
            m_waiting.push_back(it);
            continue;
        }
        // Without a read, another node may have seen versions that this one has not.
        if (!origin && isRead)
            origin = m_streams.unrecordedOrigin(it.service, m_loop.wallNow());
        it.answer(origin);
    }
}

void VersionKeeper::tick()
{
    // Entries of removed upstreams are dropped without a change of the list.
    if (m_refresh)
        m_refresh();
    m_streams.expire(m_loop.wallNow());
    if (m_streams.needsJournal(m_writtenUntil))
        scheduleWrite(writeDelay());
    else if (m_loop.now() - m_writtenAt >= kJournalInterval)
        scheduleWrite(Duration(0));
    m_loop.after(kTickInterval, [this] { tick(); });
}

void VersionKeeper::onFirstEvent(StreamKey stream, const UpstreamEntry &upstream)
{
    m_streams.onFirstEvent(stream, upstream, m_loop.wallNow());
    if (m_streams.needsJournal(m_writtenUntil))
        scheduleWrite(writeDelay());
}

Duration VersionKeeper::writeDelay() const
{
    return kWriteDelay + kWriteDelayPerNode * static_cast<std::int64_t>(m_journals);
}

void VersionKeeper::scheduleWrite(Duration delay)
{
    if (m_store == nullptr || std::exchange(m_isWriteScheduled, true))
        return;
    const Duration pause = m_writtenAt + writeDelay() - m_loop.now();
    m_loop.after(std::max(delay, pause), [this] {
        m_isWriteScheduled = false;
        write();
    });
}

void VersionKeeper::write()
{
    // Before the first read, the journal of this node's earlier process would be lost.
    if (m_isFirstRead)
        return;
    if (m_isWriting) {
        scheduleWrite(kReadRetry);
        return;
    }
    m_isWriting = true;
    m_writtenAt = m_loop.now();
    const UnixMillis now = m_loop.wallNow();
    m_streams.expire(now);
    const VersionJournal journal = m_streams.journal(now);
    m_streams.onJournalWritten();
    m_store->write(journal, [this, now](bool done) {
        m_isWriting = false;
        if (done)
            m_writtenUntil = now;
        else
            scheduleWrite(kReadRetry);
    });
}

} // namespace hawthornslip
