#include "modules/claims/claim_index.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

void ClaimIndex::load(ClaimShardData data, std::uint64_t version)
{
    m_data = std::move(data);
    m_version = version;
    m_openBytes = 0;
    m_openByKey.clear();
    for (std::size_t i = 0; i < m_data.open.size(); ++i) {
        m_openByKey[m_data.open[i].keyHash] = i;
        m_openBytes += m_data.open[i].encodedBytes();
    }
    std::erase_if(m_segments, [&](const auto &it) {
        return std::none_of(m_data.segments.begin(), m_data.segments.end(),
                            [&](const ClaimSegmentRef &ref) { return ref.name == it.first; });
    });
}

void ClaimIndex::addSegment(const std::string &name, const std::vector<ClaimRecord> &records)
{
    auto &known = m_segments[name];
    for (const auto &it : records)
        known[it.keyHash] = it;
}

std::vector<std::string> ClaimIndex::missingSegments() const
{
    std::vector<std::string> missing;
    for (const auto &it : m_data.segments) {
        if (!m_segments.contains(it.name))
            missing.push_back(it.name);
    }
    return missing;
}

const ClaimRecord *ClaimIndex::find(const std::string &keyHash) const
{
    if (const auto it = m_openByKey.find(keyHash); it != m_openByKey.end())
        return &m_data.open[it->second];
    for (auto ref = m_data.segments.rbegin(); ref != m_data.segments.rend(); ++ref) {
        const auto segment = m_segments.find(ref->name);
        if (segment == m_segments.end())
            continue;
        if (const auto it = segment->second.find(keyHash); it != segment->second.end())
            return &it->second;
    }
    return nullptr;
}

std::size_t ClaimIndex::recordCount() const
{
    std::size_t n = m_data.open.size();
    for (const auto &it : m_data.segments)
        n += it.records;
    return n;
}

} // namespace hawthornslip
