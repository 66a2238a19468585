#include "modules/upstreams/upstream_directory.h"

#include <algorithm>
#include <set>

namespace hawthornslip {

namespace {

// Part of the drain time that is left for a request on its way.
constexpr Duration kDrainMargin = milliseconds(700);

} // namespace

UpstreamDirectory::UpstreamDirectory(DirectoryTimes times)
    : m_times(times)
{}

void UpstreamDirectory::replaceAll(const std::vector<UpstreamEntry> &entries, TimePoint now)
{
    std::set<UpstreamId> listed;
    for (const auto &it : entries) {
        listed.insert(it.id);
        put(it, now);
    }
    for (auto &[id, known] : m_entries) {
        if (!listed.contains(id))
            lapse(known, now);
    }
}

void UpstreamDirectory::put(const UpstreamEntry &entry, TimePoint)
{
    auto &known = m_entries[entry.id];
    // A start under an earlier id has another address, or was gone in between.
    const bool started = known.removed || known.entry.address != entry.address;
    if (known.entry == entry && !started)
        return;
    known = Known{entry, !started && known.leaving, false, false, TimePoint::max()};
    ++m_revision;
}

void UpstreamDirectory::remove(const UpstreamId &id, TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end())
        lapse(it->second, now);
}

void UpstreamDirectory::lapse(Known &known, TimePoint now)
{
    if (known.removed)
        return;
    ++m_revision;
    known.removed = true;
    const TimePoint returnBy = m_returnedAt + m_times.returnWithin;
    known.mayReturn = !known.entry.draining && now < returnBy;
    known.dropAt = known.mayReturn ? returnBy : now + m_times.drainWithin - kDrainMargin;
}

void UpstreamDirectory::markLeaving(const UpstreamId &id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.leaving)
        return;
    it->second.leaving = true;
    ++m_revision;
}

void UpstreamDirectory::expire(TimePoint now)
{
    const auto dropped = std::erase_if(m_entries, [now](const auto &it) {
        return it.second.removed && now >= it.second.dropAt;
    });
    m_revision += dropped > 0 ? 1 : 0;
}

std::vector<UpstreamEntry> UpstreamDirectory::usable(std::string_view service, TimePoint now) const
{
    std::vector<UpstreamEntry> present;
    std::vector<UpstreamEntry> lapsed;
    for (const auto &[id, known] : m_entries) {
        const auto &entry = known.entry;
        if (entry.service != service || entry.draining || known.leaving)
            continue;
        if (!known.removed || (known.mayReturn && now < known.dropAt))
            present.push_back(entry);
        else if (now < known.dropAt)
            lapsed.push_back(entry);
    }
    return present.empty() ? lapsed : present;
}

} // namespace hawthornslip
