#include "chestnutvane/process/config_apply.h"

#include <utility>

namespace chestnutvane {

ConfigApply::ConfigApply(ApplyRequest request, TimePoint now)
    : request_(std::move(request)), deadline_(now + request_.timeout),
      mayHaveTakenEffect_(request_.repeated)
{ }

ApplyStep ConfigApply::start(TimePoint /*now*/)
{
    return ApplyRead{};
}

ApplyStep ConfigApply::onPauseElapsed(TimePoint /*now*/)
{
    return ApplyRead{};
}

ApplyStep ConfigApply::onRead(const Result<StoreEntry, StoreError> &result, TimePoint now)
{
    if (!isOk(result)) {
        if (error(result).failure == StoreFailure::NotFound)
            return onHead({}, 0, now);
        return pauseUntilDeadline(ApplyReason::StoreDown, now);
    }
    auto head = decodeConfigHead(value(result).value);
    if (!isOk(head))
        return unconfirmedVerdict(ApplyReason::BadHead);
    return onHead(value(std::move(head)), value(result).version, now);
}

ApplyStep ConfigApply::onHead(ConfigHead head, std::uint64_t version, TimePoint now)
{
    // Look up the change id before any write. An earlier apply of the same change, perhaps through
    // another instance, may have been accepted without a response to the operator.
    switch (lookUpChange(head, request_.changeId, request_.baseRevision)) {
    case ChangeState::Accepted:
        return verdict(ApplyOutcome::Accepted, ApplyReason::None, std::move(head));
    case ChangeState::Superseded:
        return verdict(ApplyOutcome::Conflict, ApplyReason::None, std::move(head));
    case ChangeState::Unknown:
        return verdict(ApplyOutcome::Undetermined,
                       head.revision < request_.baseRevision ? ApplyReason::HeadBehindBase
                                                             : ApplyReason::HistoryExceeded,
                       std::move(head));
    case ChangeState::Pending:
        break;
    }
    if (now >= deadline_)
        return unconfirmedVerdict(ApplyReason::StoreDown);
    // A delayed earlier write expects the same version as this one, so only one can take effect.
    written_ = nextConfigHead(head, request_.changeId, request_.author, request_.rules);
    std::string text = encodeConfigHead(written_);
    if (const auto readBack = decodeConfigHead(text);
        !isOk(readBack) || value(readBack) != written_)
        return unconfirmedVerdict(ApplyReason::BadText);
    return ApplyWrite{{.key = std::string(configHeadKey),
                       .expectedVersion = version,
                       .value = std::move(text)}};
}

ApplyStep ConfigApply::onWritten(const Result<std::uint64_t, StoreError> &result, TimePoint now)
{
    if (isOk(result))
        return verdict(ApplyOutcome::Accepted, ApplyReason::None, written_);
    switch (error(result).failure) {
    case StoreFailure::Conflict:
    case StoreFailure::NotFound:
        // An earlier write of this change may have modified the key.
        return ApplyRead{};
    case StoreFailure::TooLarge:
        return unconfirmedVerdict(ApplyReason::TooLarge);
    case StoreFailure::Unavailable:
        return pauseUntilDeadline(ApplyReason::StoreDown, now);
    case StoreFailure::ResponseLost:
    case StoreFailure::InvalidResponse:
    case StoreFailure::HistoryCompacted:
        break;
    }
    mayHaveTakenEffect_ = true;
    return ApplyRead{};
}

ApplyStep ConfigApply::pauseUntilDeadline(ApplyReason reason, TimePoint now) const
{
    if (now >= deadline_)
        return unconfirmedVerdict(reason);
    return ApplyPause{};
}

ApplyVerdict ConfigApply::verdict(ApplyOutcome outcome, ApplyReason reason,
                                  std::optional<ConfigHead> head) const
{
    return {.outcome = outcome,
            .reason = reason,
            .changeId = request_.changeId,
            .head = std::move(head)};
}

ApplyVerdict ConfigApply::unconfirmedVerdict(ApplyReason reason) const
{
    return verdict(mayHaveTakenEffect_ ? ApplyOutcome::Undetermined : ApplyOutcome::NotAccepted,
                   reason);
}

} // namespace chestnutvane
