#pragma once

#include "tests/matrix/config_scenario.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip::matrix {

/** The state of one cell of the table. */
enum class CellState { Passed, Failed, Struck };

/** One cell: a fault at a stage. */
struct Cell
{
    std::string fault;
    std::string stage;
    CellState state = CellState::Passed;
    /** The violation, or why the cell is struck out. */
    std::string text;
};

/** @return why the cell makes no sense, or an empty text. */
std::string_view whyStruckOut(Fault fault, Stage stage);
/** @return why the cell makes no sense, or an empty text. */
std::string_view whyStruckOut(Fault fault, ControlStage stage);

/** Runs one cell: all kinds of requests, with the fault at the node that does the work and at
 * another. */
Cell runCell(Fault fault, Stage stage);
/** Runs one cell of control work. */
Cell runCell(Fault fault, ControlStage stage);

/**
 * Runs one random scenario: a pair of faults at random steps, or the same fault twice.
 *
 * @param description is set to what was run.
 */
ScenarioResult runRandom(std::uint64_t seed, std::string &description);

} // namespace hawthornslip::matrix
