// Splits "IP:port" texts, without a dependency on a network library.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutvane {

struct AddressText
{
    std::string host; // without brackets; not checked
    std::uint16_t port = 0; // above 0
};

// Splits "HOST:port", or "[HOST]:port" for IPv6. Returns nothing without a valid port.
std::optional<AddressText> splitAddress(std::string_view text);

} // namespace chestnutvane
