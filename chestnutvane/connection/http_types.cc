#include "chestnutvane/connection/http_types.h"

#include "chestnutvane/connection/address_text.h"

namespace chestnutvane {

std::optional<Tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto parts = splitAddress(text);
    if (!parts)
        return std::nullopt;
    boost::system::error_code badHost;
    const auto ip = net::ip::make_address(parts->host, badHost);
    if (badHost)
        return std::nullopt;
    return Tcp::endpoint(ip, parts->port);
}

} // namespace chestnutvane
