// The class of a request: the class of its service with the longest matching path prefix.
//
// Example:
//
//   const ClassMatch match(rules.classes);
//   const RequestClass *found = match.find("box-office", "/checkout/42?lot=7");
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/request/request_class.h"

namespace chestnutvane {

// Tells whether a path lies under a prefix. A prefix ends at a segment boundary: "/check" matches
// "/check" and "/check/1" but not "/checkout". The prefix "/" matches every path.
bool matchesPathPrefix(std::string_view path, std::string_view prefix);

// Immutable; "find" may be called from any number of threads.
class ClassMatch
{
public:
    explicit ClassMatch(const std::vector<RequestClass> &classes);

    // Returns the class of a request, or null if no class of the service matches. A query after "?"
    // is ignored. The result lives as long as this object.
    const RequestClass *find(std::string_view service, std::string_view path) const;

private:
    using ByPrefix = std::map<std::string, RequestClass, std::less<>>;

    std::map<std::string, ByPrefix, std::less<>> services_;
};

} // namespace chestnutvane
