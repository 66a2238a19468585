#pragma once

#include "core/enum_names.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/** Data types for the placement of models on upstreams. */
namespace hawthornslip {

/** Desired or applied state of one model on an upstream. */
struct ModelTarget
{
    /** Empty lets the upstream choose the version. */
    std::string version;
    std::set<std::string> adapters;

    bool operator==(const ModelTarget &) const = default;
};

/** Desired or applied state of one upstream. */
struct UpstreamTarget
{
    std::map<ModelName, ModelTarget> models;
    /** Empty lets the upstream choose its role. */
    std::string role;

    bool operator==(const UpstreamTarget &) const = default;
};

/** The placement of one failure domain, as kept in the object `placement/<domain>`. */
struct PlacementState
{
    /** Incremented with each change. */
    std::uint64_t generation = 0;
    /** Fencing token of the lease under which this state was written. */
    std::uint64_t fencing = 0;
    std::map<UpstreamId, UpstreamTarget> desired;
    /** State that the upstreams confirmed. */
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

/** An order to one upstream, with the fencing token that it is sent under. */
struct UpstreamOrder
{
    /** Local to the dispatcher; matches the result to the order. */
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
    /** The upstream has seen a higher fencing token. */
    StaleFencing,
    /** The upstream refused the order or did not answer. */
    Failed
};

inline constexpr EnumNames<OrderResult, 3> kOrderResultNames = {{
        {OrderResult::Done, "done"},
        {OrderResult::StaleFencing, "stale_fencing"},
        {OrderResult::Failed, "failed"},
}};

} // namespace hawthornslip
