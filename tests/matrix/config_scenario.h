#pragma once

#include "tests/matrix/control_scenario.h"

namespace hawthornslip::matrix {

/**
 * Changes the configuration under load while the strikes happen, repeats a change that was not
 * accepted as an operator does, and checks that the accepted one is in force on all nodes.
 */
ScenarioResult runConfigScenario(std::uint64_t seed, const std::vector<ControlStrike> &strikes);

} // namespace hawthornslip::matrix
