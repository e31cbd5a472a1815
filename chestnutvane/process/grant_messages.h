// The peer messages about grants and their CBOR encoding.
//
// Decoding never throws: malformed input yields a MessageError.
//
// Example:
//
//   std::string body = encode(GrantAnswer{...});
//   auto answer = decodeGrantAnswer(body);
//   if (!isOk(answer))
//       logError(error(answer));
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/result.h"
#include "chestnutvane/process/grant_types.h"
#include "chestnutvane/request/outcome.h"

namespace chestnutvane {

// Body of the peer message "grant-request".
struct GrantRequestMessage
{
    UnitId unit = 0;
    GrantRequest request;

    friend bool operator==(const GrantRequestMessage &, const GrantRequestMessage &) = default;
};

// The answer to "grant-request": a grant if the reason is None, otherwise a refusal.
struct GrantAnswer
{
    UnitId unit = 0;
    std::uint64_t sequence = 0; // of the request
    Reason reason = Reason::None;
    GrantId id; // of the grant; in a refusal, only the epoch is set
    TargetId target = 0;
    bool probe = false;
    bool alone = false;

    friend bool operator==(const GrantAnswer &, const GrantAnswer &) = default;
};

// Body of the peer message "grant-release".
struct GrantRelease
{
    UnitId unit = 0;
    HolderId holder;
    GrantId id;
    GrantResult result = GrantResult::NotSent;
    Duration serviceTime{}; // from sending the request to the complete answer

    friend bool operator==(const GrantRelease &, const GrantRelease &) = default;
};

// Body of the peer message "grants-held" from a holder to a broker, sent with each heartbeat. Also
// the body of the answer to a RebuildRequest.
struct GrantsHeld
{
    UnitId unit = 0;
    HolderId holder;
    std::uint64_t number = 0; // increases with each list of the holder
    std::uint64_t epoch = 0; // highest epoch seen for the unit; grants of lower ones are refused
    std::uint64_t lastSequence = 0; // highest sequence number assigned when the list was made
    std::vector<HeldGrant> held;
    std::vector<std::uint64_t> waiting; // sequence numbers of requests without an answer yet

    friend bool operator==(const GrantsHeld &, const GrantsHeld &) = default;
};

// Body of the peer message "grants-rebuild", by which a new broker requests a holder's list.
struct RebuildRequest
{
    UnitId unit = 0;
    std::uint64_t epoch = 0;

    friend bool operator==(const RebuildRequest &, const RebuildRequest &) = default;
};

// Why a message cannot be decoded.
enum class MessageFault {
    NotCbor,
    MissingField,
    WrongType,
    OutOfRange,
};

inline constexpr EnumName<MessageFault> messageFaultNames[] = {
        {MessageFault::NotCbor, "not-cbor"},
        {MessageFault::MissingField, "missing-field"},
        {MessageFault::WrongType, "wrong-type"},
        {MessageFault::OutOfRange, "out-of-range"},
};

struct MessageError
{
    MessageFault fault = MessageFault::NotCbor;
    std::string field; // empty for NotCbor
};

// Messages with a list of more elements than this are rejected.
inline constexpr std::size_t maxMessageListLength = 65536;

std::string encode(const GrantRequestMessage &message);
std::string encode(const GrantAnswer &message);
std::string encode(const GrantRelease &message);
std::string encode(const GrantsHeld &message);
std::string encode(const RebuildRequest &message);

Result<GrantRequestMessage, MessageError> decodeGrantRequest(std::string_view body);
Result<GrantAnswer, MessageError> decodeGrantAnswer(std::string_view body);
Result<GrantRelease, MessageError> decodeGrantRelease(std::string_view body);
Result<GrantsHeld, MessageError> decodeGrantsHeld(std::string_view body);
Result<RebuildRequest, MessageError> decodeRebuildRequest(std::string_view body);

} // namespace chestnutvane
