#pragma once

#include "modules/claims/claim_types.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/**
 * Index by key over one stored version of a shard and its segments. Segments are immutable, so
 * those already read are kept when a newer version is loaded.
 */
class ClaimIndex
{
public:
    /** Loads @p data as version @p version and drops segments that it does not list. */
    void load(ClaimShardData data, std::uint64_t version);

    /** Adds the records of the segment @p name. */
    void addSegment(const std::string &name, const std::vector<ClaimRecord> &records);

    /** @return names of the listed segments whose records are not loaded yet. */
    std::vector<std::string> missingSegments() const;

    /** @return the newest record of @p keyHash, or nullptr when there is none. */
    const ClaimRecord *find(const std::string &keyHash) const;

    /** @return the number of open records and of records in the listed segments. */
    std::size_t recordCount() const;

    /** @return an upper bound estimate of the encoded size of the open records in bytes. */
    std::size_t openBytes() const { return m_openBytes; }

    const ClaimShardData &data() const { return m_data; }
    std::uint64_t version() const { return m_version; }

private:
    using Records = std::unordered_map<std::string, ClaimRecord>;

    ClaimShardData m_data;
    std::uint64_t m_version = 0;
    std::size_t m_openBytes = 0;
    std::unordered_map<std::string, std::size_t> m_openByKey;
    std::map<std::string, Records> m_segments;
};

} // namespace hawthornslip
