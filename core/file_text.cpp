#include "core/file_text.h"

#include <fstream>
#include <iterator>

namespace hawthornslip {

std::optional<std::string> readFileText(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

} // namespace hawthornslip
