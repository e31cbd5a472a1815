#include "chestnutvane/base/json_nesting.h"

namespace chestnutvane {

bool isNestedDeeperThan(std::string_view text, int limit)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        switch (text[i]) {
        case '"':
            inString = !inString;
            break;
        case '\\':
            i += inString ? 1 : 0; // skips the escaped character
            break;
        case '[':
        case '{':
            if (!inString && ++depth > limit)
                return true;
            break;
        case ']':
        case '}':
            if (!inString && depth > 0)
                --depth;
            break;
        default:
            break;
        }
    }
    return false;
}

} // namespace chestnutvane
