#include "servers/security/key_hasher.h"

#include "core/ascii.h"

#include <sodium.h>

#include <array>
#include <cctype>
#include <cstdlib>

namespace hawthornslip {

namespace {

constexpr std::size_t kHashBytes = 32;
constexpr std::size_t kRequestIdBytes = 16;

void initialiseSodium()
{
    // Keys and request ids are not safe without a source of random numbers.
    static const bool kReady = sodium_init() >= 0;
    if (!kReady)
        std::abort();
}

template <std::size_t N>
std::string toHex(const std::array<unsigned char, N> &bytes)
{
    std::string text(N * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

template <std::size_t N>
std::string randomHex()
{
    initialiseSodium();
    std::array<unsigned char, N> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    return toHex(bytes);
}

} // namespace

std::string KeyHasher::hash(std::string_view key)
{
    initialiseSodium();
    std::array<unsigned char, kHashBytes> digest{};
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
    return toHex(digest);
}

bool KeyHasher::equal(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

bool KeyHasher::matchesAny(std::string_view hash, const std::vector<std::string> &valid)
{
    bool found = false;
    for (const auto &it : valid)
        found |= equal(hash, it);
    return found;
}

std::string KeyHasher::newKey()
{
    return randomHex<kHashBytes>();
}

std::string KeyHasher::newRequestId()
{
    return randomHex<kRequestIdBytes>();
}

std::string_view KeyHasher::bearerKey(std::string_view headerValue)
{
    constexpr std::string_view kScheme = "bearer ";
    if (headerValue.size() <= kScheme.size())
        return {};
    for (std::size_t i = 0; i < kScheme.size(); ++i) {
        if (toLowerAscii(headerValue[i]) != kScheme[i])
            return {};
    }
    headerValue.remove_prefix(kScheme.size());
    return headerValue;
}

} // namespace hawthornslip
