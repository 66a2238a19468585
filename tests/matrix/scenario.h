#pragma once

#include "tests/matrix/faults.h"
#include "tests/matrix/stages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornslip::matrix {

/** The node that a fault strikes. */
enum class Where {
    /** The one that has the request or does the work. */
    Own,
    /** The next one. */
    Other,
    /** The owner of the claim shard of the target's key. */
    ClaimOwner
};

inline constexpr EnumNames<Where, 3> kWhereNames = {{
        {Where::Own, "own node"},
        {Where::Other, "other node"},
        {Where::ClaimOwner, "claim owner"},
}};

/** A fault that strikes when the target request reaches a stage. */
struct Strike
{
    Fault fault = Fault::NodeCrash;
    Stage stage = Stage::Accept;
    Where where = Where::Own;
};

/** The kind of the request that a scenario watches. */
enum class TargetKind {
    /** A keyed order to the application service. */
    Order,
    /** A keyed order that an engine answers as a stream. */
    OrderStream,
    /** A stream of the order tier that may be repeated. */
    Pickup,
    /** A stream of the lowest tier that may be resumed. */
    Batch
};

inline constexpr EnumNames<TargetKind, 4> kTargetNames = {{
        {TargetKind::Order, "order"},
        {TargetKind::OrderStream, "order stream"},
        {TargetKind::Pickup, "pickup"},
        {TargetKind::Batch, "batch"},
}};

/** @return whether requests of @p kind reach @p stage. */
bool reaches(TargetKind kind, Stage stage);

/** The result of one scenario. */
struct ScenarioResult
{
    /** The first violation, or an empty text. */
    std::string violation;
    /** How many of the strikes happened. */
    std::size_t struck = 0;
};

/**
 * Runs load on three nodes, lets the strikes happen to the target request, repeats keyed requests
 * as callers do, heals, and checks that all classes are served again.
 */
ScenarioResult runScenario(std::uint64_t seed, TargetKind target,
                           const std::vector<Strike> &strikes);

} // namespace hawthornslip::matrix
