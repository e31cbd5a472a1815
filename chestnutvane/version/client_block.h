// Client addresses and CIDR blocks of clients, IPv4 and IPv6.
//
// Example:
//
//   auto block = parseClientBlock("10.1.0.0/16");
//   auto address = parseIpAddress("2001:db8::1");
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"

namespace chestnutvane {

enum class IpFamily : std::uint8_t {
    V4,
    V6,
};

// An address as 128 bits in host order. An IPv4 address fills the upper 32 bits of "high".
struct IpAddress
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    IpFamily family = IpFamily::V4;

    friend bool operator==(const IpAddress &, const IpAddress &) = default;

    // Orders IPv4 before IPv6, then by number.
    friend bool operator<(const IpAddress &a, const IpAddress &b)
    {
        return std::tie(a.family, a.high, a.low) < std::tie(b.family, b.high, b.low);
    }
};

// All addresses of a family whose first "length" bits equal those of "start". The other bits of
// "start" are zero.
struct ClientBlock
{
    IpAddress start;
    std::uint8_t length = 0; // bits, 0 to 32 for IPv4 and 0 to 128 for IPv6

    friend bool operator==(const ClientBlock &, const ClientBlock &) = default;

    friend bool operator<(const ClientBlock &a, const ClientBlock &b)
    {
        return std::tie(a.start, a.length) < std::tie(b.start, b.length);
    }
};

// Why a text is not a block.
enum class ClientBlockError {
    NoLength, // no "/" with a number of bits
    BadAddress,
    BadLength, // not a number, or more bits than the family has
    HostBitsSet, // bits after the first "length" ones are set
};

inline constexpr EnumName<ClientBlockError> clientBlockErrorNames[] = {
        {ClientBlockError::NoLength, "no-length"},
        {ClientBlockError::BadAddress, "bad-address"},
        {ClientBlockError::BadLength, "bad-length"},
        {ClientBlockError::HostBitsSet, "host-bits-set"},
};

// Reads an IPv4 address in dotted form or an IPv6 address. Returns nothing for any other text.
std::optional<IpAddress> parseIpAddress(std::string_view text);

// Reads a block in CIDR form.
Result<ClientBlock, ClientBlockError> parseClientBlock(std::string_view text);

// Clears the bits of an address after the first "length" ones.
IpAddress maskAddress(const IpAddress &address, int length);

// Writes an address in its usual form.
std::string addressText(const IpAddress &address);

// Writes a block in CIDR form.
std::string blockText(const ClientBlock &block);

} // namespace chestnutvane
