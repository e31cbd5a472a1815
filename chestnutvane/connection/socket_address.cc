#include "chestnutvane/connection/socket_address.h"

#include <charconv>
#include <string>

namespace chestnutvane {

std::optional<asio::ip::tcp::endpoint> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto [end, failure] =
            std::from_chars(portText.data(), portText.data() + portText.size(), port);
    std::error_code badHost;
    const auto ip = asio::ip::make_address(std::string(host), badHost);
    if (badHost || failure != std::errc() || end != portText.data() + portText.size() || port == 0)
        return std::nullopt;
    return asio::ip::tcp::endpoint(ip, port);
}

} // namespace chestnutvane
