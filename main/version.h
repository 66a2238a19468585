#pragma once

#include <string_view>

namespace hawthornslip {

/** @return the version of the program. */
std::string_view versionText();

} // namespace hawthornslip
