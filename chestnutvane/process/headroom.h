// Headroom of units and use of links, for steering decisions (design page, sections 7.4 and 7.5).
//
// Example:
//
//   HeadroomTable table;
//   table.report("box-office", "taipei", {.epoch = 3, .freeSlots = 5, .totalSlots = 48}, madeAt);
//   table.recordOwnOutcome("box-office", "taipei", OwnOutcome::Refused, now);
//   double headroom = table.headroom("box-office", "taipei", now);
//
// The classes are not thread-safe; the daemon guards them by the membership lock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chestnutvane/base/time.h"

namespace chestnutvane {

// A sum that decays exponentially; divided by its time constant it is a rate per second.
class DecayingSum
{
public:
    explicit DecayingSum(Milliseconds timeConstant) : timeConstant_(timeConstant) { }

    void add(double amount, TimePoint now);
    double sum(TimePoint now) const;
    double perSecond(TimePoint now) const;

private:
    Milliseconds timeConstant_;
    double sum_ = 0;
    TimePoint updatedAt_;
};

// What a unit's broker measured.
struct HeadroomReport
{
    std::uint64_t epoch = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t totalSlots = 0;
    std::uint32_t queued = 0;
};

// The end of one of this instance's own requests to a unit.
enum class OwnOutcome {
    Served,
    Refused, // shed by the target, refused by the broker, or its wait for a slot was too long
};

struct HeadroomOptions
{
    Milliseconds reportLifetime{5000}; // a report's headroom shrinks to 0 over this time
    Milliseconds outcomeWindow{2000}; // time constant of the own outcomes
    // Own refusals above this share contradict a report of free slots. A few refusals come from
    // single targets that shed.
    double contradictingRefusalShare = 0.05;
    double minOutcomes = 5; // fewer recent outcomes contradict nothing
};

class HeadroomTable
{
public:
    explicit HeadroomTable(HeadroomOptions options = {}) : options_(options) { }

    // Sets the share of the slots that steering may fill, by region (rule "cap region"); 1 without.
    void setRegionCaps(std::map<std::string, double> caps) { regionCaps_ = std::move(caps); }

    // Notes a report made at a time. Reports of an older epoch, or older ones of the same epoch,
    // are ignored.
    void report(const std::string &service, const std::string &region, const HeadroomReport &report,
                TimePoint madeAt);

    void recordOwnOutcome(const std::string &service, const std::string &region, OwnOutcome outcome,
                          TimePoint now);

    // Share of the unit's slots that steering may still fill, 0 to 1. 0 if nothing was reported for
    // the life of a report, if requests are queued, or if own refusals contradict the report.
    double headroom(const std::string &service, const std::string &region, TimePoint now) const;

    // The newest report of a unit with the time at which it was made, whatever its age.
    std::optional<std::pair<HeadroomReport, TimePoint>>
    newestReport(const std::string &service, const std::string &region) const;

    // Share of the unit's callers that should go elsewhere: 0 unless requests are queued or own
    // requests are refused; grows with both, and 0 without a recent report or outcome.
    double overflowShare(const std::string &service, const std::string &region,
                         TimePoint now) const;

private:
    struct Unit
    {
        bool hasReport = false;
        HeadroomReport report;
        TimePoint madeAt;
        DecayingSum served;
        DecayingSum refused;
    };

    Unit &unit(const std::string &service, const std::string &region);
    const Unit *findUnit(const std::string &service, const std::string &region) const;
    double freshness(const Unit &unit, TimePoint now) const;
    double refusedShare(const Unit &unit, TimePoint now) const;
    double capOf(const std::string &region) const;

    HeadroomOptions options_;
    std::map<std::pair<std::string, std::string>, Unit> units_;
    std::map<std::string, double> regionCaps_;
};

// What one instance sends over a link between regions in one direction.
struct LinkRate
{
    std::string from;
    std::string to;
    std::uint32_t kbps = 0;

    friend bool operator==(const LinkRate &, const LinkRate &) = default;
};

// Use of the links between regions: the bytes that this instance sends and receives, and the rates
// that the others report. A link is shared by all instances, so one's own bytes say little.
class LinkUseTable
{
public:
    // A report counts for this long: as long as that of an instance that may only be cut off.
    static constexpr Milliseconds reportLifetime{5000};

    explicit LinkUseTable(Milliseconds timeConstant = Milliseconds{2000})
        : timeConstant_(timeConstant)
    { }

    // Adds bytes sent over the link in one direction.
    void add(const std::string &from, const std::string &to, double bytes, TimePoint now);

    // The rates of this instance's own bytes, without links that it does not use.
    std::vector<LinkRate> ownRates(TimePoint now) const;

    // Replaces the rates of another instance; one made earlier than the last is ignored. They count
    // from the next updateRemoteRates().
    void report(const std::string &instance, std::vector<LinkRate> rates, TimePoint madeAt);

    // Sums up the rates of the others and drops those whose life is over.
    void updateRemoteRates(TimePoint now);

    // Estimated rate of all instances in Mbit/s.
    double mbps(const std::string &from, const std::string &to, TimePoint now) const;

    // Tells whether a further rate fits under the cap of a link.
    bool fitsUnderCap(const std::string &from, const std::string &to, double addedMbps,
                      double capacityMbps, double capShare, TimePoint now) const;

private:
    using Link = std::pair<std::string, std::string>;

    struct Report
    {
        std::vector<LinkRate> rates;
        TimePoint madeAt;
    };

    Milliseconds timeConstant_;
    std::map<Link, DecayingSum> links_;
    std::map<std::string, Report> reports_; // by instance
    std::map<Link, double> remoteMbps_;
};

} // namespace chestnutvane
