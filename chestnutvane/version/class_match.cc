#include "chestnutvane/version/class_match.h"

namespace chestnutvane {

bool matchesPathPrefix(std::string_view path, std::string_view prefix)
{
    if (prefix == "/")
        return path.substr(0, 1) == "/";
    return path.substr(0, prefix.size()) == prefix
            && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

ClassMatch::ClassMatch(const std::vector<RequestClass> &classes)
{
    for (const auto &requestClass : classes)
        services_[requestClass.service].emplace(requestClass.pathPrefix, requestClass);
}

const RequestClass *ClassMatch::find(std::string_view service, std::string_view path) const
{
    const auto at = services_.find(service);
    path = path.substr(0, path.find('?'));
    if (at == services_.end() || path.substr(0, 1) != "/")
        return nullptr;
    // Shortens the path by one segment at a time, so that the first match is the longest.
    while (true) {
        if (const auto found = at->second.find(path); found != at->second.end())
            return &found->second;
        if (path == "/")
            return nullptr;
        const auto slash = path.rfind('/');
        path = slash == 0 ? "/" : path.substr(0, slash);
    }
}

} // namespace chestnutvane
