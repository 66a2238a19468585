#pragma once

namespace hawthornslip {

/** Exit codes of the command line; documented in docs/cli.md. */
enum class ExitCode {
    Success = 0,
    /** The node refused the operation. */
    Refused = 1,
    /** Invalid arguments or an invalid file. */
    InvalidInput = 2,
    /** No answer from the node. */
    Unreachable = 3,
    /** Another change was accepted first. */
    Conflict = 4,
    /** The change was accepted, but not every live node reported it in time. */
    NotInForce = 5,
};

/** @return the number that the process exits with. */
constexpr int toInt(ExitCode code)
{
    return static_cast<int>(code);
}

} // namespace hawthornslip
