#include "tests/standins/options.h"

/** Entry point of the test-only program with the stand-ins for outside systems. */
int main(int argc, char **argv)
{
    return hawthornslip::standin::runFromCommandLine(argc, argv);
}
