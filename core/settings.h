#pragma once

#include "core/ids.h"
#include "core/scheduling_policy.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

/** The settings of one process, read from its TOML file at startup and then immutable. */
namespace hawthornslip {

/** A listen address. */
struct ListenAddress
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;

    bool operator==(const ListenAddress &) const = default;
};

/** Certificate and key files of a TLS listener; TLS is disabled when both are empty. */
struct TlsFiles
{
    std::string certificate;
    std::string key;
};

/** Settings of the listener for callers. */
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

/** Settings of the listener for operators. */
struct OperatorSettings
{
    ListenAddress listen;
    TlsFiles tls;
    /** BLAKE2b hashes of valid operator keys in hexadecimal. */
    std::vector<std::string> keyHashes;
};

/** Settings of the listener for other nodes. */
struct PeerSettings
{
    ListenAddress listen;
    /** CURVE keys in Z85; all nodes of a deployment share the public key list. */
    std::string curvePublicKey;
    std::string curveSecretKey;
    /** Public keys of the peers that may connect. */
    std::vector<std::string> allowedKeys;
    /** Addresses contacted at startup, in addition to those on the VM list. */
    std::vector<NodeId> seeds;
};

/** Addresses of the platform's services. */
struct PlatformSettings
{
    /** Base URL of the object store; empty uses an embedded in-memory store. */
    std::string objectStoreUrl;
    /** Base URL of the VM list; empty uses only the seeds. */
    std::string vmListUrl;
    Duration storeTimeout = seconds(2);
    /** CA certificates for `https://` calls to platform and upstreams; empty uses the system's. */
    std::string caFile;
};

/** Timing of a graceful shutdown. */
struct StopSettings
{
    /** How long new requests are still accepted after the node reports itself unready. */
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
    /** A shared configuration file that is applied when the store has none. */
    std::string initialConfigFile;
    std::string logLevel = "info";
    /** Scheduling of the groups that this node owns; the baselines are for benchmarks only. */
    SchedulingPolicy schedulingPolicy = SchedulingPolicy::Hawthornslip;
};

} // namespace hawthornslip
