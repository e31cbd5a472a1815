#include "chestnutvane/process/gateway/admission/team_quota_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>

#include "chestnutvane/process/gateway/admission/quota_time.h"
#include "chestnutvane/process/gateway/admission/team_quota_policies.h"

namespace chestnutvane {
namespace {

constexpr double step = 0.005; // seconds; well below the intervals of reports
constexpr int stepsPerSecond = 200;
constexpr double regionDelay = 0.025; // seconds, one way
constexpr double zoneDelay = 0.001;
constexpr double usageBytes = 10; // of a team in a report: key, episode, count, demand
// An instance that stood still finds at most this many requests, what its sockets hold.
constexpr std::size_t maxWaiting = 64;

struct ModelReport
{
    int sender = 0;
    std::uint64_t incarnation = 0;
    bool isCrossRegion = false;
    std::vector<TeamUsage> usage;
    int heard = 0;
};

struct ModelInstance
{
    std::unique_ptr<QuotaPolicyInstance> policy;
    std::uint64_t incarnation = 0;
    double weight = 1; // callers choose it in proportion to its cores
    double nextReport[2] = {0, 0}; // within the region, to other regions
    std::vector<double> learnsAt; // seconds, of each limit
    std::size_t limitsKnown = 0;
    int waitingRequests = 0; // while it stands still
    std::vector<ModelReport> waitingReports;
};

class Model
{
public:
    Model(QuotaPolicy policy, const QuotaModelSettings &settings)
        : policy_(policy), settings_(settings), random_(settings.seed), fleet_(settings.instances)
    {
        for (ModelInstance &it : fleet_) {
            it.weight = uniform(0.07, 0.5);
            start(it);
            for (const QuotaModelLimit &limit : settings_.limits)
                it.learnsAt.push_back(
                        limit.from + (limit.from > 0 ? uniform(0, 1) : 0) * settings_.learnSeconds);
        }
    }

    QuotaModelResult run()
    {
        const int steps = static_cast<int>((settings_.warmUp + settings_.seconds) * stepsPerSecond);
        for (int i = 0; i < steps; ++i) {
            now_ = i * step;
            changeInstances();
            deliver();
            sendReports();
            arrive();
        }
        judge();
        return result_;
    }

private:
    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }

    [[nodiscard]] TimePoint clock() const
    {
        return TimePoint{} + std::chrono::hours(1) + fromSeconds(now_);
    }

    // The instances that a fault concerns are spread over the regions.
    [[nodiscard]] bool isUnder(int instance, QuotaFault kind) const
    {
        return std::ranges::any_of(settings_.faults, [&](const QuotaModelFault &it) {
            return it.kind == kind && now_ >= it.from && now_ < it.until
                    && (it.kind == QuotaFault::PowerLoss || it.kind == QuotaFault::SlowReports
                        || std::fmod((instance + 1) * 0.618034, 1.0) < it.share);
        });
    }

    [[nodiscard]] bool isDown(int instance) const
    {
        return isUnder(instance, QuotaFault::Restart) || isUnder(instance, QuotaFault::Absent)
                || isUnder(instance, QuotaFault::PowerLoss);
    }

    [[nodiscard]] bool isCutBetween(int from, int to) const
    {
        return isUnder(from, QuotaFault::Cut) || isUnder(to, QuotaFault::Cut)
                || isUnder(from, QuotaFault::Mute)
                || isUnder(from, QuotaFault::Split) != isUnder(to, QuotaFault::Split);
    }

    void start(ModelInstance &it)
    {
        it.incarnation = random_();
        it.policy = makeQuotaPolicy(policy_, it.incarnation, owner_);
        it.policy->setInstances(settings_.instances, clock());
        it.limitsKnown = 0;
        it.nextReport[0] = now_ + uniform(0, 0.3);
        it.nextReport[1] = now_ + uniform(0, 0.9);
    }

