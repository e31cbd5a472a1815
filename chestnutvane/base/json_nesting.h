// Bounds the nesting of JSON text before it is parsed.
//
// Parsers that build a tree may accept any depth, but copying, comparing and printing the tree
// recurse once for each level, so that a deep value of a few hundred kilobytes exhausts the stack.
//
// Example:
//
//   if (!isNestedDeeperThan(text, 32))
//       json = Json::parse(text);
//
// Pure functions without state; thread-safe.
#pragma once

#include <string_view>

namespace chestnutvane {

// Whether arrays and objects are nested more than `limit` levels deep anywhere in the text.
// Brackets in strings do not count. The text need not be valid JSON.
bool isNestedDeeperThan(std::string_view text, int limit);

} // namespace chestnutvane
