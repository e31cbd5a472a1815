// Tells a key that no team holds from one that this instance has not heard of yet.
//
// A key may be used as soon as the operator has written it. An instance that finds it unknown may
// say so only if its configuration was confirmed after the key was first seen; until then the
// request is refused as not run, and the caller returns. Nothing is read from the store for an
// unknown key, so a flood of wrong keys costs no calls.
//
// Example:
//
//   if (unknownKeys.judge(key, BootClock::now(), configurationAge) == KeyJudgement::Wrong)
//       answer(401);
//
// Not thread-safe.
#pragma once

#include <cstddef>
#include <list>
#include <string_view>
#include <unordered_map>

#include "chestnutvane/base/boot_clock.h"
#include "chestnutvane/base/keyed_hash.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

enum class KeyJudgement {
    Undecided, // the configuration may be behind the key
    Wrong, // no team holds the key
};

class UnknownKeys
{
public:
    // Keys above this number displace the oldest ones, which then count as first seen again.
    static constexpr std::size_t maxKeys = 4096;

    // Judges a key that is not in the configuration, which was last known to match the store
    // `configurationAge` ago.
    KeyJudgement judge(std::string_view key, BootTime now, Milliseconds configurationAge);

    [[nodiscard]] std::size_t size() const { return firstSeen_.size(); }

private:
    struct Row
    {
        BootTime firstSeen;
        std::list<Digest>::iterator position; // in order_
    };

    KeyedHash hash_ = KeyedHash::createRandom();
    std::unordered_map<Digest, Row, DigestHash> firstSeen_;
    std::list<Digest> order_; // the first seen first
};

} // namespace chestnutvane
