#include "chestnutvane/process/headroom.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace chestnutvane {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void DecayingSum::add(double amount, TimePoint now)
{
    sum_ = sum(now) + amount;
    updatedAt_ = std::max(updatedAt_, now);
}

double DecayingSum::sum(TimePoint now) const
{
    if (sum_ == 0 || now <= updatedAt_)
        return sum_;
    return sum_ * std::exp(-seconds(now - updatedAt_) / seconds(timeConstant_));
}

double DecayingSum::perSecond(TimePoint now) const
{
    return sum(now) / seconds(timeConstant_);
}

HeadroomTable::Unit &HeadroomTable::findOrAddUnit(const std::string &service,
                                                  const std::string &region)
{
    return units_
            .try_emplace({service, region},
                         Unit{false,
                              {},
                              {},
                              DecayingSum(options_.outcomeWindow),
                              DecayingSum(options_.outcomeWindow)})
            .first->second;
}

const HeadroomTable::Unit *HeadroomTable::findUnit(const std::string &service,
                                                   const std::string &region) const
{
    const auto found = units_.find({service, region});
    return found == units_.end() ? nullptr : &found->second;
}

void HeadroomTable::report(const std::string &service, const std::string &region,
                           const HeadroomReport &report, TimePoint madeAt)
{
    Unit &unit = findOrAddUnit(service, region);
    if (unit.hasReport
        && std::tie(report.epoch, madeAt) <= std::tie(unit.report.epoch, unit.madeAt))
        return;
    unit.hasReport = true;
    unit.report = report;
    unit.madeAt = madeAt;
}

std::optional<std::pair<HeadroomReport, TimePoint>>
HeadroomTable::newestReport(const std::string &service, const std::string &region) const
{
    const Unit *unit = findUnit(service, region);
    if (unit == nullptr || !unit->hasReport)
        return std::nullopt;
    return std::pair(unit->report, unit->madeAt);
}

void HeadroomTable::recordOwnOutcome(const std::string &service, const std::string &region,
                                     OwnOutcome outcome, TimePoint now)
{
    Unit &unit = findOrAddUnit(service, region);
    (outcome == OwnOutcome::Refused ? unit.refused : unit.served).add(1, now);
}

double HeadroomTable::reportWeight(const Unit &unit, TimePoint now) const
{
    if (!unit.hasReport)
        return 0;
    return std::clamp(1 - seconds(now - unit.madeAt) / seconds(options_.reportLifetime), 0.0, 1.0);
}

double HeadroomTable::refusedShare(const Unit &unit, TimePoint now) const
{
    const double refused = unit.refused.sum(now);
    const double all = refused + unit.served.sum(now);
    return all < options_.minOutcomes ? 0 : refused / all;
}

double HeadroomTable::capOf(const std::string &region) const
{
    const auto cap = regionCaps_.find(region);
    return cap == regionCaps_.end() ? 1 : cap->second;
}

double HeadroomTable::headroom(const std::string &service, const std::string &region,
                               TimePoint now) const
{
    const Unit *unit = findUnit(service, region);
    if (!unit || unit->report.totalSlots == 0 || unit->report.queued > 0
        || refusedShare(*unit, now) > options_.contradictingRefusalShare)
        return 0;
    const double total = unit->report.totalSlots;
    const double free = std::min<double>(unit->report.freeSlots, total) / total;
    return std::max(0.0, free - (1 - capOf(region))) * reportWeight(*unit, now);
}

double HeadroomTable::overflowShare(const std::string &service, const std::string &region,
                                    TimePoint now) const
{
    const Unit *unit = findUnit(service, region);
    if (!unit)
        return 0;
    const HeadroomReport &report = unit->report;
    const double waiting = report.queued;
    // The demand is the requests in flight plus the queued ones. The excess over the slots that the
    // cap allows should be steered elsewhere.
    const double demand =
            report.totalSlots - std::min(report.freeSlots, report.totalSlots) + waiting;
    const double allowedSlots = report.totalSlots * capOf(region);
    const double queuedShare =
            demand > allowedSlots ? (1 - allowedSlots / demand) * reportWeight(*unit, now) : 0;
    const double refused = refusedShare(*unit, now);
    return std::max(queuedShare, refused > options_.contradictingRefusalShare ? refused : 0);
}

void LinkUseTable::add(const std::string &from, const std::string &to, double bytes, TimePoint now)
{
    links_.try_emplace({from, to}, timeConstant_).first->second.add(bytes, now);
}

std::vector<LinkRate> LinkUseTable::ownRates(TimePoint now) const
{
    std::vector<LinkRate> rates;
    for (const auto &[link, bytes] : links_) {
        const double kbps = bytes.perSecond(now) * 8 / 1e3;
        if (kbps >= 1)
            rates.push_back({link.first, link.second, static_cast<std::uint32_t>(kbps)});
    }
    return rates;
}

void LinkUseTable::report(const std::string &instance, std::vector<LinkRate> rates,
                          TimePoint madeAt)
{
    const auto [entry, isNew] = reports_.try_emplace(instance);
    if (isNew || entry->second.madeAt <= madeAt)
        entry->second = {std::move(rates), madeAt};
}

void LinkUseTable::updateRemoteRates(TimePoint now)
{
    std::erase_if(reports_,
                  [now](const auto &entry) { return now - entry.second.madeAt >= reportLifetime; });
    remoteMbps_.clear();
    for (const auto &[instance, report] : reports_) {
        for (const auto &rate : report.rates)
            remoteMbps_[{rate.from, rate.to}] += rate.kbps / 1e3;
    }
}

double LinkUseTable::mbps(const std::string &from, const std::string &to, TimePoint now) const
{
    const Link link{from, to};
    const auto own = links_.find(link);
    const auto others = remoteMbps_.find(link);
    return (own == links_.end() ? 0 : own->second.perSecond(now) * 8 / 1e6)
            + (others == remoteMbps_.end() ? 0 : others->second);
}

bool LinkUseTable::fitsUnderCap(const std::string &from, const std::string &to, double addedMbps,
                                double capacityMbps, double capShare, TimePoint now) const
{
    return mbps(from, to, now) + addedMbps <= capacityMbps * capShare;
}

} // namespace chestnutvane
