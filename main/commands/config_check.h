#pragma once

#include "main/exit_codes.h"

#include <string>

namespace hawthornslip {

/**
 * Checks a settings file (`.toml`) or a shared configuration document and prints all its faults.
 *
 * @return Success, or InvalidInput when there is a fault.
 */
ExitCode checkFile(const std::string &path, bool json);

} // namespace hawthornslip
