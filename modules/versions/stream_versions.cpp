#include "modules/versions/stream_versions.h"

#include "modules/versions/version_rule.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace hawthornslip {

namespace {

// Streams that are remembered; a node has some hundred at a time, and reads those of all nodes.
constexpr std::size_t kMaxStreams = 65'536;
// Wall clocks of nodes and upstreams differ by less.
constexpr Duration kClockSlack = seconds(3);
// In this time a caller notices that the end of its stream got lost, and takes it up.
constexpr Duration kCompleteMemory = seconds(20);
// For a write that is repeated.
constexpr Duration kLateJournal = seconds(10);

} // namespace

StreamKey streamKey(const StreamIdentity &identity)
{
    std::string text;
    for (const auto it : std::array{identity.requestId, identity.workspace, identity.host,
                                    identity.path, identity.prompt}) {
        text += it;
        text += '\0';
    }
    return XXH3_64bits(text.data(), text.size());
}

StreamVersions::StreamVersions(Duration memory)
    : m_memory(memory)
    , m_history(memory)
{}

void StreamVersions::setMemory(Duration memory)
{
    m_memory = memory;
    m_history.setMemory(memory);
}

bool StreamVersions::onUpstreams(const std::vector<UpstreamEntry> &entries, UnixMillis now)
{
    bool isNew = false;
    for (const auto &it : entries) {
        isNew = m_history.record({it.service, it.softwareVersion, now}) || isNew;
        const Process process{it.bornMs, it.service, it.softwareVersion};
        const auto [known, isAdded] = m_processes.emplace(it.id, process);
        if (isAdded)
            continue;
        const Process before = std::exchange(known->second, process);
        if (before.version == process.version)
            continue;
        // Without a time of start, any stream may have begun at the later process.
        const auto slack = static_cast<std::uint64_t>(toMillis(kClockSlack));
        forgetVersions(it.id, process.bornMs > slack
                                      ? static_cast<UnixMillis>(process.bornMs - slack)
                                      : UnixMillis(0));
    }
    std::erase_if(m_processes, [&entries](const auto &it) {
        return std::ranges::find(entries, it.first, &UpstreamEntry::id) == entries.end();
    });
    return isNew;
}

void StreamVersions::forgetVersions(const UpstreamId &upstream, UnixMillis since)
{
    // The records stay: without one, a stream would count as younger than the journals.
    for (auto &[stream, record] : m_records) {
        if (record.upstream == upstream && record.beganAt >= since)
            record.origin.version.clear();
    }
}

void StreamVersions::onFirstEvent(StreamKey stream, const UpstreamEntry &upstream, UnixMillis now)
{
    put(stream, {{upstream.service, upstream.softwareVersion}, upstream.id, now, true}, now);
    m_unwritten.insert(stream);
}

void StreamVersions::put(StreamKey stream, Record record, UnixMillis now)
{
    m_order.emplace_back(record.beganAt, stream);
    m_records[stream] = std::move(record);
    while (m_records.size() > kMaxStreams)
        evictOldest(now);
}

void StreamVersions::evictOldest(UnixMillis now)
{
    const auto [beganAt, stream] = m_order.front();
    m_order.pop_front();
    const auto it = m_records.find(stream);
    if (it == m_records.end())
        return;
    if (it->second.isOwn)
        m_gap = Gap{m_gap ? std::min(m_gap->from, beganAt) : beganAt, now};
    m_records.erase(it);
    m_unwritten.erase(stream);
}

void StreamVersions::onComplete(StreamKey stream, UnixMillis now)
{
    m_unwritten.erase(stream);
    const auto it = m_records.find(stream);
    if (it == m_records.end())
        return;
    it->second.isComplete = true;
    m_complete.emplace_back(now, stream);
}

std::optional<StreamOrigin> StreamVersions::recordOf(StreamKey stream) const
{
    const auto it = m_records.find(stream);
    return it == m_records.end() ? std::nullopt : std::optional(it->second.origin);
}

