#include "modules/versions/version_history.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

VersionHistory::VersionHistory(Duration memory)
    : m_memory(memory)
{}

bool VersionHistory::record(const SeenVersion &seen)
{
    const auto [it, isNew] = m_seenAt[seen.service].emplace(seen.version, seen.seenAt);
    it->second = std::max(it->second, seen.seenAt);
    return isNew;
}

std::optional<std::string> VersionHistory::onlyVersion(const std::string &service,
                                                       UnixMillis since) const
{
    const auto versions = m_seenAt.find(service);
    if (versions == m_seenAt.end())
        return std::nullopt;
    std::optional<std::string> only;
    for (const auto &[version, seenAt] : versions->second) {
        if (seenAt < since)
            continue;
        if (only)
            return std::nullopt;
        only = version;
    }
    return only;
}

bool VersionHistory::hasSeveral(UnixMillis since) const
{
    return std::ranges::any_of(m_seenAt, [since](const auto &service) {
        return std::ranges::count_if(service.second,
                                     [since](const auto &it) { return it.second >= since; }) > 1;
    });
}

std::vector<SeenVersion> VersionHistory::all() const
{
    std::vector<SeenVersion> all;
    for (const auto &[service, versions] : m_seenAt) {
        for (const auto &[version, seenAt] : versions)
            all.push_back({service, version, seenAt});
    }
    return all;
}

void VersionHistory::expire(UnixMillis now)
{
    const UnixMillis oldest = now - toMillis(m_memory);
    for (auto &[service, versions] : m_seenAt)
        std::erase_if(versions, [oldest](const auto &it) { return it.second < oldest; });
    std::erase_if(m_seenAt, [](const auto &it) { return it.second.empty(); });
}

} // namespace hawthornslip
