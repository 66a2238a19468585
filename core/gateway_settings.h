#pragma once

#include "core/settings.h"
#include "core/time.h"

#include <cstdint>
#include <string>

/** The settings of a gateway process, read from its TOML file. */
namespace hawthornslip {

/** All settings of a `gateway` process. */
struct GatewaySettings
{
    std::string nodeName = "node";
    FailureDomain domain;
    ListenAddress callers;
    ListenAddress readiness;
    ListenAddress metrics;
    /** Where messages of other nodes are received, as datagrams. */
    ListenAddress peers;
    /** Address `ip:port` of the platform's object store. */
    std::string storeAddress;
    std::uint32_t maxDescriptors = 1024;
    /** Refuse keys that may have been revoked; false trusts the last known keys for ever. */
    bool failClosed = false;
    /** Time after which a revoked key must not be served. */
    Duration revokeWithin = seconds(5);
    /** An upstream that is leaving must get nothing new after this. */
    Duration drainWithin = seconds(2);
    /** Repeats allowed for each request of a service, and the window in which that holds. */
    double retryRatio = 0.1;
    Duration retryWindow = seconds(10);
    /** Time from SIGTERM until the process is killed. */
    Duration stopGrace = seconds(8);
    std::string logLevel = "info";
};

} // namespace hawthornslip
