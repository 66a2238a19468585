#include "main/version.h"

#include <CLI/CLI.hpp>

/** Entry point of the runner of load scenarios. */
int main(int argc, char **argv)
{
    CLI::App app{"Runs one load scenario against nodes and stand-ins on this machine."};
    app.set_version_flag("--version", std::string(hawthornslip::versionText()));
    CLI11_PARSE(app, argc, argv);
    return 0;
}
