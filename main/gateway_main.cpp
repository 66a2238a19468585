#include "main/commands/command.h"

#include <array>

/** Entry point of the binary for the platform, which contains only the gateway command. */
int main(int argc, char **argv)
{
    static constexpr std::array<hawthornslip::AddCommand, 1> kCommands = {
            hawthornslip::addGatewayCommand};
    return hawthornslip::runCommandLine(argc, argv, kCommands);
}
