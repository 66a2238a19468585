#pragma once

#include "core/ids.h"
#include "core/scheduling_policy.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

/** The settings of one process, read from its TOML file at start and never changed. */
namespace hawthornslip {

/** An address to listen on: an IP number and a port. */
struct ListenAddress
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;

    bool operator==(const ListenAddress &) const = default;
};

/** Certificate and key files of a TLS listener; TLS is off when both are empty. */
struct TlsFiles
{
    std::string certificate;
    std::string key;
};

/** The listener towards callers and its bounds. */
struct CallerSettings
{
    ListenAddress listen;
    TlsFiles tls;
    std::uint32_t maxConnections = 1000;
    std::uint32_t maxBodyBytes = 1 << 20;
    std::uint32_t maxHeaderBytes = 16 << 10;
    /** Bytes buffered for one slow caller before the upstream stream is paused. */
    std::uint32_t relayBufferBytes = 64 << 10;
};

/** The listener towards operators. */
struct OperatorSettings
{
    ListenAddress listen;
    TlsFiles tls;
    /** BLAKE2b hashes of valid operator keys in hexadecimal. */
    std::vector<std::string> keyHashes;
};

/** The listener towards other nodes. */
struct PeerSettings
{
    ListenAddress listen;
    /** CURVE keys in Z85; all nodes of a deployment share the public key list. */
    std::string curvePublicKey;
    std::string curveSecretKey;
    /** Public keys of the peers that may connect. */
    std::vector<std::string> allowedKeys;
    /** Addresses asked first, besides those on the VM list. */
    std::vector<NodeId> seeds;
};

/** Where the platform's services are. */
struct PlatformSettings
{
    /** Base address of the object store; empty uses an embedded store in memory. */
    std::string objectStoreUrl;
    /** Base address of the VM list; empty uses the seeds. */
    std::string vmListUrl;
    Duration storeTimeout = seconds(2);
    /** Certificates to trust for `https://` towards platform and upstreams; empty: the system's. */
    std::string caFile;
};

/** Times of a planned stop. */
struct StopSettings
{
    /** How long new work is accepted after the node turned unready. */
    Duration balancerNotice = seconds(5);
};

/** All settings of a `serve` process. */
struct Settings
{
    FailureDomain domain;
    std::string region = "default";
    CallerSettings caller;
    OperatorSettings operators;
    PeerSettings peer;
    PlatformSettings platform;
    StopSettings stop;
    /** A shared configuration file that is applied when the store holds none. */
    std::string initialConfigFile;
    std::string logLevel = "info";
    /** How groups that this node owns are scheduled; the baselines are for comparison only. */
    SchedulingPolicy schedulingPolicy = SchedulingPolicy::Hawthornslip;
};

} // namespace hawthornslip
