#include "chestnutvane/process/slot_policy_model.h"

#include <deque>
#include <functional>
#include <random>

#include "chestnutvane/process/model_schedule.h"
#include "chestnutvane/process/slot_broker.h"

namespace chestnutvane {
namespace {

struct Arrival
{
    double arrivedAt = 0;
    double serviceMs = 0;
    int instance = 0;
    std::size_t classIndex = 0;
};

std::vector<Arrival> makeArrivals(const ModelSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    const double arrivalsPerMs =
            settings.offeredLoad * settings.targets * settings.slots / settings.meanServiceMs;
    std::exponential_distribution<double> interarrivalMs(arrivalsPerMs);
    std::exponential_distribution<double> service(1 / settings.meanServiceMs);
    std::uniform_int_distribution<int> instance(0, settings.instances - 1);
    std::vector<double> shares;
    for (const ModelClass &it : settings.classes)
        shares.push_back(it.share);
    std::discrete_distribution<std::size_t> classOf(shares.begin(), shares.end());
    std::vector<Arrival> arrivals;
    for (double arrivedAt = interarrivalMs(random); arrivedAt < settings.durationMs;
         arrivedAt += interarrivalMs(random))
        arrivals.push_back({arrivedAt, service(random), instance(random), classOf(random)});
    return arrivals;
}

// The targets, arrivals and measurements, common to all policies.
class Model
{
public:
    explicit Model(const ModelSettings &settings)
        : settings_(settings), arrivals_(makeArrivals(settings)),
          running_(static_cast<std::size_t>(settings.targets)), latencies_(settings.classes.size())
    {
        result_.classes.resize(settings.classes.size());
        for (const Arrival &arrival : arrivals_) {
            if (arrival.arrivedAt >= settings.warmUpMs)
                ++result_.classes[arrival.classIndex].arrived;
        }
    }

    // Records that a request started on a target.
    void dispatched(std::size_t target)
    {
        ++result_.dispatches;
        if (++running_[target] > settings_.slots)
            ++result_.aboveSlots;
    }

    // Records that a request completed on a target.
    void completed(std::size_t arrivalIndex, std::size_t target)
    {
        --running_[target];
        const Arrival &arrival = arrivals_[arrivalIndex];
        const double latency = schedule_.now() - arrival.arrivedAt;
        if (arrival.arrivedAt < settings_.warmUpMs)
            return;
        latencies_[arrival.classIndex].push_back(latency);
        if (latency <= settings_.classes[arrival.classIndex].deadlineMs
            && schedule_.now() <= settings_.durationMs)
            inTimeServiceMs_ += arrival.serviceMs;
    }

    // Records that the instance of a request received its refusal.
    void refused(std::size_t arrivalIndex)
    {
        const Arrival &arrival = arrivals_[arrivalIndex];
        if (arrival.arrivedAt < settings_.warmUpMs)
            return;
        ModelClassResult &counts = result_.classes[arrival.classIndex];
        ++counts.refused;
        if (schedule_.now() - arrival.arrivedAt <= settings_.roundTripMs + 1e-6)
            ++counts.refusedImmediately;
    }

    // Computes the result. To be called once, after the run.
    ModelResult finish()
    {
        std::vector<double> all;
        for (std::size_t i = 0; i < latencies_.size(); ++i) {
            std::vector<double> &values = latencies_[i];
            all.insert(all.end(), values.begin(), values.end());
            result_.classes[i].p50Ms = percentile(values, 0.5);
            result_.classes[i].p99Ms = percentile(values, 0.99);
            result_.classes[i].p999Ms = percentile(values, 0.999);
        }
        result_.p50Ms = percentile(all, 0.5);
        result_.p99Ms = percentile(all, 0.99);
        result_.p999Ms = percentile(all, 0.999);
        result_.goodput = inTimeServiceMs_
                / ((settings_.durationMs - settings_.warmUpMs) * settings_.targets
                   * settings_.slots);
        return result_;
    }

