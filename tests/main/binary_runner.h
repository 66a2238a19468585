#pragma once

#include <string>

namespace hawthornslip::test {

/** What a run of the built binary left behind. */
struct BinaryResult
{
    int exitCode = -1;
    std::string output;
    std::string errors;
};

/** Runs `hawthornslip` with @p arguments, as a shell splits them, and waits for its end. */
BinaryResult runBinary(const std::string &arguments);

/** @return the path of a new file with @p text; its name ends with @p suffix. */
std::string writeFile(const std::string &suffix, const std::string &text);

} // namespace hawthornslip::test
