#pragma once

#include "core/enum_names.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/** What upstreams shall serve, as plain types. */
namespace hawthornslip {

/** How one model shall be served by an upstream. */
struct ModelTarget
{
    /** Empty leaves the version to the upstream. */
    std::string version;
    std::set<std::string> adapters;

    bool operator==(const ModelTarget &) const = default;
};

/** What one upstream shall serve, or serves. */
struct UpstreamTarget
{
    std::map<ModelName, ModelTarget> models;
    /** Empty leaves the role to the upstream. */
    std::string role;

    bool operator==(const UpstreamTarget &) const = default;
};

/** The placement of one failure domain, as kept in the object `placement/<domain>`. */
struct PlacementState
{
    /** Rises with each change. */
    std::uint64_t generation = 0;
    /** Fencing number of the lease under which it was written. */
    std::uint64_t fencing = 0;
    std::map<UpstreamId, UpstreamTarget> desired;
    /** What the upstreams confirmed. */
    std::map<UpstreamId, UpstreamTarget> applied;

    bool operator==(const PlacementState &) const = default;
};

/** The kind of an order to an upstream; the names are those of docs/protocols.md. */
enum class OrderKind { LoadModel, UnloadModel, LoadAdapter, SetVersion, SetRole };

inline constexpr EnumNames<OrderKind, 5> kOrderKindNames = {{
        {OrderKind::LoadModel, "load_model"},
        {OrderKind::UnloadModel, "unload_model"},
        {OrderKind::LoadAdapter, "load_adapter"},
        {OrderKind::SetVersion, "set_version"},
        {OrderKind::SetRole, "set_role"},
}};

/** One order to one upstream. */
struct UpstreamOrder
{
    /** Local number, to match the result. */
    std::uint64_t id = 0;
    UpstreamId upstream;
    OrderKind kind = OrderKind::LoadModel;
    ModelName model;
    std::string value;
    std::uint64_t generation = 0;
    std::uint64_t fencing = 0;
};

/** How an order ended. */
enum class OrderResult {
    /** The upstream carried it out. */
    Done,
    /** The upstream has seen a higher fencing number. */
    StaleFencing,
    /** Refused, or no answer came. */
    Failed
};

inline constexpr EnumNames<OrderResult, 3> kOrderResultNames = {{
        {OrderResult::Done, "done"},
        {OrderResult::StaleFencing, "stale_fencing"},
        {OrderResult::Failed, "failed"},
}};

} // namespace hawthornslip
