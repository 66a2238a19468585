#include "modules/upstreams/upstream_directory.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>
#include <set>

namespace hawthornslip {

namespace {

// Reserves part of drainWithin for requests that are already on their way to the upstream.
constexpr Duration kDrainMargin = milliseconds(700);
// The platform drops the entry of an upstream after this many intervals without a heartbeat.
constexpr int kMissedHeartbeats = 3;
// Until the list without that entry has reached the nodes.
constexpr Duration kListDelay = milliseconds(400);
// Upstreams that have left and are remembered.
constexpr std::size_t kMaxLeft = 1024;

} // namespace

UpstreamDirectory::UpstreamDirectory(DirectoryTimes times)
    : m_times(times)
{}

void UpstreamDirectory::replaceAll(const std::vector<UpstreamEntry> &entries, TimePoint now)
{
    for (const auto &it : entries) {
        const auto known = m_entries.find(it.id);
        const bool isFromCopy =
                known != m_entries.end() && known->second.leftUntil && known->second.entry == it;
        if (!isFromCopy)
            put(it, now);
    }
    removeMissing(entries, now);
}

void UpstreamDirectory::replaceAllRestored(const std::vector<UpstreamEntry> &entries, TimePoint now)
{
    m_storeRecoveredAt = now;
    for (const auto &it : entries) {
        if (!hasLeft(it)) {
            put(it, now);
            continue;
        }
        const auto known = m_entries.find(it.id);
        const bool isPresent = known != m_entries.end() && !known->second.removed;
        if (isPresent && !known->second.leftUntil)
            continue;
        Record record;
        record.entry = it;
        record.leavesAt = leavesAt(it);
        record.leftUntil = now + kMissedHeartbeats * m_times.heartbeat + kListDelay;
        m_entries[it.id] = std::move(record);
        ++m_revision;
    }
    removeMissing(entries, now);
}

bool UpstreamDirectory::hasLeft(const UpstreamEntry &entry) const
{
    return !entry.draining && std::ranges::find(m_left, processOf(entry)) != m_left.end();
}

ProcessListing UpstreamDirectory::listing(const UpstreamEntry &entry) const
{
    const bool isReplaced = std::ranges::any_of(m_entries, [&entry](const auto &it) {
        const UpstreamEntry &other = it.second.entry;
        return (other.id == entry.id || other.address == entry.address) && entry.bornMs != 0 &&
               other.bornMs > entry.bornMs;
    });
    if (isReplaced)
        return ProcessListing::Replaced;
    const auto it = m_entries.find(entry.id);
    const bool isPresent = it != m_entries.end() && !it->second.removed &&
                           processOf(it->second.entry) == processOf(entry);
    return !isPresent && hasLeft(entry) ? ProcessListing::Gone : ProcessListing::Listed;
}

UpstreamDirectory::Process UpstreamDirectory::processOf(const UpstreamEntry &entry)
{
    return {entry.id, entry.address, entry.bornMs};
}

void UpstreamDirectory::removeMissing(const std::vector<UpstreamEntry> &entries, TimePoint now)
{
    std::set<UpstreamId> listed;
    for (const auto &it : entries)
        listed.insert(it.id);
    for (auto &[id, record] : m_entries) {
        if (!listed.contains(id))
            markRemoved(record, now);
    }
}

void UpstreamDirectory::recordLeft(const UpstreamEntry &entry)
{
    const auto process = processOf(entry);
    std::erase(m_left, process);
    m_left.push_back(process);
    if (m_left.size() > kMaxLeft)
        m_left.pop_front();
}

void UpstreamDirectory::put(const UpstreamEntry &entry, TimePoint now)
{
    if (entry.draining)
        recordLeft(entry);
    else
        std::erase(m_left, processOf(entry));
    auto &record = m_entries[entry.id];
    if (!record.entry.address.empty() && processOf(record.entry) != processOf(entry))
        recordLeft(record.entry);
    // An upstream that restarted with the same ID has a new address or was removed in between.
    const bool restarted = record.removed || processOf(record.entry) != processOf(entry);
    if (record.entry == entry && !restarted && !record.leftUntil)
        return;
    // Without a time of start, a process that registers again cannot be told from its successor.
    if (restarted && entry.bornMs == 0)
        std::erase_if(m_leavers, [&](const auto &it) { return it.process == processOf(entry); });
    Record updated;
    updated.entry = entry;
    updated.leavesAt = leavesAt(entry);
    if (!restarted) {
        updated.unusable = record.unusable;
        updated.endedUntil = record.endedUntil;
        updated.restartedAt = record.restartedAt;
    } else if (!record.entry.address.empty()) {
        updated.restartedAt = now;
    }
    record = std::move(updated);
    ++m_revision;
}

bool UpstreamDirectory::remove(const UpstreamId &id, TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return false;
    markRemoved(it->second, now);
    return it->second.mayReregister;
}

void UpstreamDirectory::onStoreRecovered(TimePoint now, Duration away)
{
    // The last heartbeat before the outage may have been almost one interval ago.
    if (away >= (kMissedHeartbeats - 1) * m_times.heartbeat)
        m_storeRecoveredAt = now;
}

void UpstreamDirectory::markRemoved(Record &record, TimePoint now)
{
    if (record.removed)
        return;
    ++m_revision;
    record.removed = true;
    const TimePoint reregisterBy = m_storeRecoveredAt + m_times.reregisterWithin;
    record.mayReregister = !record.entry.draining && now < reregisterBy;
    if (!record.mayReregister)
        recordLeft(record.entry);
    record.expiresAt =
            record.mayReregister ? reregisterBy : now + m_times.drainWithin - kDrainMargin;
}

void UpstreamDirectory::markMisdirected(const UpstreamId &id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.unusable)
        return;
    it->second.unusable = true;
    ++m_revision;
}

