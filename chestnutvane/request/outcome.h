// What is known about the execution of a request, and why a request was refused or failed.
//
// Every answer of the system carries the outcome in the header Vane-Outcome and, unless the request
// succeeded, the reason in Vane-Reason.
#pragma once

#include "chestnutvane/base/enum_names.h"

namespace chestnutvane {

// Whether a target ran the request.
enum class Outcome {
    NotRun, // no byte can have reached a target, or the target said that it did not run it
    Ran, // a complete answer of a target was received
    Unknown, // everything else
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
    KeyReused, // the same key came with a different request
    KeyExpired, // the key's window is no longer remembered
    AnswerDropped, // the request ran, but its stored answer had to make room
    KeyOwnerUnreachable,
    Overloaded, // the estimated wait is too long, or a more important request took the place
    NoTarget, // no usable target in any allowed region
    BrokerUnreachable,
    DeadlineExceeded,
    ConnectionLost, // the connection to the target ended before the answer was complete
    CrashSuspect, // requests with this fingerprint crashed targets
    NoConfiguration, // the instance has no configuration yet
    Isolated, // the instance has contact with neither the store nor a peer
    Leaving, // the instance is shutting down
    TargetRefused, // the target said that it did not run the request
    Cancelled, // the caller went away
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
