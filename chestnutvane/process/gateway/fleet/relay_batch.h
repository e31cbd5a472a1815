// Encoding of the reports that instances of a large fleet pass on for each other.
//
// Example:
//
//   for (const std::string &datagram : encodeBatches(batch, maxBatchBytes))
//       send(datagram);
//   if (auto batch = decodeBatch(datagram); isOk(batch))
//       relay.onBatch(value(batch), ...);
//
// Pure functions without state; thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// The instances for which a report is meant.
enum class Audience : std::uint8_t {
    SameRegion,
    OtherRegions,
};

// The part of its way that a batch goes.
enum class Hop : std::uint8_t {
    ToRelay, // from an instance to a relay of its availability zone
    BetweenZones, // from that relay to relays of other zones
    ToMembers, // from a relay to the instances of its zone
};

// An encoded load report on its way.
struct RelayFrame
{
    std::uint64_t incarnation = 0; // of the instance that reports
    std::uint64_t sequence = 0; // of the report
    Audience audience = Audience::SameRegion;
    std::uint8_t relays = 0; // that have passed it on
    bool agesUnknown = false; // a relay may have held it for longer than `held` says
    Milliseconds held{0}; // time spent at relays, at most about a minute
    std::string report;

    friend bool operator==(const RelayFrame &, const RelayFrame &) = default;
};

struct RelayBatch
{
    std::uint64_t sender = 0; // hash of the id of the instance that sends it
    Hop hop = Hop::ToRelay;
    std::vector<RelayFrame> frames;

    friend bool operator==(const RelayBatch &, const RelayBatch &) = default;
};

struct RelayBatchError
{
    std::string detail;
};

// Whether a datagram is a batch and not a single report.
bool isBatch(std::string_view datagram);

// Encodes a batch as one or more datagrams; an empty batch is one datagram. One is longer than
// maxBytes only if it holds a single frame.
std::vector<std::string> encodeBatches(const RelayBatch &batch, std::size_t maxBytes);

// Decodes a datagram. Errors: anything that encodeBatches() does not write.
Result<RelayBatch, RelayBatchError> decodeBatch(std::string_view datagram);

} // namespace chestnutvane
