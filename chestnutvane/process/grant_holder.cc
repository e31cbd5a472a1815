#include "chestnutvane/process/grant_holder.h"

namespace chestnutvane {

GrantHolder::GrantHolder(const HolderId &self) : self_(self) { }

std::uint64_t GrantHolder::startRequest(UnitId unit, std::uint64_t fingerprint, TimePoint now,
                                        Duration remaining)
{
    const std::uint64_t sequence = ++lastSequence_;
    waiting_[sequence] = {unit, fingerprint, now + std::min<Duration>(remaining, maxGrantTime)};
    return sequence;
}

void GrantHolder::abandon(std::uint64_t sequence)
{
    waiting_.erase(sequence);
}

GrantAcceptance GrantHolder::accept(const GrantAnswer &answer, TimePoint now)
{
    if (!observeEpoch(answer.unit, answer.id.epoch))
        return {GrantVerdict::OldEpoch, now};
    const auto found = waiting_.find(answer.sequence);
    if (found == waiting_.end() || found->second.unit != answer.unit)
        return {GrantVerdict::NotWaiting, now};
    const Waiting waiting = found->second;
    waiting_.erase(found);
    if (now >= waiting.endsAt)
        return {GrantVerdict::Expired, waiting.endsAt};
    units_[answer.unit].held[answer.id]
            = {answer.target, answer.sequence, waiting.fingerprint, answer.alone, waiting.endsAt};
    return {GrantVerdict::Accepted, waiting.endsAt};
}

bool GrantHolder::finish(const GrantId &id, UnitId unit)
{
    const auto found = units_.find(unit);
    return found != units_.end() && found->second.held.erase(id) > 0;
}

bool GrantHolder::maySend(const GrantId &id, UnitId unit, TimePoint now) const
{
    const auto found = units_.find(unit);
    if (found == units_.end())
        return false;
    const auto held = found->second.held.find(id);
    return held != found->second.held.end() && now < held->second.endsAt;
}

bool GrantHolder::observeEpoch(UnitId unit, std::uint64_t epoch)
{
    std::uint64_t &highest = units_[unit].highestEpoch;
    if (epoch < highest)
        return false;
    highest = epoch;
    return true;
}

std::uint64_t GrantHolder::highestEpoch(UnitId unit) const
{
    const auto found = units_.find(unit);
    return found == units_.end() ? 0 : found->second.highestEpoch;
}

GrantsHeld GrantHolder::heldList(UnitId unit, TimePoint now)
{
    GrantsHeld list;
    list.unit = unit;
    list.holder = self_;
    list.number = ++lastList_;
    list.lastSequence = lastSequence_;
    list.waiting = waiting(unit);
    if (const auto found = units_.find(unit); found != units_.end()) {
        list.epoch = found->second.highestEpoch;
        for (const auto &[id, held] : found->second.held) {
            list.held.push_back({id, held.target,
                                 std::max<Duration>(Duration::zero(), held.endsAt - now),
                                 held.sequence, held.fingerprint, held.alone});
        }
    }
    return list;
}

GrantsHeld GrantHolder::answerRebuild(const RebuildRequest &request, TimePoint now)
{
    observeEpoch(request.unit, request.epoch);
    return heldList(request.unit, now);
}

std::vector<std::uint64_t> GrantHolder::waiting(UnitId unit) const
{
    std::vector<std::uint64_t> sequences;
    for (const auto &[sequence, waiting] : waiting_) {
        if (waiting.unit == unit)
            sequences.push_back(sequence);
    }
    return sequences;
}

} // namespace chestnutvane
