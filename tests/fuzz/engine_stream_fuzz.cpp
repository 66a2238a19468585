#include "servers/request_path/stream_reader.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace {

struct Totals
{
    std::string text;
    std::uint32_t tokens = 0;
    bool ended = false;
};

/** Reads @p bytes in pieces of @p piece bytes until the stream is done or broken. */
Totals readStream(std::string_view bytes, std::size_t piece)
{
    hawthornslip::StreamReader reader;
    reader.begin("a", 0);
    Totals totals;
    while (!bytes.empty() && !totals.ended) {
        const auto n = std::min(piece, bytes.size());
        const auto part = reader.read(bytes.substr(0, n), false);
        bytes.remove_prefix(n);
        totals.text += part.text;
        totals.tokens += part.tokens;
        totals.ended = part.done || part.broken;
    }
    return totals;
}

} // namespace

/** Reads arbitrary bytes as an engine's stream; how it is cut into pieces must not matter. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto whole = readStream(bytes, size + 1);
    const auto split = readStream(bytes, 3);
    if (whole.tokens != split.tokens || whole.text != split.text)
        std::abort();
    return 0;
}
