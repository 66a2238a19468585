#include "main/commands/command.h"

#include <array>

/** Entry point of the binary that is built for the platform, with the gateway alone. */
int main(int argc, char **argv)
{
    static constexpr std::array<hawthornslip::AddCommand, 1> kCommands = {
            hawthornslip::addGatewayCommand};
    return hawthornslip::runCommandLine(argc, argv, kCommands);
}
