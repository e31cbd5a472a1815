// Reads values from the query part of a URL.
//
// Example:
//
//   std::string service = queryValue("service=box-office&client=10.1.2.3", "service");
#pragma once

#include <string>
#include <string_view>

namespace chestnutvane {

// Returns the percent-decoded value of the first pair with the name, or an empty text if there is
// none. A "%" without two hexadecimal digits stays as it is.
std::string queryValue(std::string_view query, std::string_view name);

// Decodes percent-encoded bytes.
std::string decodePercent(std::string_view text);

// Encodes every byte outside the unreserved set of RFC 3986.
std::string encodePercent(std::string_view text);

} // namespace chestnutvane
