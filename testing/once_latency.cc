// Prints the latency of idempotent and at-most-once requests with the store 0.5 ms and 55 ms away
// (one way) in the same run, and the store's writes meanwhile: once_latency [--network N].
//
// Exit status: 0 if all requests were answered and the store counted no compare-and-swap during
// them, 1 if not, 2 for bad arguments.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>

#include "testing/caller_results.h"
#include "testing/deployment.h"

namespace chestnutvane {
namespace {

constexpr Milliseconds servingTimeout{15'000};
constexpr int requestsInRound = 1000;
constexpr int rounds = 4;
constexpr int nearDelayMs = 1; // both ways together
constexpr int farDelayMs = 110;

const std::string ruleText =
        "region north zones=n-a # asked by Ada\n"
        "service shop # asked by Ada\n"
        "class views service=shop path=/views repeat=idempotent importance=1 deadline-ms=3000 "
        "queue-ms=500 silence-ms=1000 # asked by Ada\n"
        "class orders service=shop path=/orders repeat=at-most-once importance=0 deadline-ms=3000 "
        "queue-ms=500 silence-ms=1000 # asked by Ada\n"
        "target t-1 service=shop zone=n-a address=127.0.1.1:9000 slots=3 connections=330 # asked "
        "by "
        "Ada\n"
        "target t-2 service=shop zone=n-a address=127.0.1.2:9000 slots=3 connections=330 # asked "
        "by "
        "Ada\n"
        "clients 0.0.0.0/0 regions=north # asked by Ada\n";

struct Measured
{
    std::vector<std::int64_t> onceUs;
    std::vector<std::int64_t> idempotentUs;
    int failed = 0;
};

// The key prefix that a look-up names for an instance.
std::string keyPrefix(Deployment &deployment, const std::string &address)
{
    const auto answer = deployment.exchange(
            {.url = "http://" + address + "/v1/look-up?service=shop&client=10.1.0.7"});
    const auto body = isOk(answer) ? nlohmann::json::parse(value(answer).body, nullptr, false)
                                   : nlohmann::json();
    for (const auto &row : body.value("instances", nlohmann::json::array())) {
        if (row.value("address", "") == address)
            return row.value("key-prefix", "");
    }
    return {};
}

// Sends one request and adds its latency if it ran.
void measure(Deployment &deployment, HttpRequest request, std::vector<std::int64_t> &latenciesUs,
             int &failed)
{
    request.method = "POST";
    request.body = std::make_shared<const std::string>("order");
    const auto begin = Clock::now();
    const auto answer = deployment.exchange(std::move(request));
    const auto taken = Clock::now() - begin;
    if (isOk(answer) && value(answer).status == 200)
        latenciesUs.push_back(std::chrono::duration_cast<std::chrono::microseconds>(taken).count());
    else
        ++failed;
}

void sendRound(Deployment &deployment, int round, Measured &measured)
{
    const auto address = deployment.callerAddress(deployment.instances().front().id);
    const auto base = "http://" + address + "/s/shop";
    const auto prefix = keyPrefix(deployment, address);
    for (int i = 0; i < requestsInRound; ++i) {
        const auto key = fmt::format("{}.latency-{:04}-{:08}", prefix, round, i);
        measure(deployment,
                {.url = base + "/orders?work-ms=0&size=100", .headers = {{"Vane-Key", key}}},
                measured.onceUs, measured.failed);
        measure(deployment, {.url = base + "/views?work-ms=0&size=100"}, measured.idempotentUs,
                measured.failed);
    }
}

void print(const char *name, std::vector<std::int64_t> &latenciesUs)
{
    std::sort(latenciesUs.begin(), latenciesUs.end());
    fmt::print("  {:<14}{:>6} answered, p50 {:.2f} ms, p99 {:.2f} ms, p99.9 {:.2f} ms\n", name,
               latenciesUs.size(), percentileMs(latenciesUs, 0.5), percentileMs(latenciesUs, 0.99),
               percentileMs(latenciesUs, 0.999));
}

int execute(const DeploymentOptions &options)
{
    auto made = Deployment::create(options);
    if (!isOk(made)) {
        std::cerr << "once_latency: " << error(made).detail << "\n";
        return 1;
    }
    auto &deployment = *value(made);
    if (!deployment.waitUntilServing(servingTimeout)) {
        std::cerr << "once_latency: " << deployment.describeWait() << "\n";
        return 1;
    }
    int faults = 0;
    for (int round = 0; round < rounds; ++round) {
        const int delayMs = round % 2 == 0 ? nearDelayMs : farDelayMs;
        if (!deployment.control("store", {{"delay-ms", delayMs}}))
            return 1;
        const auto before = deployment.storeCounters().value("compare-and-swap", 0);
        Measured measured;
        sendRound(deployment, round, measured);
        const auto writes = deployment.storeCounters().value("compare-and-swap", 0) - before;
        fmt::print("store {:.1f} ms away: {} compare-and-swaps, {} requests failed\n",
                   delayMs / 2.0, writes, measured.failed);
        print("at most once", measured.onceUs);
        print("idempotent", measured.idempotentUs);
        faults += writes + measured.failed;
    }
    return faults == 0 ? 0 : 1;
}

} // namespace
} // namespace chestnutvane

int main(int argc, char **argv)
{
    using namespace chestnutvane;
    TCLAP::CmdLine command("Measures at-most-once requests with a near and a far store", ' ', "1");
    const TCLAP::ValueArg<std::string> programs("", "programs", "Build folder", false,
                                                "build/plain", "folder", command);
    const TCLAP::ValueArg<int> network("", "network", "Second part of all addresses", false, 21,
                                       "0-255", command);
    command.parse(argc, argv);
    return execute({.programFolder = programs.getValue(),
                    .network = network.getValue(),
                    .rules = ruleText,
                    .instances = {{"i1", "n-a"}, {"i2", "n-a"}, {"i3", "n-a"}}});
}