std::optional<StreamOrigin> StreamVersions::unrecordedOrigin(const std::string &service,
                                                             UnixMillis now) const
{
    UnixMillis since = m_gap ? std::min(now, m_gap->from) : now;
    for (const auto &[node, completeUntil] : m_completeUntil)
        since = std::min(since, completeUntil);
    const auto version = m_history.onlyVersion(service, since - toMillis(kClockSlack));
    return version ? std::optional(StreamOrigin{service, *version}) : std::nullopt;
}

bool StreamVersions::isSameVersion(const StreamOrigin &origin, UnixMillis now) const
{
    const UnixMillis since = now - toMillis(m_memory);
    const bool isUnnamed = m_history.onlyVersion(origin.service, since) == "";
    return mayContinue(origin.version, origin.version, isUnnamed);
}

VersionJournal StreamVersions::journal(UnixMillis now) const
{
    VersionJournal journal{now, m_gap ? m_gap->from : now, m_history.all(), {}};
    std::map<std::pair<std::string, std::string>, std::vector<StreamKey>> groups;
    for (const auto &[stream, record] : m_records) {
        if (record.isOwn)
            groups[{record.origin.service, record.origin.version}].push_back(stream);
    }
    for (auto &[origin, streams] : groups)
        journal.streams.push_back({origin.first, origin.second, std::move(streams)});
    return journal;
}

bool StreamVersions::needsJournal(UnixMillis writtenAt) const
{
    return !m_unwritten.empty() && m_history.hasSeveral(writtenAt - toMillis(kClockSlack));
}

void StreamVersions::learn(const std::string &node, const VersionJournal &journal, UnixMillis now)
{
    m_completeUntil[node] = journal.completeUntil;
    learnVersions(journal, now);
    learnStreams(journal, false, now);
}

void StreamVersions::learnOwn(const VersionJournal &journal, UnixMillis now)
{
    m_gap = Gap{journal.completeUntil, now};
    learnVersions(journal, now);
    learnStreams(journal, true, now);
}

void StreamVersions::learnVersions(const VersionJournal &journal, UnixMillis now)
{
    const UnixMillis listedUntil =
            std::min(now, journal.writtenAt + toMillis(kJournalInterval + kLateJournal));
    for (auto it : journal.versions) {
        if (it.seenAt >= journal.writtenAt)
            it.seenAt = std::max(it.seenAt, listedUntil);
        m_history.record(it);
    }
}

void StreamVersions::learnStreams(const VersionJournal &journal, bool isOwn, UnixMillis now)
{
    for (const auto &group : journal.streams) {
        for (const auto stream : group.streams) {
            if (!m_records.contains(stream))
                put(stream,
                    {{group.service, group.version}, std::nullopt, journal.writtenAt, isOwn}, now);
        }
    }
}

void StreamVersions::expire(UnixMillis now)
{
    for (const auto &[id, process] : m_processes)
        m_history.record({process.service, process.version, now});
    m_history.expire(now);
    const UnixMillis oldest = now - toMillis(m_memory);
    // A node whose journal is older has ended, and no stream of it lasts any more.
    std::erase_if(m_completeUntil, [oldest](const auto &it) { return it.second < oldest; });
    if (m_gap && m_gap->until < oldest)
        m_gap.reset();
    while (!m_complete.empty() && m_complete.front().first + toMillis(kCompleteMemory) < now) {
        const auto it = m_records.find(m_complete.front().second);
        // It may have been taken up again since.
        if (it != m_records.end() && it->second.isComplete)
            m_records.erase(it);
        m_complete.pop_front();
    }
    while (!m_order.empty() && m_order.front().first < oldest) {
        const auto it = m_records.find(m_order.front().second);
        // A stream that was recorded again has a later place in the order too.
        if (it != m_records.end() && it->second.beganAt < oldest)
            m_records.erase(it);
        m_order.pop_front();
    }
}

} // namespace hawthornslip
