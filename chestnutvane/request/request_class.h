// Properties of a class of requests, as set by a "class" rule.
#pragma once

#include <string>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// Whether a request may be sent to a target more than once.
enum class Repeat {
    Idempotent,
    AtMostOnce,
};

inline constexpr EnumName<Repeat> repeatNames[] = {
        {Repeat::Idempotent, "idempotent"},
        {Repeat::AtMostOnce, "at-most-once"},
};

// A request belongs to the class of its service with the longest matching path prefix.
struct RequestClass
{
    std::string name;
    std::string service;
    std::string pathPrefix; // starts with "/"
    Repeat repeat = Repeat::AtMostOnce;
    int importance = 5; // 0 is the most important, 9 the least
    Milliseconds deadline{5000}; // used when the caller gives none; also the longest it may ask for
    Milliseconds queueLimit{1000}; // longest acceptable estimated wait for a slot
    Milliseconds silenceLimit{1000}; // silence on a reused connection before the path is probed

    friend bool operator==(const RequestClass &, const RequestClass &) = default;
};

} // namespace chestnutvane
