#pragma once

#include <optional>
#include <string>

namespace hawthornslip {

/** @return the whole content of the file @p path, or nothing when it cannot be read. */
std::optional<std::string> readFileText(const std::string &path);

} // namespace hawthornslip
