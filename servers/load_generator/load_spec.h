#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornslip {

/** A class of requests with the same profile, arrival rate and latency targets. */
struct LoadClass
{
    /** Profile that the requests name; also the name of the class in reports. */
    std::string profile;
    int tier = 0;
    /** Model of a language request; empty for an application call. */
    std::string model;
    /** Route of an application call; empty for a language request. */
    std::string route;
    double requestsPerSecond = 1;
    /** Mean and spread (sigma of the logarithm) of the answer length in tokens. */
    double meanTokens = 40;
    double sigmaTokens = 0.5;
    std::uint32_t maxTokens = 1024;
    std::uint32_t promptTokens = 100;
    /** Processing time of an application call. */
    Duration work = milliseconds(20);
    bool streamed = true;
    /** Sends an idempotency key with each request. */
    bool keyed = false;
    Duration firstTokenTarget = seconds(1);
    Duration tokenTarget = milliseconds(42);
    /** Total timeout of the profile; the caller waits slightly longer. */
    Duration timeout = seconds(60);

    bool application() const { return model.empty(); }
};

/** A workspace that sends requests. */
struct LoadWorkspace
{
    std::string id;
    std::string key;
    /** Relative weight of its share of the requests. */
    double share = 1;
};

/** A period, from start to end since the start of the load, with a changed request rate. */
struct LoadPeriod
{
    Duration from{0};
    Duration to{0};
    /** Multiplies the request rate. */
    double factor = 1;
    /** Profile that it applies to; empty means all. */
    std::string profile;
};

/** A load: the nodes, the classes of requests, the workspaces that send them and the duration. */
struct LoadSpec
{
    /** Base addresses of the nodes' caller listeners. */
    std::vector<std::string> nodes;
    std::vector<LoadClass> classes;
    std::vector<LoadWorkspace> workspaces;
    std::vector<LoadPeriod> periods;
    Duration duration = seconds(10);
    std::uint64_t seed = 1;
};

/**
 * Reads a load file.
 *
 * @param json `nodes`, `classes`, `workspaces`, `periods`, `duration_ms` and `seed`; the fields of
 *             the members have the names above in snake_case, times with `_ms`.
 * @throws std::invalid_argument with a description of the error.
 */
LoadSpec readLoadSpec(const std::string &json);

} // namespace hawthornslip
