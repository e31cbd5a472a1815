// A hash that identifies what a request asks for, equal on every instance and in every build.
//
// Example:
//
//   Fingerprint print = fingerprint({"box-office", "POST", "/checkout", "", body});
#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace chestnutvane {

// The hashed parts of a request. Headers are left out: proxies and retries change them.
struct FingerprintParts
{
    std::string_view service;
    std::string_view method;
    std::string_view path;
    std::string_view query; // without "?"
    std::string_view body;
};

// 128 bits, because an accidental match would answer one request with the answer of another.
struct Fingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const Fingerprint &, const Fingerprint &) = default;
};

// Hashes a request. The parts are hashed with their lengths, so that bytes that move from one part
// to the next change the result.
Fingerprint fingerprint(const FingerprintParts &parts);

} // namespace chestnutvane
