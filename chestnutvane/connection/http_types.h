// The HTTP/1.1 message types and endpoints of the gateway's connections (Boost.Beast).
#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace chestnutvane {

namespace net = boost::asio;
namespace http = boost::beast::http;
using Tcp = net::ip::tcp;
using HttpRequestMessage = http::request<http::string_body>;
using HttpResponseMessage = http::response<http::string_body>;

// Reads "IP:port" like parseSocketAddress(), for Boost.Asio.
std::optional<Tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace chestnutvane
