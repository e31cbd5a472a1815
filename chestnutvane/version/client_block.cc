#include "chestnutvane/version/client_block.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace chestnutvane {

namespace {

std::uint64_t readBigEndian(const unsigned char *bytes, int count)
{
    std::uint64_t number = 0;
    for (int i = 0; i < count; ++i)
        number = number << 8 | bytes[i];
    return number;
}

void writeBigEndian(std::uint64_t number, unsigned char *bytes, int count)
{
    for (int i = count - 1; i >= 0; --i, number >>= 8)
        bytes[i] = static_cast<unsigned char>(number & 0xff);
}

} // namespace

std::optional<IpAddress> parseIpAddress(std::string_view text)
{
    const std::string terminated(text);
    // inet_pton stops at a NUL byte and would accept what stands before it.
    if (terminated.find('\0') != std::string::npos)
        return std::nullopt;
    std::array<unsigned char, 16> bytes{};
    if (inet_pton(AF_INET, terminated.c_str(), bytes.data()) == 1)
        return IpAddress{readBigEndian(bytes.data(), 4) << 32, 0, IpFamily::V4};
    if (inet_pton(AF_INET6, terminated.c_str(), bytes.data()) == 1) {
        return IpAddress{readBigEndian(bytes.data(), 8), readBigEndian(bytes.data() + 8, 8),
                         IpFamily::V6};
    }
    return std::nullopt;
}

Result<ClientBlock, ClientBlockError> parseClientBlock(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return ClientBlockError::NoLength;
    const auto address = parseIpAddress(text.substr(0, slash));
    if (!address)
        return ClientBlockError::BadAddress;
    const auto digits = text.substr(slash + 1);
    unsigned length = 0;
    const auto [end, status]
            = std::from_chars(digits.data(), digits.data() + digits.size(), length);
    const unsigned longest = address->family == IpFamily::V4 ? 32 : 128;
    if (digits.empty() || status != std::errc() || end != digits.data() + digits.size()
        || length > longest)
        return ClientBlockError::BadLength;
    if (maskAddress(*address, static_cast<int>(length)) != *address)
        return ClientBlockError::HostBitsSet;
    return ClientBlock{*address, static_cast<std::uint8_t>(length)};
}

IpAddress maskAddress(const IpAddress &address, int length)
{
    const auto mask = [](int bits) {
        return bits <= 0 ? 0 : bits >= 64 ? ~std::uint64_t{0} : ~std::uint64_t{0} << (64 - bits);
    };
    return {address.high & mask(length), address.low & mask(length - 64), address.family};
}

std::string addressText(const IpAddress &address)
{
    std::array<unsigned char, 16> bytes{};
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.family == IpFamily::V4) {
        writeBigEndian(address.high >> 32, bytes.data(), 4);
        inet_ntop(AF_INET, bytes.data(), text.data(), text.size());
    } else {
        writeBigEndian(address.high, bytes.data(), 8);
        writeBigEndian(address.low, bytes.data() + 8, 8);
        inet_ntop(AF_INET6, bytes.data(), text.data(), text.size());
    }
    return text.data();
}

std::string blockText(const ClientBlock &block)
{
    return addressText(block.start) + "/" + std::to_string(block.length);
}

} // namespace chestnutvane
