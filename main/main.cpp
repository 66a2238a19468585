#include "main/commands/command.h"

#include <array>

/** Entry point of the `hawthornslip` binary. */
int main(int argc, char **argv)
{
    using namespace hawthornslip;
    static constexpr std::array<AddCommand, 9> kCommands = {
            addServeCommand,   addGatewayCommand,  addConfigCommand,
            addProfileCommand, addUpstreamCommand, addStatusCommand,
            addOutcomeCommand, addKeysCommand,     addLoadCommand};
    return runCommandLine(argc, argv, kCommands);
}
