// For tests and benchmarks: a gateway whose targets have no free slot, so that requests wait.
//
// Example:
//
//   CrowdedGateway crowded(234);
//   crowded.sendRequests(30);
//   crowded.gateway.scheduleFullPasses();
//   crowded.io.poll();
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/base/result.h"
#include "chestnutvane/process/gateway/gateway.h"

namespace chestnutvane {

class CrowdedGateway
{
public:
    // The last two are the settings of these names.
    explicit CrowdedGateway(std::size_t targets, int targetQueue = 0,
                            WorkModelMode workModel = WorkModelMode::Auto)
        : settings_(makeSettings(targetQueue)), gateway(io, settings_, metrics)
    {
        settings_.workModel = workModel;
        std::vector<TargetEntry> entries(targets);
        for (std::size_t i = 0; i < targets; ++i) {
            entries[i].id = "t" + std::to_string(i);
            entries[i].service = service;
            entries[i].address = "127.0.0.1:1";
            entries[i].zone = i % 2 == 0 ? "near" : "far";
            entries[i].slots = slots;
        }
        gateway.registry().replaceAll(entries, Clock::now(), RemovalPolicy::Immediate);
        gateway.setRoutes(makeRoutes(0));
        gateway.setListedInstances({});
        reportAllBusy();
    }

    // Applies a report of another instance that occupies all slots.
    void reportAllBusy() { reportInFlight(slots); }

    // Applies a report of another instance that occupies no slot.
    void reportAllIdle() { reportInFlight(0); }

    void sendRequests(int requests)
    {
        for (int i = 0; i < requests; ++i) {
            gateway.handle(makeCall(settings_, i, [this] { ++answered; }));
        }
    }

    // Routes that send the requests of makeCall() to the service, whose targets allow the given
    // requests a second in their cold start.
    static std::shared_ptr<const RouteTable> makeRoutes(double coldPerSecond)
    {
        ServiceSpec spec;
        spec.name = service;
        spec.coldPerSecond = coldPerSecond;
        Route route;
        route.name = "views";
        route.host = "example.org";
        route.pathPrefix = "/";
        route.repeat = Repeat::Idempotent;
        route.shares = {{service, 1}};
        route.timeLimit = std::chrono::seconds(600);
        route.aim = std::chrono::seconds(300);
        route.objectAffinity = true;
        return value(RouteTable::create(1, {route}, {{service, spec}}, {}));
    }

    // A request that arrives now. Requests of different positions are for different objects.
    static Call makeCall(const GatewaySettings &settings, int position,
                         const std::function<void()> &onAnswer)
    {
        auto request = std::make_shared<HttpRequestMessage>(http::verb::get, "/view", 11);
        request->set(http::field::host, "example.org");
        request->set(settings.headers.objectKey, std::to_string(position));
        Call call;
        call.request = std::move(request);
        call.arrival = Clock::now();
        call.answer = [onAnswer](const HttpResponseMessage &) { onAnswer(); };
        call.onGone = [](const std::function<void()> &) {};
        return call;
    }

    // The object key of a request of sendRequests(), by the position of the request.
    static std::uint64_t objectOf(int position)
    {
        return reportKey(hash64(std::to_string(position), hash64("/")));
    }

    // Number of requests sent to targets of the same region that were considered warm ("yes") or
    // cold ("no") for the object.
    [[nodiscard]] double sends(const std::string &warm) const
    {
        return metrics.value("vane_gateway_sends_total",
                             {{"service", service}, {"region", "here"}, {"warm", warm}});
    }

    // Number of full placement passes so far.
    [[nodiscard]] double fullPasses() const
    {
        return metrics.value("vane_gateway_looks_total", {{"service", service}});
    }

    static constexpr const char *service = "views";
    static constexpr int slots = 3;

    net::io_context io;
    Metrics metrics;

private:
    void reportInFlight(int inFlight)
    {
        LoadReport load;
        load.sender = {"other", 1, "near", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"};
        load.state = PeerState::Serving;
        load.sequence = ++sequence_;
        for (const auto &[hash, target] : gateway.registry().all())
            load.inFlight[hash] = inFlight;
        gateway.fleet().merge(std::move(load), Clock::now());
    }

    static GatewaySettings makeSettings(int targetQueue)
    {
        GatewaySettings settings;
        settings.instanceId = "i1";
        settings.zone = "near";
        settings.zoneRegions = {{"near", "here"}, {"far", "there"}};
        settings.targetQueue = targetQueue;
        return settings;
    }

    GatewaySettings settings_;
    std::uint64_t sequence_ = 0;

public:
    Gateway gateway;
    int answered = 0;
};

} // namespace chestnutvane
