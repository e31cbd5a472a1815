// A hash that identifies the content of a request. It is the same on all instances and in all
// builds.
//
// Example:
//
//   Fingerprint hash = fingerprint({"box-office", "POST", "/checkout", "", body});
//
// Thread-safe: the function has no state.
#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace chestnutvane {

// The parts of a request that are hashed. Headers are excluded because proxies and retries change
// them.
struct FingerprintParts
{
    std::string_view service;
    std::string_view method;
    std::string_view path;
    std::string_view query; // without "?"
    std::string_view body;
};

// A hash of 128 bits. A collision would return the stored response of another request, so
// collisions must be practically impossible.
struct Fingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const Fingerprint &, const Fingerprint &) = default;
};

// Hashes a request. The length of each part is hashed as well, so that requests whose parts differ
// but have the same concatenation get different hashes.
Fingerprint fingerprint(const FingerprintParts &parts);

} // namespace chestnutvane
