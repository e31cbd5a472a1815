// The properties of a class of requests, as configured by a "class" rule.
//
// Example:
//
//   RequestClass views{.name = "views", .service = "shop", .pathPrefix = "/views",
//                      .repeat = Repeat::Idempotent};
#pragma once

#include <string>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// Whether a request that a target may have run can be sent again.
enum class Repeat {
    Idempotent, // it can: running it several times has the same effect as once
    AtMostOnce, // it cannot; it is only retried if no target can have run it
};

inline constexpr EnumName<Repeat> repeatNames[] = {
        {Repeat::Idempotent, "idempotent"},
        {Repeat::AtMostOnce, "at-most-once"},
};

// A request belongs to the class of its service with the longest path prefix that matches its path.
struct RequestClass
{
    std::string name;
    std::string service;
    std::string pathPrefix; // starts with "/"
    Repeat repeat = Repeat::AtMostOnce;
    int importance = 5; // 0 is the most important, 9 the least
    Milliseconds deadline{5000}; // default and maximum of the deadline that a caller requests
    Milliseconds queueLimit{1000}; // longest acceptable estimated wait for a slot
    // Time without a byte of the response after which the target is probed over a new connection.
    Milliseconds silenceLimit{1000};

    friend bool operator==(const RequestClass &, const RequestClass &) = default;
};

} // namespace chestnutvane
