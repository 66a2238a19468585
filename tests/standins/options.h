#pragma once

namespace hawthornslip::standin {

/** Runs the stand-in that the command line names. @return the exit code. */
int runFromCommandLine(int argc, char **argv);

} // namespace hawthornslip::standin
