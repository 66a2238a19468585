#pragma once

#include "tests/matrix/scenario.h"

namespace hawthornslip::matrix {

/** A fault that strikes when control work reaches a stage. */
struct ControlStrike
{
    Fault fault = Fault::NodeCrash;
    ControlStage stage = ControlStage::Acquire;
    Where where = Where::Own;
};

/**
 * Runs placement under load while the strikes happen, heals, and checks that the models asked for
 * are loaded, that all nodes agree on them and that requests are served.
 */
ScenarioResult runControlScenario(std::uint64_t seed, const std::vector<ControlStrike> &strikes);

} // namespace hawthornslip::matrix
