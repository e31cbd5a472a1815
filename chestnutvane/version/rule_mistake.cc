#include "chestnutvane/version/rule_mistake.h"

namespace chestnutvane {

std::string mistakeText(const RuleMistake &mistake)
{
    return std::to_string(mistake.line) + ":" + std::to_string(mistake.column) + ": "
            + std::string(enumName(ruleMistakeKindNames, mistake.kind)) + ": " + mistake.message
            + "; " + mistake.remedy;
}

} // namespace chestnutvane
