#include "main/version.h"

#include <CLI/CLI.hpp>

/** Entry point of the `hawthornslip` binary. */
int main(int argc, char **argv)
{
    CLI::App app{"Router for language-model traffic with service levels and priorities."};
    app.set_version_flag("--version", std::string(hawthornslip::versionText()));
    CLI11_PARSE(app, argc, argv);
    return 0;
}
