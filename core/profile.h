#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

/** The shared configuration as plain types: profiles, workspaces and upstreams. */
namespace hawthornslip {

/** Number of service tiers; tier 0 is the order tier and goes first. */
inline constexpr int kTierCount = 3;
/** The tier whose requests are never shed or preempted for a lower one. */
inline constexpr int kOrderTier = 0;

/** A request class that operators define and callers select by name. */
struct Profile
{
    ProfileName name;
    /** 0 is the order tier, kTierCount - 1 the lowest. */
    int tier = kTierCount - 1;
    bool idempotent = true;
    /** Target time to first token, or to the response of an application call. */
    Duration firstTokenTarget = seconds(1);
    /** Target inter-token latency. */
    Duration tokenTarget = milliseconds(42);
    /** Longest time from acceptance to the end of the response. */
    Duration totalTimeout = seconds(120);
    /** Allows a stream to be cancelled and resumed later or at another upstream. */
    bool resumable = true;
    /** Retry budget: retries and hedges as a fraction of successful requests. */
    double retryRatio = 0.1;
    /** Limit on generated tokens when the caller sets none. */
    std::uint32_t maxTokens = 1024;
    /** Prior for the response length in tokens, used before any was observed. */
    std::uint32_t expectedTokens = 200;

    bool operator==(const Profile &) const = default;
};

/** A tenant of the router and its permissions and limits. */
struct Workspace
{
    WorkspaceId id;
    /** BLAKE2b hashes of the valid keys in hexadecimal; two during a rotation. */
    std::vector<std::string> keyHashes;
    /** Profiles that the workspace may use; empty means all. */
    std::vector<ProfileName> profiles;
    double requestsPerSecond = 50;
    std::uint32_t burstRequests = 100;
    /** Fair-share weight within a tier, relative to other workspaces. */
    double weight = 1;

    bool operator==(const Workspace &) const = default;
};

/** The kind of a back end. */
enum class UpstreamKind { Language, Application };

/** Whether a back end gets new requests. */
enum class UpstreamState { Active, Draining };

/** The configuration of a back end. */
struct Upstream
{
    UpstreamId id;
    UpstreamKind kind = UpstreamKind::Language;
    /** Base address, `http://ip:port`. */
    std::string url;
    FailureDomain domain;
    /** Models that it serves, or `app:<route>` for an application. */
    std::vector<ModelName> models;
    UpstreamState state = UpstreamState::Active;
    /** Whether it rejects orders with a stale fencing token. */
    bool checksFencing = false;
    /** Upper bound of the adaptive limit on requests in flight. */
    std::uint32_t maxConcurrency = 64;
    /** Version of its software; streams go on only at the version that began them. May be empty. */
    std::string softwareVersion{};

    bool operator==(const Upstream &) const = default;
};

/** One accepted version of the shared configuration; immutable once built. */
struct SharedConfig
{
    /** Incremented with each accepted change; 0 means that none was adopted. */
    std::uint64_t generation = 0;
    std::string author;
    std::vector<Profile> profiles;
    std::vector<Workspace> workspaces;
    std::vector<Upstream> upstreams;

    bool operator==(const SharedConfig &) const = default;

    /** @return the profile called @p name, or nullptr. */
    const Profile *findProfile(const ProfileName &name) const;
    /** @return the upstream @p id, or nullptr. */
    const Upstream *findUpstream(const UpstreamId &id) const;
    /** @return the workspace @p id, or nullptr. */
    const Workspace *findWorkspace(const WorkspaceId &id) const;
};

} // namespace hawthornslip
