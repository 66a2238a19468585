#include "main/commands/command.h"

#include <array>

/** Entry point of the `hawthornslip` binary. */
int main(int argc, char **argv)
{
    static constexpr std::array<hawthornslip::AddCommand, 9> kCommands = {
            hawthornslip::addServeCommand,    hawthornslip::addGatewayCommand,
            hawthornslip::addConfigCommand,   hawthornslip::addProfileCommand,
            hawthornslip::addUpstreamCommand, hawthornslip::addStatusCommand,
            hawthornslip::addOutcomeCommand,  hawthornslip::addKeysCommand,
            hawthornslip::addLoadCommand};
    return hawthornslip::runCommandLine(argc, argv, kCommands);
}
