#include "tests/main/binary_runner.h"

#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <vector>

namespace hawthornslip::test {

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace

std::string writeFile(const std::string &suffix, const std::string &text)
{
    std::string path = "/tmp/hawthornslip-test-XXXXXX" + suffix;
    const int fd = mkstemps(path.data(), static_cast<int>(suffix.size()));
    if (fd < 0)
        throw std::runtime_error("temporary file could not be created");
    close(fd);
    std::ofstream(path, std::ios::binary) << text;
    return path;
}

BinaryResult runBinary(const std::string &arguments)
{
    const std::string output = writeFile(".out", "");
    const std::string errors = writeFile(".err", "");
    const std::string command =
            std::string(HAWTHORNSLIP_BINARY) + " " + arguments + " >" + output + " 2>" + errors;
    const int status = std::system(command.c_str());
    BinaryResult result;
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    result.output = readFile(output);
    result.errors = readFile(errors);
    std::remove(output.c_str());
    std::remove(errors.c_str());
    return result;
}

} // namespace hawthornslip::test
