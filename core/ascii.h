#pragma once

#include <string>
#include <string_view>

namespace hawthornslip {

/** @return @p it in lower case; characters outside ASCII stay. */
constexpr char toLowerAscii(char it)
{
    constexpr char kToLower = 'a' - 'A';
    return it >= 'A' && it <= 'Z' ? static_cast<char>(it + kToLower) : it;
}

/** @return @p text in lower case; characters outside ASCII stay. */
inline std::string toLowerAscii(std::string_view text)
{
    std::string lower(text);
    for (char &it : lower)
        it = toLowerAscii(it);
    return lower;
}

} // namespace hawthornslip
