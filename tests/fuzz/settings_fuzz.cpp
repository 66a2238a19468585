#include "drivers/toml/settings_reader.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

/** Reads arbitrary bytes as a settings file; a fault of the input must be reported, not crash. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto result = hawthornslip::parseSettings(
            std::string_view(reinterpret_cast<const char *>(data), size));
    for (const auto &it : result.faults)
        hawthornslip::formatFault("settings.toml", it);
    return 0;
}
