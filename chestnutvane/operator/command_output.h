// Text that chestnutvanectl prints for an operator. Its --json output is made in commands.cc.
//
// Example:
//
//   std::cout << diffText(before, after, Colour::Off);
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "chestnutvane/operator/apply_change.h"
#include "chestnutvane/version/rule_parser.h"

namespace chestnutvane {

enum class Colour {
    Off,
    On, // the output is a terminal
};

// Lines "-LINE: TEXT" and "+LINE: TEXT"; "no difference" if there is none.
std::string diffText(std::string_view before, std::string_view after, Colour colour);

// One line "FILE:LINE:COLUMN: KIND: MESSAGE; REMEDY" for each mistake.
std::string mistakesText(std::string_view file, const std::vector<RuleMistake> &mistakes,
                         Colour colour);

// The same from the "mistakes" of an instance.
std::string mistakesText(std::string_view file, const nlohmann::json &mistakes, Colour colour);

// What became of a change. "baseRules" is the text of the base revision, or null if it is not
// known; with it a conflict shows what others changed, without it how the change differs from what
// is in force.
std::string changeText(const ChangeReport &report, const Change &change,
                       const std::string *baseRules, Colour colour);

// The answers of GET /v1/status, /v1/change, /v1/explain and /v1/suspects, and of POST
// /v1/suspects/clear.
std::string statusText(const nlohmann::json &status, Colour colour);
std::string changeStateText(const nlohmann::json &answer);
std::string explainText(const nlohmann::json &answer);
std::string suspectsText(const nlohmann::json &answer, Colour colour);
std::string clearedText(const nlohmann::json &answer);

} // namespace chestnutvane
