// Applies one change through the operator listeners: sends it, asks again with the same change id
// until there is a verdict, then waits until every live instance reports the revision.
//
// Example:
//
//   ChangeReport report = applyChange(client, waiting, {.changeId = id, .rules = text, ...});
//
// A change is sent again only with its own change id and base revision, so it is accepted at most
// once (design 7.3).
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/operator/operator_client.h"

namespace chestnutvane {

// The clock and the pause of a program or a test.
struct Waiting
{
    std::function<TimePoint()> now;
    std::function<void(Milliseconds)> sleep;
};

struct Change
{
    std::string changeId;
    std::string author;
    std::string rules;
    std::uint64_t baseRevision = 0;
    Milliseconds timeout{10000}; // for the verdict, and again for the instances
};

enum class ChangeOutcome {
    Accepted, // by the store and by every live instance
    Lagging, // accepted, but not every live instance reports the revision
    Conflict,
    NotAccepted, // it surely did not take effect and will not
    BadRules, // refused because of mistakes in the rules
    Undetermined, // it may have taken effect, or may yet do so
};

inline constexpr EnumName<ChangeOutcome> changeOutcomeNames[] = {
        {ChangeOutcome::Accepted, "accepted"},  {ChangeOutcome::Lagging, "lagging"},
        {ChangeOutcome::Conflict, "conflict"},  {ChangeOutcome::NotAccepted, "not-accepted"},
        {ChangeOutcome::BadRules, "bad-rules"}, {ChangeOutcome::Undetermined, "undetermined"},
};

struct LaggingInstance
{
    std::string id;
    std::uint64_t revision = 0;
};

struct ChangeReport
{
    ChangeOutcome outcome = ChangeOutcome::Undetermined;
    std::string reason; // of the instance, or the failures of the calls
    std::uint64_t revision = 0; // accepted, or in force at a conflict
    std::string author; // at a conflict: of the revision in force
    std::string rules; // at a conflict: of the revision in force
    nlohmann::json mistakes = nlohmann::json::array(); // at BadRules
    std::vector<LaggingInstance> lagging;
    std::vector<std::string> silent; // instances that are not heard, and so not waited for
    bool instancesKnown = false; // a server told about the instances
    int attempts = 0; // times that the change was sent
};

// Sends the change and waits. Blocks. No attempt starts after the timeout; one under way may take
// half of the timeout and 2 s more.
ChangeReport applyChange(OperatorClient &client, const Waiting &waiting, const Change &change);

// Whether the text is UTF-8, as JSON requires.
bool isUtf8(const std::string &text);

} // namespace chestnutvane
