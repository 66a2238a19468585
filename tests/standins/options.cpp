#include "tests/standins/options.h"

#include <CLI/CLI.hpp>

namespace hawthornslip::standin {

int runFromCommandLine(int argc, char **argv)
{
    CLI::App app{"Stand-ins for the platform, engines and applications, for tests only."};
    CLI11_PARSE(app, argc, argv);
    return 0;
}

} // namespace hawthornslip::standin
