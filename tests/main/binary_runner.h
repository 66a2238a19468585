#pragma once

#include <string>

namespace hawthornslip::test {

/** Result of one run of the built binary. */
struct BinaryResult
{
    int exitCode = -1;
    std::string output;
    std::string errors;
};

/** Runs `hawthornslip` with @p arguments through the shell and waits until it exits. */
BinaryResult runBinary(const std::string &arguments);

/** Writes @p text to a new temporary file. @return its path, which ends with @p suffix. */
std::string writeFile(const std::string &suffix, const std::string &text);

} // namespace hawthornslip::test