    void changeInstances()
    {
        weights_.clear();
        for (int i = 0; i < settings_.instances; ++i) {
            ModelInstance &it = fleet_[i];
            weights_.push_back(isDown(i) ? 0 : it.weight);
            if (isDown(i)) {
                it.policy.reset();
                continue;
            }
            if (!it.policy)
                start(it);
            while (it.limitsKnown < it.learnsAt.size() && it.learnsAt[it.limitsKnown] <= now_)
                it.policy->setLimit(settings_.limits[it.limitsKnown++].limit, clock());
            if (isUnder(i, QuotaFault::Freeze))
                continue;
            // Either may come first when an instance wakes.
            for (int j = 0; j < it.waitingRequests / 2; ++j)
                request(i, false);
            for (const ModelReport &report : it.waitingReports)
                it.policy->merge(report.incarnation, report.usage, report.heard, clock());
            for (int j = it.waitingRequests / 2; j < it.waitingRequests; ++j)
                request(i, false);
            it.waitingRequests = 0;
            it.waitingReports.clear();
        }
    }

    void sendReports()
    {
        for (int i = 0; i < settings_.instances; ++i) {
            ModelInstance &it = fleet_[i];
            if (!it.policy || isUnder(i, QuotaFault::Freeze))
                continue;
            for (const bool isCross : {false, true}) {
                if (now_ < it.nextReport[isCross])
                    continue;
                it.nextReport[isCross] = now_ + (isCross ? uniform(0.2, 0.9) : uniform(0.15, 0.3));
                const double delay = (isCross ? regionDelay : zoneDelay)
                        + (isUnder(i, QuotaFault::SlowReports) ? 1 : 0);
                ModelReport report{i, it.incarnation, isCross, it.policy->report(clock()),
                                   it.policy->heard(clock())};
                bytes_ += static_cast<double>(report.usage.size()) * usageBytes
                        * (isCross ? settings_.instances * (settings_.regions - 1.0)
                                           / settings_.regions
                                   : settings_.instances / static_cast<double>(settings_.regions));
                underway_.emplace(now_ + delay, std::move(report));
            }
        }
    }

    void deliver()
    {
        double loss = settings_.lossRate;
        for (const QuotaModelFault &it : settings_.faults) {
            if (it.kind == QuotaFault::Loss && now_ >= it.from && now_ < it.until)
                loss = it.share;
        }
        std::bernoulli_distribution isLost(loss);
        while (!underway_.empty() && underway_.begin()->first <= now_) {
            const ModelReport report = std::move(underway_.begin()->second);
            underway_.erase(underway_.begin());
            for (int i = 0; i < settings_.instances; ++i) {
                ModelInstance &it = fleet_[i];
                const bool isSameRegion =
                        i % settings_.regions == report.sender % settings_.regions;
                if (i == report.sender || !it.policy || isSameRegion == report.isCrossRegion
                    || isLost(random_) || isCutBetween(report.sender, i))
                    continue;
                if (isUnder(i, QuotaFault::Freeze))
                    it.waitingReports.push_back(report);
                else
                    it.policy->merge(report.incarnation, report.usage, report.heard, clock());
            }
        }
    }

    void arrive()
    {
        double perSecond = 0;
        for (const QuotaModelLoad &it : settings_.loads)
            perSecond = now_ >= it.from ? it.perSecond : perSecond;
        const int arrivals = std::poisson_distribution<int>(perSecond * step)(random_);
        if (std::ranges::all_of(weights_, [](double it) { return it == 0; }))
            return;
        while (!returning_.empty() && returning_.begin()->first <= now_) {
            returning_.erase(returning_.begin());
            ++result_.returned;
            result_.returnedAdmitted += arriveAt(pick(), true) ? 1 : 0;
        }
        for (int i = 0; i < arrivals; ++i)
            arriveAt(pick(), false);
    }

    int pick()
    {
        return std::discrete_distribution<int>(weights_.begin(), weights_.end())(random_);
    }

    bool arriveAt(int instance, bool isReturn)
    {
        if (!isUnder(instance, QuotaFault::Freeze))
            return request(instance, isReturn);
        auto &waiting = fleet_[instance].waitingRequests;
        waiting = std::min(waiting + 1, static_cast<int>(maxWaiting));
        return false;
    }

