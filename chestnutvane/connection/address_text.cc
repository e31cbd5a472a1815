#include "chestnutvane/connection/address_text.h"

#include <charconv>

namespace chestnutvane {

std::optional<AddressText> splitAddress(std::string_view text)
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
    if (failure != std::errc() || end != portText.data() + portText.size() || port == 0)
        return std::nullopt;
    return AddressText{std::string(host), port};
}

} // namespace chestnutvane
