// Applies one change of the configuration to the store (design 7.3), driven by store results.
//
// Example:
//
//   ConfigApply apply({.changeId = id, .author = "Mei", .rules = text, .baseRevision = 41}, now);
//   ApplyStep step = apply.start(now);
//   // ApplyRead:  store.get(configHeadKey), then step = apply.onRead(result, now)
//   // ApplyWrite: store.compareAndSwap(write.call), then step = apply.onWritten(result, now)
//   // ApplyPause: wait, then step = apply.onPauseElapsed(now)
//   // ApplyVerdict: the end; report it to the operator
//
// A write whose answer was lost is looked up by its change id before anything is reported, and is
// sent again only on top of the same base, so it cannot overwrite a change of someone else. An
// apply that is repeated with the same change id finds the first one and is accepted once.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/process/config_head.h"
#include "chestnutvane/process/store.h"

namespace chestnutvane {

struct ApplyRequest
{
    std::string changeId; // unique; chosen by the operator's tool
    std::string author;
    std::string rules; // text of a rule file that has been checked
    std::uint64_t baseRevision = 0; // revision that the operator edited; the same in each repeat
    bool repeated = false; // the tool sent this change before and got no verdict
    Milliseconds timeout{10000}; // for the store; then the verdict is given without an answer
};

enum class ApplyOutcome {
    Accepted,
    Conflict, // another change has been accepted since the base
    NotAccepted, // the change surely did not take effect and will not
    Undetermined, // the change may have taken effect, or may yet do so
};

inline constexpr EnumName<ApplyOutcome> applyOutcomeNames[] = {
        {ApplyOutcome::Accepted, "accepted"},
        {ApplyOutcome::Conflict, "conflict"},
        {ApplyOutcome::NotAccepted, "not-accepted"},
        {ApplyOutcome::Undetermined, "undetermined"},
};

// Why a change was not accepted or could not be determined.
enum class ApplyReason {
    None,
    StoreDown, // no answer of the store within the timeout
    TooLarge, // head would be above the value size of the store
    BadText, // the rules or the author are not UTF-8, so head would not hold them as they are
    BadHead, // the store holds a head that cannot be understood
    HistoryExceeded, // head has moved more than 64 revisions past the base
    HeadBehindBase, // the store holds a lower revision than the base
};

inline constexpr EnumName<ApplyReason> applyReasonNames[] = {
        {ApplyReason::None, "none"},
        {ApplyReason::StoreDown, "store-down"},
        {ApplyReason::TooLarge, "too-large"},
        {ApplyReason::BadText, "bad-text"},
        {ApplyReason::BadHead, "bad-head"},
        {ApplyReason::HistoryExceeded, "history-exceeded"},
        {ApplyReason::HeadBehindBase, "head-behind-base"},
};

struct ApplyRead
{ };

struct ApplyWrite
{
    CompareAndSwap call;
};

struct ApplyPause
{
    Milliseconds length{100};
};

struct ApplyVerdict
{
    ApplyOutcome outcome = ApplyOutcome::Undetermined;
    ApplyReason reason = ApplyReason::None;
    std::string changeId;
    std::optional<ConfigHead> head{}; // the head that decided: the accepted one, or the newer one
};

using ApplyStep = std::variant<ApplyRead, ApplyWrite, ApplyPause, ApplyVerdict>;

class ConfigApply
{
public:
    ConfigApply(ApplyRequest request, TimePoint now);

    ApplyStep start(TimePoint now);
    ApplyStep onRead(const Result<StoreEntry, StoreError> &result, TimePoint now);
    ApplyStep onWritten(const Result<std::uint64_t, StoreError> &result, TimePoint now);
    ApplyStep onPauseElapsed(TimePoint now);

private:
    ApplyStep onHead(ConfigHead head, std::uint64_t version, TimePoint now);
    ApplyStep pauseUntilDeadline(ApplyReason reason, TimePoint now) const;
    ApplyVerdict verdict(ApplyOutcome outcome, ApplyReason reason,
                         std::optional<ConfigHead> head = std::nullopt) const;
    // Without an accepted change: the verdict depends on whether a write may have taken effect.
    ApplyVerdict unconfirmedVerdict(ApplyReason reason) const;

    ApplyRequest request_;
    TimePoint deadline_;
    bool mayHaveTakenEffect_; // a write of this change ended without an answer
    ConfigHead written_; // the head of the last write
};

} // namespace chestnutvane
