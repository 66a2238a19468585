#include "main/commands/command.h"

/** Entry point of the `hawthornslip` binary. */
int main(int argc, char **argv)
{
    return hawthornslip::runCommandLine(argc, argv);
}
