#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

/** Tables that map the values of an enumeration to their published names. */
namespace hawthornslip {

/** A name table of @p N values of the enumeration @p Enum. */
template <typename Enum, std::size_t N>
using EnumNames = std::array<std::pair<Enum, std::string_view>, N>;

/** @return the name of @p value, or "unknown" when the table does not contain it. */
template <typename Enum, std::size_t N>
constexpr std::string_view nameOf(const EnumNames<Enum, N> &table, Enum value)
{
    for (const auto &[it, name] : table) {
        if (it == value)
            return name;
    }
    return "unknown";
}

/** @return the value with the published name @p name, or nothing. */
template <typename Enum, std::size_t N>
constexpr std::optional<Enum> valueOf(const EnumNames<Enum, N> &table, std::string_view name)
{
    for (const auto &[it, text] : table) {
        if (text == name)
            return it;
    }
    return std::nullopt;
}

} // namespace hawthornslip
