#pragma once

#include "main/exit_codes.h"

#include <string>

namespace hawthornslip {

/**
 * Validates a settings file (`.toml`), a shared configuration document or a routing configuration
 * of the users' platform, and prints all faults.
 *
 * @param against a routing configuration that @p path is compared with; empty for none.
 * @param json prints the result as JSON.
 * @return Success, or InvalidInput when there is a fault; warnings and differences are none.
 */
ExitCode checkFile(const std::string &path, const std::string &against, bool json);

} // namespace hawthornslip
