// Whether a target executed a request, and why a request was refused or failed.
//
// Every response of the system carries the outcome in the header Vane-Outcome and, unless the
// request succeeded, the reason in Vane-Reason.
//
// Example:
//
//   headers.push_back({"Vane-Outcome", enumName(outcomeNames, Outcome::NotRun)});
//   headers.push_back({"Vane-Reason", enumName(reasonNames, Reason::Overloaded)});
#pragma once

#include "chestnutvane/base/enum_names.h"

namespace chestnutvane {

// Whether a target ran the request.
enum class Outcome {
    NotRun, // no byte can have reached a target, or the target reported that it did not run it
    Ran, // a complete response of a target was received
    Unknown, // all other cases: a target may have run it, fully or in part
};

inline constexpr EnumName<Outcome> outcomeNames[] = {
        {Outcome::NotRun, "not-run"},
        {Outcome::Ran, "ran"},
        {Outcome::Unknown, "unknown"},
};

// Why a request was refused or failed.
enum class Reason {
    None,
    UnknownService,
    NoMatchingClass,
    BadRequest,
    BodyTooLarge,
    KeyRequired,
    KeyMalformed,
    KeyReused, // the key was received before with a different request
    KeyExpired, // the records of the key's window have been discarded
    AnswerDropped, // the request ran, but its stored response was evicted to limit memory
    KeyOwnerUnreachable, // the incarnation that issued the key cannot be reached
    Overloaded, // the estimated wait is too long, or a more important request displaced this one
    NoTarget, // no usable target in any allowed region
    BrokerUnreachable,
    DeadlineExceeded,
    ConnectionLost, // the connection to the target ended before the response was complete
    CrashSuspect, // requests with this fingerprint crashed targets
    NoConfiguration, // the instance has no configuration yet
    Isolated, // the instance can reach neither the store nor any peer
    Leaving, // the instance is shutting down
    TargetRefused, // the target reported that it did not run the request
    Cancelled, // the caller disconnected
};

inline constexpr EnumName<Reason> reasonNames[] = {
        {Reason::None, "none"},
        {Reason::UnknownService, "unknown-service"},
        {Reason::NoMatchingClass, "no-matching-class"},
        {Reason::BadRequest, "bad-request"},
        {Reason::BodyTooLarge, "body-too-large"},
        {Reason::KeyRequired, "key-required"},
        {Reason::KeyMalformed, "key-malformed"},
        {Reason::KeyReused, "key-reused"},
        {Reason::KeyExpired, "key-expired"},
        {Reason::AnswerDropped, "answer-dropped"},
        {Reason::KeyOwnerUnreachable, "owner-unreachable"},
        {Reason::Overloaded, "overloaded"},
        {Reason::NoTarget, "no-target"},
        {Reason::BrokerUnreachable, "broker-unreachable"},
        {Reason::DeadlineExceeded, "deadline-exceeded"},
        {Reason::ConnectionLost, "connection-lost"},
        {Reason::CrashSuspect, "crash-suspect"},
        {Reason::NoConfiguration, "no-configuration"},
        {Reason::Isolated, "isolated"},
        {Reason::Leaving, "leaving"},
        {Reason::TargetRefused, "target-refused"},
        {Reason::Cancelled, "cancelled"},
};

} // namespace chestnutvane
