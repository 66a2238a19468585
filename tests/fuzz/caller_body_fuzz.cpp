#include "servers/request_path/body_scanner.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

/** Scans arbitrary bytes as a caller's body; what is accepted must be a JSON object. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view body(reinterpret_cast<const char *>(data), size);
    std::string error;
    const auto fields = hawthornslip::scanBody(body, error);
    if (fields && !nlohmann::json::parse(body, nullptr, false).is_object())
        std::abort();
    if (!fields && error.empty())
        std::abort();
    return 0;
}
