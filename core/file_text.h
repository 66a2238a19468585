#pragma once

#include <optional>
#include <string>

namespace hawthornslip {

/** @return the contents of the file @p path, or nothing when it cannot be opened. */
std::optional<std::string> readFileText(const std::string &path);

} // namespace hawthornslip
