#pragma once

#include "modules/upstreams/upstream_directory.h"
#include "modules/versions/version_journal.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace hawthornslip {

/** Longest time between two writes of a journal. */
inline constexpr Duration kJournalInterval = seconds(20);

/** What tells a stream from others. */
struct StreamIdentity
{
    /** Request id of the caller's attempt that brought its first event. */
    std::string_view requestId;
    std::string_view workspace;
    std::string_view host;
    std::string_view path;
    /** Id of the prompt's last segment; empty without one. */
    std::string_view prompt;
};

/**
 * @return the key of a stream. A take-up that names the request id of another stream gets a key
 *         that no stream has.
 */
StreamKey streamKey(const StreamIdentity &identity);

/** The service and software version that a stream has to go on at. */
struct StreamOrigin
{
    std::string service;
    std::string version;

    bool operator==(const StreamOrigin &) const = default;
};

/**
 * The software version that each stream began at, as far as it can be shown: by a record of the
 * node that relayed its first event; or, as a stream that is in no journal began after the journals
 * were written, because its service has had no other version since then.
 *
 * What two versions of an upstream's software write does not fit together, so a stream goes on at
 * the version that began it, or not at all.
 */
class StreamVersions
{
public:
    /** @param memory how long versions and streams are remembered. */
    explicit StreamVersions(Duration memory);

    void setMemory(Duration memory);

    /**
     * Records the listed upstreams. The version of streams that may have begun at a process which
     * started under the id of an earlier one is not known any more.
     *
     * @return true if a service has a version that was not remembered.
     */
    bool onUpstreams(const std::vector<UpstreamEntry> &entries, UnixMillis now);

    /** Records that the first event of a stream came from @p upstream. */
    void onFirstEvent(StreamKey stream, const UpstreamEntry &upstream, UnixMillis now);

    /** Forgets a stream that was sent whole once its caller has noticed if the end got lost. */
    void onComplete(StreamKey stream, UnixMillis now);

    /** @return where @p stream began, if a record shows it. */
    std::optional<StreamOrigin> recordOf(StreamKey stream) const;

    /** @return where a stream of @p service without a record began, if that can be shown. */
    std::optional<StreamOrigin> unrecordedOrigin(const std::string &service, UnixMillis now) const;

    /**
     * @return true if upstreams that name @p version are known to have the same one: an empty
     *         version is shared only if no upstream of the service names one.
     */
    bool isSameVersion(const StreamOrigin &origin, UnixMillis now) const;

    /** @return what this node has to keep in the store. */
    VersionJournal journal(UnixMillis now) const;

    /** Records that journal() is written; a failed write is followed by another one. */
    void onJournalWritten() { m_unwritten.clear(); }

    /**
     * @return true if this node's journal of @p writtenAt does not show the version of an
     *         unfinished stream.
     */
    bool needsJournal(UnixMillis writtenAt) const;

    /**
     * Adds the journal of another node. Versions that were listed as it was written may have been
     * listed until now, or until it would have been written again.
     */
    void learn(const std::string &node, const VersionJournal &journal, UnixMillis now);

    /** Adds the journal that this node has written before its start, at @p now. */
    void learnOwn(const VersionJournal &journal, UnixMillis now);

    /** Forgets what is older than the remembered time; the listed upstreams count as seen now. */
    void expire(UnixMillis now);

    /** @return the number of streams with a record. */
    std::size_t size() const { return m_records.size(); }

private:
    struct Record
    {
        StreamOrigin origin;
        /** Nothing if another node has relayed the stream. */
        std::optional<UpstreamId> upstream;
        UnixMillis beganAt = 0;
        bool isOwn = false;
        bool isComplete = false;
    };
    struct Process
    {
        std::uint64_t bornMs = 0;
        std::string service;
        std::string version;
    };

    /** Streams that began in this node's earlier process and may lack a record. */
    struct Gap
    {
        UnixMillis from = 0;
        UnixMillis until = 0;
    };

    void learnVersions(const VersionJournal &journal, UnixMillis now);
    void learnStreams(const VersionJournal &journal, bool isOwn, UnixMillis now);
    void put(StreamKey stream, Record record, UnixMillis now);
    void forgetVersions(const UpstreamId &upstream, UnixMillis since);
    void evictOldest(UnixMillis now);

    Duration m_memory;
    VersionHistory m_history;
    std::unordered_map<StreamKey, Record> m_records;
    /** Keys of m_records with beganAt, in the order of put(). */
    std::deque<std::pair<UnixMillis, StreamKey>> m_order;
    /** Complete streams with the time at which they were sent whole. */
    std::deque<std::pair<UnixMillis, StreamKey>> m_complete;
    /** The processes of the listed upstreams. */
    std::map<UpstreamId, Process> m_processes;
    /** VersionJournal::completeUntil of the other nodes. */
    std::map<std::string, UnixMillis> m_completeUntil;
    std::optional<Gap> m_gap;
    /** Unfinished streams of this node that began after its last journal. */
    std::unordered_set<StreamKey> m_unwritten;
};

} // namespace hawthornslip
