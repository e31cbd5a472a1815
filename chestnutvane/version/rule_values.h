// Readers of the values of a rule: names, numbers, paths, addresses and blocks. Each reports a
// mistake at the place of the word if the value is bad.
//
// Example:
//
//   const double percent = readNumber(mistakes, line, "percent", {.least = 0, .most = 100}, 100);
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "chestnutvane/version/client_block.h"
#include "chestnutvane/version/rule_line.h"

namespace chestnutvane::internal {

// The numbers that a value may have, both ends included.
struct NumberRange
{
    double least = 0;
    double most = 0;
    bool whole = false;
};

// Returns the text of a word that must be a name, also if it is none.
std::string readName(RuleMistakes &mistakes, const Word &word);

// Reads a decimal number without an exponent. Returns the least one after a mistake.
double readNumber(RuleMistakes &mistakes, const Word &word, std::string_view key,
                  const NumberRange &range);

// Reads the number of a key; returns "absent" if the line has no such key.
double readNumber(RuleMistakes &mistakes, const RuleLine &line, std::string_view key,
                  const NumberRange &range, double absent);

// Checks a path: "/", or segments that each start with "/", without a query.
void checkPath(RuleMistakes &mistakes, const Word &path);

// Checks an address with a port: IP:PORT, or [IP]:PORT for IPv6.
void checkAddress(RuleMistakes &mistakes, const Word &word);

// Reads a block of addresses; returns nothing after a mistake.
std::optional<ClientBlock> readBlock(RuleMistakes &mistakes, const Word &word);

} // namespace chestnutvane::internal
