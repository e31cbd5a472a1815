// Tables of names for enumerations.
//
// Example:
//
//   inline constexpr EnumName<Colour> colourNames[] = {{Colour::Red, "red"}};
//   std::string_view text = enumName(colourNames, Colour::Red);
//   std::optional<Colour> colour = enumFromName(colourNames, "red");
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutvane {

// One row of a name table.
template <class E>
struct EnumName
{
    E value;
    std::string_view name;
};

// Returns the name of an enumerator, or "?" if the table has no row for it.
template <class E, std::size_t N>
constexpr std::string_view enumName(const EnumName<E> (&table)[N], E value)
{
    for (const auto &row : table) {
        if (row.value == value)
            return row.name;
    }
    return "?";
}

// Returns the enumerator with the given name, or nothing if no row has it.
template <class E, std::size_t N>
constexpr std::optional<E> enumFromName(const EnumName<E> (&table)[N], std::string_view name)
{
    for (const auto &row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

// Lists all names of a table, separated by ", ", for error messages.
template <class E, std::size_t N>
std::string allEnumNames(const EnumName<E> (&table)[N])
{
    std::string text;
    for (const auto &row : table) {
        if (!text.empty())
            text += ", ";
        text += row.name;
    }
    return text;
}

} // namespace chestnutvane
