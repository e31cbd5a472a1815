#include "chestnutvane/connection/http_message.h"

#include <strings.h>

namespace chestnutvane {

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string *findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (equalsIgnoreCase(header.name, name))
            return &header.value;
    }
    return nullptr;
}

} // namespace chestnutvane
