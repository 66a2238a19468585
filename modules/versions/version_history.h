#pragma once

#include "core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

/** A software version that upstreams of a service had, and when one of them was last listed. */
struct SeenVersion
{
    std::string service;
    /** Empty if the upstreams name none. */
    std::string version;
    UnixMillis seenAt = 0;

    bool operator==(const SeenVersion &) const = default;
};

/**
 * The software versions that the upstreams of each service had within a time.
 *
 * A service that had one version only since a stream began proves the version of that stream.
 */
class VersionHistory
{
public:
    /** @param memory how long a version is remembered; longer than any stream lasts. */
    explicit VersionHistory(Duration memory);

    void setMemory(Duration memory) { m_memory = memory; }

    /** Records that an upstream was listed. @return true if the version was not remembered. */
    bool record(const SeenVersion &seen);

    /** @return the version of all upstreams of @p service since @p since, if it is one. */
    std::optional<std::string> onlyVersion(const std::string &service, UnixMillis since) const;

    /** @return true if some service had several versions since @p since. */
    bool hasSeveral(UnixMillis since) const;

    /** @return all remembered versions. */
    std::vector<SeenVersion> all() const;

    /** Forgets what is older than the remembered time. */
    void expire(UnixMillis now);

private:
    Duration m_memory;
    /** When each version was last listed, by service and version. */
    std::map<std::string, std::map<std::string, UnixMillis>> m_seenAt;
};

} // namespace hawthornslip
