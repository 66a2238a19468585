#pragma once

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

/** The answer text of the simulated engines, which the load generator can check token by token. */
namespace hawthornslip {

/** Fixed length of a token's text in bytes, so that a text can be split without delimiters. */
inline constexpr std::size_t kTokenTextBytes = 9;

/**
 * @return the text of token @p index in the answer to @p requestId: derived from a hash of both, so
 *         that a missing or repeated token or one of another answer is detected.
 */
inline std::string tokenText(std::string_view requestId, std::uint32_t index)
{
    constexpr std::array<char, 17> kDigits = {"0123456789abcdef"};
    constexpr unsigned kNibbleBits = 4;
    constexpr unsigned kNibbleMask = 15;
    std::uint64_t hash = XXH64(requestId.data(), requestId.size(), index);
    std::string text(kTokenTextBytes, ' ');
    for (std::size_t i = 0; i + 1 < kTokenTextBytes; ++i, hash >>= kNibbleBits)
        text[i] = kDigits[hash & kNibbleMask];
    return text;
}

} // namespace hawthornslip
