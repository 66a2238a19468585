#include "modules/config/config_document.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

/** Reads arbitrary bytes as a shared configuration; what is accepted must survive a round trip. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using hawthornslip::ConfigDocument;
    const auto parsed =
            ConfigDocument::parse(std::string_view(reinterpret_cast<const char *>(data), size));
    if (!parsed.ok())
        return 0;
    const auto again = ConfigDocument::parse(ConfigDocument::toText(parsed.config));
    if (!again.ok() || again.config != parsed.config)
        std::abort();
    return 0;
}