bool UpstreamDirectory::markLeaving(const UpstreamId &id, TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.leavesAt)
        return false;
    const TimePoint leavesAt = now + m_times.drainWithin - kDrainMargin;
    it->second.leavesAt = leavesAt;
    m_leavers.push_back({processOf(it->second.entry), leavesAt});
    if (m_leavers.size() > kMaxLeft)
        m_leavers.pop_front();
    ++m_revision;
    return true;
}

std::optional<TimePoint> UpstreamDirectory::leavesAt(const UpstreamEntry &entry) const
{
    const auto it = std::ranges::find(m_leavers, processOf(entry), &Leaver::process);
    return it == m_leavers.end() ? std::nullopt : std::optional(it->leavesAt);
}

void UpstreamDirectory::markEnded(std::uint64_t idHash, TimePoint endedAt, TimePoint now)
{
    // An upstream that is still listed by then has restarted.
    const TimePoint until = endedAt + kMissedHeartbeats * m_times.heartbeat + kListDelay;
    if (until <= now)
        return;
    for (auto &[id, record] : m_entries) {
        const bool isSuccessor = record.restartedAt && endedAt <= *record.restartedAt;
        if (isSuccessor || rendezvousMemberHash(id.value) != idHash)
            continue;
        m_revision += record.endedUntil ? 0 : 1;
        record.endedUntil = std::max(until, record.endedUntil.value_or(until));
    }
}

void UpstreamDirectory::expire(TimePoint now)
{
    for (auto &[id, record] : m_entries) {
        if (record.endedUntil && now >= *record.endedUntil) {
            record.endedUntil.reset();
            ++m_revision;
        }
        if (record.leftUntil && now >= *record.leftUntil) {
            record.leftUntil.reset();
            ++m_revision;
        }
        if (record.leavesAt && now >= *record.leavesAt && !record.unusable) {
            record.unusable = true;
            ++m_revision;
        }
    }
    const auto expired = std::erase_if(m_entries, [this, now](const auto &it) {
        if (!it.second.removed || now < it.second.expiresAt)
            return false;
        recordLeft(it.second.entry);
        return true;
    });
    m_revision += expired > 0 ? 1 : 0;
}

std::vector<UpstreamEntry> UpstreamDirectory::usable(std::string_view service, TimePoint now) const
{
    std::vector<UpstreamEntry> present;
    std::vector<UpstreamEntry> fallback;
    for (const auto &[id, record] : m_entries) {
        const auto &entry = record.entry;
        if (entry.service != service || entry.draining || record.unusable || record.leftUntil)
            continue;
        const bool isPresent = !record.removed || (record.mayReregister && now < record.expiresAt);
        if (isPresent && !record.endedUntil && !record.leavesAt)
            present.push_back(entry);
        else if (now < std::min(record.expiresAt, record.leavesAt.value_or(TimePoint::max())))
            fallback.push_back(entry);
    }
    return present.empty() ? fallback : present;
}

std::vector<UpstreamEntry> UpstreamDirectory::entries() const
{
    std::vector<UpstreamEntry> entries;
    for (const auto &[id, record] : m_entries)
        entries.push_back(record.entry);
    return entries;
}

std::vector<UpstreamEntry> UpstreamDirectory::listed(std::string_view service) const
{
    std::vector<UpstreamEntry> entries;
    for (const auto &[id, record] : m_entries) {
        if (record.entry.service != service || record.leftUntil ||
            (record.removed && !record.mayReregister))
            continue;
        entries.push_back(record.entry);
        entries.back().draining = record.entry.draining || record.leavesAt.has_value();
    }
    return entries;
}

} // namespace hawthornslip
