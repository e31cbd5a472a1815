#include "chestnutvane/version/rule_values.h"

#include <charconv>
#include <cmath>
#include <cstdint>

namespace chestnutvane::internal {

namespace {

using Kind = RuleMistakeKind;

// Reads a whole text as a number. Returns nothing for any other text.
std::optional<int> wholeNumber(std::string_view text)
{
    int number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, number);
    if (status != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

std::string decimalText(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

// Says what is wrong with a path; empty if nothing is.
std::string pathFault(const Word &path)
{
    if (path.text.find('?') != std::string_view::npos)
        return "has a query";
    if (path.text.empty() || path.text.front() != '/')
        return "does not start with \"/\"";
    if (path.text.size() == 1)
        return {};
    std::string fault;
    for (const auto &segment : split(path.part(1), '/')) {
        if (segment.text.empty())
            fault = "has an empty segment";
        else if (segment.text == "." || segment.text == "..")
            fault = "has a segment " + quoted(segment.text);
    }
    return fault;
}

bool isAddressWithPort(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    const auto address = parseIpAddress(host);
    if (!address || bracketed != (address->family == IpFamily::V6))
        return false;
    const auto port = wholeNumber(text.substr(colon + 1));
    return port && *port >= 1 && *port <= 65535;
}

// Says how to mend a block. For one with host bits set, this is the block that contains it.
std::string blockRemedy(std::string_view text, ClientBlockError fault)
{
    if (fault == ClientBlockError::HostBitsSet) {
        const auto slash = text.find('/');
        const auto length = wholeNumber(text.substr(slash + 1));
        const auto address = parseIpAddress(text.substr(0, slash));
        if (address && length)
            return "write "
                    + blockText(
                            {maskAddress(*address, *length), static_cast<std::uint8_t>(*length)});
    }
    return "write an address, \"/\" and the number of its fixed bits, such as 10.1.0.0/16 or "
           "2001:db8::/32";
}

} // namespace

std::string readName(RuleMistakes &mistakes, const Word &word)
{
    constexpr std::string_view allowed =
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    if (word.text.empty() || word.text.size() > 64
        || word.text.find_first_not_of(allowed) != std::string_view::npos)
        addMistake(mistakes, Kind::BadName, word, quoted(word.text) + " is not a name",
                   "use 1 to 64 letters, digits, \"-\", \"_\" or \".\"");
    return std::string(word.text);
}

double readNumber(RuleMistakes &mistakes, const Word &word, std::string_view key,
                  const NumberRange &range)
{
    double number = 0;
    const char *end = word.text.data() + word.text.size();
    const auto [stop, status] =
            std::from_chars(word.text.data(), end, number, std::chars_format::fixed);
    if (status == std::errc() && stop == end && number >= range.least && number <= range.most
        && (!range.whole || number == std::floor(number)))
        return number;
    addMistake(mistakes, Kind::BadNumber, word,
               std::string(key) + " cannot be " + quoted(word.text),
               std::string("use a ") + (range.whole ? "whole " : "") + "number from "
                       + decimalText(range.least) + " to " + decimalText(range.most));
    return range.least;
}

double readNumber(RuleMistakes &mistakes, const RuleLine &line, std::string_view key,
                  const NumberRange &range, double absent)
{
    const Word *word = findValue(line, key);
    return word ? readNumber(mistakes, *word, key, range) : absent;
}

void checkPath(RuleMistakes &mistakes, const Word &path)
{
    if (const auto fault = pathFault(path); !fault.empty())
        addMistake(mistakes, Kind::BadPath, path, "the path " + quoted(path.text) + " " + fault,
                   "write \"/\" or segments such as /checkout or /wax-lots/reserve");
}

void checkAddress(RuleMistakes &mistakes, const Word &word)
{
    if (!isAddressWithPort(word.text))
        addMistake(mistakes, Kind::BadAddress, word,
                   quoted(word.text) + " is not an address with a port",
                   "write IP:PORT, or [IP]:PORT for IPv6, with a port from 1 to 65535");
}

std::optional<ClientBlock> readBlock(RuleMistakes &mistakes, const Word &word)
{
    const auto block = parseClientBlock(word.text);
    if (isOk(block))
        return value(block);
    addMistake(mistakes, Kind::BadBlock, word,
               quoted(word.text) + " is not a block of addresses ("
                       + std::string(enumName(clientBlockErrorNames, error(block))) + ")",
               blockRemedy(word.text, error(block)));
    return std::nullopt;
}

} // namespace chestnutvane::internal
