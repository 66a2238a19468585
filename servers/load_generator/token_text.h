#pragma once

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

/** The answer text of the stand-in engines, which the load generator can check token by token. */
namespace hawthornslip {

/** Bytes of each token's text, so that a text can be split without marks. */
inline constexpr std::size_t kTokenTextBytes = 9;

/**
 * @return the text of token @p index in the answer to @p requestId: a function of both, so that a
 *         missing, repeated or crossed token shows.
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
