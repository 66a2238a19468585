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

/** A class of requests, which operators name and services pick. */
struct Profile
{
    ProfileName name;
    /** 0 is the order tier, kTierCount - 1 the lowest. */
    int tier = kTierCount - 1;
    bool idempotent = true;
    /** Latency target to the first token, or to the answer of an application call. */
    Duration firstTokenTarget = seconds(1);
    /** Latency target from one token to the next. */
    Duration tokenTarget = milliseconds(42);
    /** Longest time from acceptance to the end of the answer. */
    Duration totalTimeout = seconds(120);
    /** Allows a stream to be cancelled and resumed at another time or upstream. */
    bool resumable = true;
    /** Retries and hedges allowed as a fraction of successes. */
    double retryRatio = 0.1;
    /** Upper bound on generated tokens when the caller names none. */
    std::uint32_t maxTokens = 1024;
    /** Prior for the answer length in tokens before any was observed. */
    std::uint32_t expectedTokens = 200;

    bool operator==(const Profile &) const = default;
};

/** A customer of the router and what it may use. */
struct Workspace
{
    WorkspaceId id;
    /** BLAKE2b hashes of the valid keys in hexadecimal; two during a rotation. */
    std::vector<std::string> keyHashes;
    /** Profiles that the workspace may pick; empty means all. */
    std::vector<ProfileName> profiles;
    double requestsPerSecond = 50;
    std::uint32_t burstRequests = 100;
    /** Share of a tier relative to other workspaces. */
    double weight = 1;

    bool operator==(const Workspace &) const = default;
};

/** The kind of a back end. */
enum class UpstreamKind { Language, Application };

/** Whether a back end gets new work. */
enum class UpstreamState { Active, Draining };

/** A back end as configured. */
struct Upstream
{
    UpstreamId id;
    UpstreamKind kind = UpstreamKind::Language;
    /** Base address, `http://ip:port`. */
    std::string url;
    FailureDomain domain;
    /** Models that it serves; `app:<route>` for an application. */
    std::vector<ModelName> models;
    UpstreamState state = UpstreamState::Active;
    /** Whether it refuses an order with an old fencing number. */
    bool checksFencing = false;
    /** Upper bound on requests in flight; the limit in use is found by observation. */
    std::uint32_t maxConcurrency = 64;

    bool operator==(const Upstream &) const = default;
};

/** One accepted version of the shared configuration; immutable once built. */
struct SharedConfig
{
    /** Rises by one with each accepted change; 0 means that none was adopted. */
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
