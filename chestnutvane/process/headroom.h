// Tracks the headroom of units and the use of links between regions for steering decisions (design
// page, sections 7.4 and 7.5).
//
// Example:
//
//   HeadroomTable table;
//   table.report("box-office", "taipei", {.epoch = 3, .freeSlots = 5, .totalSlots = 48}, madeAt);
//   table.recordOwnOutcome("box-office", "taipei", OwnOutcome::Refused, now);
//   double headroom = table.headroom("box-office", "taipei", now);
//
// The classes are not thread-safe; the daemon guards them with the membership lock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chestnutvane/base/time.h"

namespace chestnutvane {

// An exponentially decaying sum. Divided by its time constant it is a rate per second.
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

// Slots and queued requests of a unit, as measured by its broker.
struct HeadroomReport
{
    std::uint64_t epoch = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t totalSlots = 0;
    std::uint32_t queued = 0;
};

// Outcome of a request that this instance itself sent to a unit.
enum class OwnOutcome {
    Served,
    Refused, // shed by the target, refused by the broker, or timed out waiting for a slot
};

struct HeadroomOptions
{
    Milliseconds reportLifetime{5000}; // the headroom of a report decreases linearly to 0 over it
    Milliseconds outcomeWindow{2000}; // time constant of the decaying counts of own outcomes
    // If a larger share of own requests is refused, a report of free slots is ignored. Fewer
    // refusals may come from single targets that shed.
    double contradictingRefusalShare = 0.05;
    double minOutcomes = 5; // with fewer recent outcomes, own refusals are ignored
};

class HeadroomTable
{
public:
    explicit HeadroomTable(HeadroomOptions options = {}) : options_(options) { }

    // Sets the share of the slots that steering may fill, by region (rule "cap region"). The share
    // is 1 for a region without an entry.
    void setRegionCaps(std::map<std::string, double> caps) { regionCaps_ = std::move(caps); }

    // Stores a report that was made at a time. Reports of an older epoch, and older reports of the
    // same epoch, are ignored.
    void report(const std::string &service, const std::string &region, const HeadroomReport &report,
                TimePoint madeAt);

    // Counts the outcome of an own request to the unit.
    void recordOwnOutcome(const std::string &service, const std::string &region, OwnOutcome outcome,
                          TimePoint now);

    // Returns the share of the unit's slots that steering may still fill, 0 to 1. It is 0 if the
    // last report has expired, if requests are queued, or if too many own requests are refused.
    double headroom(const std::string &service, const std::string &region, TimePoint now) const;

    // Returns the newest report of a unit, also an expired one, with the time when it was made.
    std::optional<std::pair<HeadroomReport, TimePoint>>
    newestReport(const std::string &service, const std::string &region) const;

    // Returns the share of the unit's callers that should be steered to other regions, 0 to 1. It
    // grows with the queued requests in a recent report and with the share of recent own requests
    // that were refused, and is 0 without either.
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

    Unit &findOrAddUnit(const std::string &service, const std::string &region);
    const Unit *findUnit(const std::string &service, const std::string &region) const;
    // Weight of the unit's report: 1 when it was made, 0 when it has expired.
    double reportWeight(const Unit &unit, TimePoint now) const;
    double refusedShare(const Unit &unit, TimePoint now) const;
    double capOf(const std::string &region) const;

    HeadroomOptions options_;
    std::map<std::pair<std::string, std::string>, Unit> units_;
    std::map<std::string, double> regionCaps_;
};

// Rate in kbit/s that one instance sends over a link between regions in one direction.
struct LinkRate
{
    std::string from;
    std::string to;
    std::uint32_t kbps = 0;

    friend bool operator==(const LinkRate &, const LinkRate &) = default;
};

// Use of the links between regions: the bytes that this instance sends and receives, and the rates
// that other instances report. All instances share a link, so the own bytes are only a part of its
// use.
class LinkUseTable
{
public:
    // A report expires after this time. Until then its instance may be partitioned but still
    // sending.
    static constexpr Milliseconds reportLifetime{5000};

    explicit LinkUseTable(Milliseconds timeConstant = Milliseconds{2000})
        : timeConstant_(timeConstant)
    { }

    // Adds bytes sent over the link in one direction.
    void add(const std::string &from, const std::string &to, double bytes, TimePoint now);

    // Returns the rates of this instance's own bytes, without links below 1 kbit/s.
    std::vector<LinkRate> ownRates(TimePoint now) const;

    // Replaces the reported rates of another instance. A report older than the stored one is
    // ignored. The rates take effect with the next updateRemoteRates().
    void report(const std::string &instance, std::vector<LinkRate> rates, TimePoint madeAt);

    // Sums up the rates of the other instances and removes expired reports.
    void updateRemoteRates(TimePoint now);

    // Returns the estimated rate of all instances in Mbit/s.
    double mbps(const std::string &from, const std::string &to, TimePoint now) const;

    // Returns whether a further rate fits under the cap of a link, capShare of its capacity.
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
    std::map<Link, double> remoteMbps_; // sum over reports_
};

} // namespace chestnutvane