    Schedule &schedule() { return schedule_; }
    const std::vector<Arrival> &arrivals() { return arrivals_; }
    const ModelSettings &settings() { return settings_; }
    std::vector<int> &running() { return running_; }

private:
    ModelSettings settings_;
    std::vector<Arrival> arrivals_;
    Schedule schedule_;
    std::vector<int> running_;
    std::vector<std::vector<double>> latencies_;
    double inTimeServiceMs_ = 0; // service time of requests that met their deadline
    ModelResult result_;
};

ModelResult runOneQueue(const ModelSettings &settings)
{
    Model model(settings);
    std::deque<std::size_t> queue;
    std::function<void()> dispatchQueued = [&] {
        for (std::size_t target = 0; target < model.running().size(); ++target) {
            while (!queue.empty() && model.running()[target] < settings.slots) {
                const std::size_t index = queue.front();
                queue.pop_front();
                model.dispatched(target);
                model.schedule().at(model.schedule().now() + model.arrivals()[index].serviceMs,
                                    [&, index, target] {
                                        model.completed(index, target);
                                        dispatchQueued();
                                    });
            }
        }
    };
    for (std::size_t i = 0; i < model.arrivals().size(); ++i)
        model.schedule().at(model.arrivals()[i].arrivedAt, [&, i] {
            queue.push_back(i);
            dispatchQueued();
        });
    model.schedule().runAll();
    return model.finish();
}

ModelResult runLeastReportedLoad(const ModelSettings &settings)
{
    Model model(settings);
    Schedule &schedule = model.schedule();
    std::vector<int> inSystem(model.running().size()); // running and queued at the target
    std::vector<int> reported = inSystem;
    std::vector<std::deque<std::size_t>> waiting(inSystem.size());
    std::mt19937_64 random(settings.seed + 1);
    std::uint64_t aboveSlots = 0;
    std::function<void(std::size_t)> dispatchQueued = [&](std::size_t target) {
        while (!waiting[target].empty() && model.running()[target] < settings.slots) {
            const std::size_t index = waiting[target].front();
            waiting[target].pop_front();
            model.dispatched(target);
            schedule.at(schedule.now() + model.arrivals()[index].serviceMs, [&, index, target] {
                model.completed(index, target);
                --inSystem[target];
                dispatchQueued(target);
            });
        }
    };
    std::function<void()> report = [&] {
        reported = inSystem;
        if (schedule.now() < settings.durationMs)
            schedule.at(schedule.now() + settings.reportIntervalMs, report);
    };
    schedule.at(0, report);
    for (std::size_t i = 0; i < model.arrivals().size(); ++i)
        schedule.at(model.arrivals()[i].arrivedAt, [&, i] {
            const std::size_t start = random() % reported.size();
            std::size_t best = start;
            for (std::size_t k = 0; k < reported.size(); ++k) {
                const std::size_t target = (start + k) % reported.size();
                if (reported[target] < reported[best])
                    best = target;
            }
            if (++inSystem[best] > settings.slots)
                ++aboveSlots;
            waiting[best].push_back(i);
            dispatchQueued(best);
        });
    schedule.runAll();
    ModelResult result = model.finish();
    result.aboveSlots = aboveSlots;
    return result;
}

// The broker is on instance 0. Messages to and from the other instances take half a round trip.
class BrokerModel
{
public:
    explicit BrokerModel(const ModelSettings &settings)
        : model_(settings), broker_(1, BrokerSettings{.warmStart = true}),
          random_(settings.seed + 1)
    { }

