#pragma once

#include "core/interfaces/event_loop.h"
#include "modules/versions/stream_versions.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hawthornslip {

/**
 * Finds out at which software version a stream began that a caller takes up again, also after this
 * node, or all of them, have restarted.
 *
 * Each node keeps the versions that it has seen in the platform's store, and, while a service has
 * several, the streams that it relays. It writes a few times per second at most, whatever the
 * number of streams. A stream that this node has not relayed is looked up in the journals of all
 * nodes; all take-ups that wait share one read.
 */
class VersionKeeper
{
public:
    /** Gets where the stream began, or nothing if that cannot be shown. */
    using Answer = std::function<void(std::optional<StreamOrigin> origin)>;

    VersionKeeper(EventLoop &loop, std::uint64_t seed);

    /**
     * Sets the store and reads the journals in it; until that is done, only streams that this node
     * has relayed are known. Without a store, this node's own knowledge decides.
     *
     * @param store must outlive this object.
     */
    void setStore(VersionStore &store);

    /** Sets the longest time that a route lets a request take. */
    void setLongestTimeout(Duration timeout);

    /** Sets the task that hands over the listed upstreams if they have changed. */
    void setRefresh(EventLoop::Task refresh) { m_refresh = std::move(refresh); }

    /** Handles the listed upstreams, after each change. */
    void onUpstreams(const std::vector<UpstreamEntry> &entries);

    /** Records that the first event of a stream came from @p upstream. */
    void onFirstEvent(StreamKey stream, const UpstreamEntry &upstream);

    /** Records that the caller has all of a stream. */
    void onComplete(StreamKey stream) { m_streams.onComplete(stream, m_loop.wallNow()); }

    /** Finds out where @p stream of @p service began; @p answer may be called at once. */
    void resolve(StreamKey stream, const std::string &service, Answer answer);

    /** @return true if a stream from @p origin may go on at another upstream of its version. */
    bool mayGoOnElsewhere(const StreamOrigin &origin) const
    {
        return m_streams.isSameVersion(origin, m_loop.wallNow());
    }

    /** Writes the journal again, because the store may have lost it. */
    void rewrite() { scheduleWrite(Duration(0)); }

private:
    /** A take-up that waits for a read which starts after it came. */
    struct Waiting
    {
        StreamKey stream = 0;
        std::string service;
        Answer answer;
        /** Number of the first read that counts. */
        std::uint64_t read = 0;
    };

    void read();
    void onRead(const std::optional<VersionStore::Journals> &journals);
    void learn(const std::vector<VersionStore::Entry> &entries);
    void answerWaiting(bool isRead);
    void tick();
    /** Writes after @p delay, and not more often than allowed. */
    void scheduleWrite(Duration delay);
    void write();
    /** @return the time from the first event of a stream to the write of its record. */
    Duration writeDelay() const;
    Duration jitter(Duration longest);

    EventLoop &m_loop;
    std::mt19937_64 m_random;
    StreamVersions m_streams;
    VersionStore *m_store = nullptr;
    EventLoop::Task m_refresh;
    std::vector<Waiting> m_waiting;
    std::size_t m_journals = 0;
    bool m_isFirstRead = true;
    bool m_isReading = false;
    bool m_isReadScheduled = false;
    std::uint64_t m_reads = 0;
    TimePoint m_readAt{};
    bool m_isWriteScheduled = false;
    bool m_isWriting = false;
    TimePoint m_writtenAt{};
    /** Time of the journal that the store has. */
    UnixMillis m_writtenUntil = 0;
};

} // namespace hawthornslip
