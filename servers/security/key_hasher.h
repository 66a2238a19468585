#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip {

/** Hashes bearer keys with BLAKE2b and compares hashes in constant time. */
class KeyHasher
{
public:
    /** @return the 256-bit BLAKE2b hash of @p key, 64 hexadecimal digits. */
    static std::string hash(std::string_view key);

    /** @return whether two hashes are equal, in a time that depends on their lengths only. */
    static bool equal(std::string_view left, std::string_view right);

    /** @return whether @p hash is one of @p valid; compares with each of them in constant time. */
    static bool matchesAny(std::string_view hash, const std::vector<std::string> &valid);

    /** @return a new random key of 256 bits, 64 hexadecimal digits. */
    static std::string newKey();

    /** @return 128 random bits, 32 hexadecimal digits. */
    static std::string newRequestId();

    /** @return the key of an `Authorization: Bearer` header value, or an empty view. */
    static std::string_view bearerKey(std::string_view headerValue);
};

} // namespace hawthornslip
