// Result types for functions that can fail.
//
// Example:
//
//   Result<int, ParseError> parsePort(std::string_view text);
//
//   if (auto port = parsePort(text); isOk(port))
//       listen(value(port));
//   else
//       report(error(port));
#pragma once

#include <utility>
#include <variant>

namespace chestnutvane {

// Either a value of type T or an error of type E. T and E must be different types.
template <class T, class E>
using Result = std::variant<T, E>;

// The value of a Result whose success carries no data.
struct Done
{
    friend bool operator==(const Done &, const Done &) = default;
};

// Tells whether the result holds a value.
template <class T, class E>
[[nodiscard]] bool isOk(const Result<T, E> &result)
{
    return result.index() == 0;
}

// Returns the value. Throws std::bad_variant_access if the result holds an error.
template <class T, class E>
[[nodiscard]] T &value(Result<T, E> &result)
{
    return std::get<0>(result);
}

// Returns the value of a constant result. Throws std::bad_variant_access if it holds an error.
template <class T, class E>
[[nodiscard]] const T &value(const Result<T, E> &result)
{
    return std::get<0>(result);
}

// Moves the value out of a temporary result. Throws std::bad_variant_access if it holds an error.
template <class T, class E>
[[nodiscard]] T value(Result<T, E> &&result)
{
    return std::get<0>(std::move(result));
}

// Returns the error. Throws std::bad_variant_access if the result holds a value.
template <class T, class E>
[[nodiscard]] const E &error(const Result<T, E> &result)
{
    return std::get<1>(result);
}

} // namespace chestnutvane