    ModelResult run()
    {
        const ModelSettings &settings = model_.settings();
        std::vector<BrokerTarget> targets;
        targets.reserve(static_cast<std::size_t>(settings.targets));
        for (int i = 0; i < settings.targets; ++i)
            targets.push_back({static_cast<TargetId>(i), settings.slots, false, false});
        BrokerEffects ignored;
        broker_.allowGrantsUntil(TimePoint::max());
        broker_.setTargets(targets, modelTime(0), 0, ignored);
        broker_.startRebuild({}, modelTime(0), 0, ignored);
        for (std::size_t i = 0; i < model_.arrivals().size(); ++i) {
            const Arrival &arrival = model_.arrivals()[i];
            model_.schedule().at(arrival.arrivedAt + delay(arrival.instance),
                                 [this, i] { requestArrives(i); });
        }
        tick();
        model_.schedule().runAll();
        return model_.finish();
    }

private:
    double delay(int instance) { return instance == 0 ? 0 : model_.settings().roundTripMs / 2; }

    TimePoint now() { return modelTime(model_.schedule().now()); }

    void tick()
    {
        callBroker([&](BrokerEffects &effects) { broker_.tick(now(), random_(), effects); });
        if (model_.schedule().now() < model_.settings().durationMs * 1.2)
            model_.schedule().at(model_.schedule().now() + 10, [this] { tick(); });
    }

    void requestArrives(std::size_t index)
    {
        const Arrival &arrival = model_.arrivals()[index];
        const ModelClass &modelClass = model_.settings().classes[arrival.classIndex];
        GrantRequest request;
        request.holder = {1, static_cast<std::uint64_t>(arrival.instance)};
        request.sequence = index;
        request.importance = modelClass.importance;
        request.queueLimit = modelDuration(modelClass.queueLimitMs);
        request.remaining = modelDuration(modelClass.deadlineMs);
        callBroker([&](BrokerEffects &effects) {
            broker_.request(request, SuspectVerdict::Allowed, now(), random_(), effects);
        });
    }

    // Calls the broker and sends its effects to the instances.
    template <class Function>
    void callBroker(Function function)
    {
        BrokerEffects effects;
        function(effects);
        for (const BrokerEffect &effect : effects) {
            if (const auto *grant = std::get_if<GrantEffect>(&effect)) {
                afterDelay(static_cast<int>(grant->holder.low),
                           [this, it = *grant] { grantArrives(it); });
            } else if (const auto *refusal = std::get_if<RefusalEffect>(&effect)) {
                afterDelay(static_cast<int>(refusal->holder.low),
                           [this, index = refusal->sequence] { model_.refused(index); });
            }
        }
    }

    // Runs a function after the message delay between the broker and the instance.
    void afterDelay(int instance, std::function<void()> run)
    {
        model_.schedule().at(model_.schedule().now() + delay(instance), std::move(run));
    }

    void grantArrives(const GrantEffect &grant)
    {
        model_.dispatched(grant.target);
        const double service = model_.arrivals()[grant.sequence].serviceMs;
        model_.schedule().at(model_.schedule().now() + service, [this, grant, service] {
            model_.completed(grant.sequence, grant.target);
            afterDelay(static_cast<int>(grant.holder.low), [this, grant, service] {
                callBroker([&](BrokerEffects &effects) {
                    broker_.release(grant.holder, grant.id, GrantResult::Succeeded,
                                    modelDuration(service), now(), random_(), effects);
                });
            });
        });
    }

    Model model_;
    SlotBroker broker_;
    std::mt19937_64 random_;
};

} // namespace

ModelResult runSlotPolicy(SlotPolicy policy, const ModelSettings &settings)
{
    switch (policy) {
    case SlotPolicy::OneQueue:
        return runOneQueue(settings);
    case SlotPolicy::Broker:
        return BrokerModel(settings).run();
    case SlotPolicy::LeastReportedLoad:
        return runLeastReportedLoad(settings);
    }
    return {};
}

ModelSettings overloadSettings()
{
    ModelSettings settings;
    settings.offeredLoad = 3;
    settings.durationMs = 30000;
    // The classes need 45%, 75% and 180% of the slots.
    settings.classes = {{0, 0.15, 500, 3000}, {2, 0.25, 500, 3000}, {5, 0.60, 500, 3000}};
    return settings;
}

} // namespace chestnutvane