    bool request(int instance, bool isReturn)
    {
        // The owner is an instance like any other.
        owner_.isReachable = !isDown(0) && !isUnder(0, QuotaFault::Freeze)
                && (instance == 0 || !isCutBetween(0, instance));
        const QuotaVerdict verdict = fleet_[instance].policy->admit(clock());
        requests_.push_back({now_, verdict.isAdmitted});
        if (!verdict.isAdmitted && settings_.returns && !isReturn)
            returning_.emplace(now_ + toSeconds(verdict.retryAfter), 0);
        return verdict.isAdmitted;
    }

    // Compares what ran with the bound in each window, and with one bucket for the whole fleet.
    void judge();

    struct Request
    {
        double at = 0;
        bool isAdmitted = false;
    };

    QuotaPolicy policy_;
    const QuotaModelSettings &settings_;
    std::mt19937_64 random_;
    QuotaOwner owner_;
    std::vector<ModelInstance> fleet_;
    std::vector<double> weights_;
    std::multimap<double, ModelReport> underway_;
    std::multimap<double, int> returning_;
    std::vector<Request> requests_;
    double now_ = 0;
    double bytes_ = 0;
    QuotaModelResult result_;
};

void Model::judge()
{
    // A lower limit binds one window after each instance has learned it.
    const auto limitAt = [&](double at, double late) {
        QuotaLimit limit;
        for (const QuotaModelLimit &it : settings_.limits) {
            if (at >= it.from + (it.from > 0 ? late : 0))
                limit = it.limit;
        }
        return limit;
    };
    const double late = settings_.learnSeconds + quotaWindowSeconds;
    std::deque<double> window;
    QuotaLimit limit;
    double level = 0; // of one bucket for the fleet, which starts without burst too
    double updatedAt = 0;
    std::map<int, std::pair<double, double>> served; // owed and admitted by window
    for (const Request &it : requests_) {
        if (it.isAdmitted) {
            window.push_back(it.at);
            while (window.front() <= it.at - quotaWindowSeconds)
                window.pop_front();
            const auto bound = [](const QuotaLimit &of) {
                return (of.perSecond * quotaWindowSeconds + of.burst) * 1.1 + 20;
            };
            const double allowed = std::max(bound(limitAt(it.at, late)), bound(limitAt(it.at, 0)));
            result_.worstWindow =
                    std::max(result_.worstWindow, static_cast<double>(window.size()) / allowed);
        }
        limit = limitAt(it.at, 0);
        level = std::min(level + limit.perSecond * (it.at - updatedAt), std::max(limit.burst, 1.0));
        updatedAt = it.at;
        const bool isOwed = level >= 1;
        level -= isOwed ? 1 : 0;
        if (it.at < settings_.warmUp)
            continue;
        auto &[owed, admitted] = served[static_cast<int>(it.at / quotaWindowSeconds)];
        ++result_.asked;
        result_.admitted += it.isAdmitted ? 1 : 0;
        admitted += it.isAdmitted ? 1 : 0;
        owed += isOwed ? 1 : 0;
        result_.owed += isOwed ? 1 : 0;
    }
    // What ran too early is made up for later, but not the other way round.
    double ahead = 0;
    double missed = 0;
    for (const auto &[index, counts] : served) {
        ahead += counts.second - counts.first;
        missed += std::max(-ahead, 0.0);
        ahead = std::max(ahead, 0.0);
    }
    if (result_.owed > 0)
        result_.servedShare = 1 - missed / static_cast<double>(result_.owed);
    const double instanceSeconds = settings_.instances * (settings_.warmUp + settings_.seconds);
    result_.messages = static_cast<double>(owner_.messages) / instanceSeconds;
    result_.bytes = bytes_ / instanceSeconds + result_.messages * usageBytes;
}

} // namespace

QuotaModelResult runQuotaModel(QuotaPolicy policy, const QuotaModelSettings &settings)
{
    return Model(policy, settings).run();
}

} // namespace chestnutvane
