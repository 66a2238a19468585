#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip {

/** Hashes bearer keys with BLAKE2b and compares hashes in constant time. */
class KeyHasher
{
public:
    /** @return the 256-bit BLAKE2b hash of @p key as 64 hexadecimal digits. */
    static std::string hash(std::string_view key);

    /** @return whether two hashes are equal; the time taken depends only on their lengths. */
    static bool equal(std::string_view left, std::string_view right);

    /** @return whether @p hash is one of @p valid; compares with each of them in constant time. */
    static bool matchesAny(std::string_view hash, const std::vector<std::string> &valid);

    /** @return a new random 256-bit key as 64 hexadecimal digits. */
    static std::string newKey();

    /** @return a random 128-bit request id as 32 hexadecimal digits. */
    static std::string newRequestId();

    /** @return the key of an `Authorization: Bearer` header value, or an empty view. */
    static std::string_view bearerKey(std::string_view headerValue);
};

} // namespace hawthornslip
