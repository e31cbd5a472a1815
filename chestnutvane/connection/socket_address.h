// Parses the "IP:port" addresses of settings and messages into Asio endpoints.
#pragma once

#include <optional>
#include <string_view>

#include <asio/ip/tcp.hpp>

namespace chestnutvane {

// Reads "IP:port", or "[IP]:port" for IPv6. Returns nothing for host names, a port of 0 and all
// other text.
std::optional<asio::ip::tcp::endpoint> parseSocketAddress(std::string_view text);

} // namespace chestnutvane
