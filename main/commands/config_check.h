#pragma once

#include "main/exit_codes.h"

#include <string>

namespace hawthornslip {

/**
 * Validates a settings file (`.toml`) or a shared configuration document and prints all faults.
 *
 * @param json prints the result as JSON.
 * @return Success, or InvalidInput when there is a fault.
 */
ExitCode checkFile(const std::string &path, bool json);

} // namespace hawthornslip
