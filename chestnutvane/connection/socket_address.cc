#include "chestnutvane/connection/socket_address.h"

#include "chestnutvane/connection/address_text.h"

namespace chestnutvane {

std::optional<asio::ip::tcp::endpoint> parseSocketAddress(std::string_view text)
{
    const auto parts = splitAddress(text);
    if (!parts)
        return std::nullopt;
    std::error_code badHost;
    const auto ip = asio::ip::make_address(parts->host, badHost);
    if (badHost)
        return std::nullopt;
    return asio::ip::tcp::endpoint(ip, parts->port);
}

} // namespace chestnutvane
