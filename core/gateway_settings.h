#pragma once

#include "core/enum_names.h"
#include "core/settings.h"
#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

/** The settings of a gateway process, read from its TOML file. */
namespace hawthornslip {

/** A task that one node at a time performs for the whole deployment. */
enum class Duty {
    /** Reports to the provider how many requests of each workspace have begun to run. */
    Usage,
    /** Orders upstreams from the provider. */
    Scaling
};

inline constexpr EnumNames<Duty, 2> kDutyNames = {{
        {Duty::Usage, "usage"},
        {Duty::Scaling, "scale"},
}};

/** Settings of the duties; without a provider and a duty nothing of them runs. */
struct DutySettings
{
    /** `ip:port` of the provider's API; empty without one. */
    std::string provider;
    /** The duties that the deployment asks for. */
    std::vector<Duty> duties;
    /** Calls that the provider accepts per second from all nodes together. */
    double callsPerSecond = 10;
    /** Time in which the provider expects no change of holder back and forth. */
    Duration lease = seconds(3);
    /** Length of the windows of wall-clock time that usage is reported for. */
    Duration reportWindow = seconds(5);
    /** Time after the end of a window until its report is due. */
    Duration reportDue = seconds(10);

    /** @return true when this deployment performs @p duty. */
    bool performs(Duty duty) const
    {
        return !provider.empty() && std::find(duties.begin(), duties.end(), duty) != duties.end();
    }

    bool operator==(const DutySettings &) const = default;
};

/** All settings of a `gateway` process. */
struct GatewaySettings
{
    std::string nodeName = "node";
    FailureDomain domain;
    ListenAddress callers;
    ListenAddress readiness;
    ListenAddress metrics;
    /** Address for other nodes: datagrams over UDP, calls for shared state over TCP. */
    ListenAddress peers;
    /** `ip:port` of the platform's object store. */
    std::string storeAddress;
    std::uint32_t maxDescriptors = 1024;
    /** Memory that the process may use, in MiB; 0 when the settings do not say. */
    std::uint32_t memoryMb = 0;
    /** Rejects API keys that may have been revoked; false accepts the last known keys forever. */
    bool failClosed = false;
    /** Longest time that a revoked key may still be accepted. */
    Duration revokeWithin = seconds(5);
    /** Time after which a draining or removed upstream must not get new requests. */
    Duration drainWithin = seconds(2);
    /** Interval in which upstreams renew their registration. */
    Duration upstreamHeartbeat = milliseconds(1200);
    /** Retry budget of each service: retries per request within any window of this length. */
    double retryRatio = 0.1;
    Duration retryWindow = seconds(10);
    /** Time from SIGTERM until the platform kills the process. */
    Duration stopGrace = seconds(8);
    DutySettings duties;
    std::string logLevel = "info";
};

} // namespace hawthornslip
