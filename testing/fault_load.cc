#include "testing/fault_load.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <string>

namespace chestnutvane {
namespace {

using nlohmann::json;

constexpr Milliseconds servingTimeout{20'000};
constexpr Milliseconds lookUpTimeout{500};

std::string makeRules()
{
    std::string text =
            "region north zones=n-a,n-b # asked by Ada\n"
            "region south zones=s-a,s-b # asked by Ada\n"
            "link north south capacity-mbps=280 # asked by Ada\n"
            "service shop # asked by Ada\n"
            "class views service=shop path=/views repeat=idempotent importance=1 deadline-ms=3000 "
            "queue-ms=500 silence-ms=300 # asked by Ada\n"
            "class orders service=shop path=/orders repeat=at-most-once importance=0 "
            "deadline-ms=3000 queue-ms=500 silence-ms=300 # asked by Ada\n"
            "class reports service=shop path=/reports repeat=idempotent importance=2 "
            "deadline-ms=20000 queue-ms=500 silence-ms=15000 # asked by Ada\n"
            "clients 0.0.0.0/0 regions=north:50,south:50 # asked by Ada\n";
    constexpr const char *zones[] = {"n-a", "n-b", "n-a", "s-a", "s-b", "s-a"};
    for (int i = 0; i < 6; ++i)
        text += fmt::format("target t-{} service=shop zone={} address=127.0.1.{}:9000 slots=3 "
                            "connections=330 # asked by Ada\n",
                            i + 1, zones[i], i + 1);
    return text;
}

std::string header(const HttpResponse &response, std::string_view name)
{
    const auto *text = findHeader(response.headers, name);
    return text == nullptr ? std::string() : *text;
}

} // namespace

FaultWorld::FaultWorld(int network)
    : network_(network), logFolder_((std::filesystem::temp_directory_path()
                                     / fmt::format("chestnutvane-fault-{}-{}", getuid(), network))
                                            .string())
{ }

bool FaultWorld::start()
{
    std::filesystem::remove_all(logFolder_);
    std::filesystem::create_directories(logFolder_);
    auto made = Deployment::create(
            {.programFolder = CHESTNUTVANE_BUILD_FOLDER,
             .logFolder = logFolder_,
             .network = network_,
             .rules = makeRules(),
             .instances = {{"i1", "n-a"}, {"i2", "n-b"}, {"i3", "s-a"}, {"i4", "s-b"}},
             .targetFlags = {"--log-runs"}});
    if (!isOk(made)) {
        problem_ = error(made).detail;
        return false;
    }
    deployment_ = std::move(value(made));
    if (deployment_->waitUntilServing(servingTimeout))
        return true;
    problem_ = deployment_->describeWait();
    return false;
}

std::vector<TargetLine> FaultWorld::targetLines() const
{
    std::vector<TargetLine> lines;
    for (const auto &target : deployment_->rules().targets) {
        std::ifstream file(logFolder_ + "/" + target.name + ".log");
        TargetLine line{.target = target.name};
        while (file >> line.what >> line.atMs >> line.tag)
            lines.push_back(line);
    }
    return lines;
}

std::map<std::string, int> FaultWorld::runsByTag() const
{
    std::map<std::string, int> runs;
    for (const auto &line : targetLines())
        ++runs[line.tag];
    return runs;
}

int FaultWorld::countRepeatedRuns(std::string_view prefix) const
{
    const auto runs = runsByTag();
    return static_cast<int>(std::count_if(runs.begin(), runs.end(), [prefix](const auto &entry) {
        return entry.first.starts_with(prefix) && entry.second > 1;
    }));
}

int FaultWorld::countEvents(std::string_view name) const
{
    const auto word = fmt::format(" {} ", name);
    int count = 0;
    for (const auto &instance : deployment_->instances()) {
        std::ifstream file(logFolder_ + "/" + instance.id + ".log");
        for (std::string line; std::getline(file, line);)
            count += line.find(word) != std::string::npos ? 1 : 0;
    }
    return count;
}

struct Load::Caller
{
    std::mt19937_64 random;
    std::string client;
    std::vector<Entry> entries;
    TimePoint validUntil;
};

Load::Load(Deployment &deployment, LoadOptions options)
    : deployment_(deployment), options_(std::move(options))
{
    for (int i = 0; i < options_.threads; ++i)
        threads_.emplace_back([this, i] { run(i); });
}

Load::~Load()
{
    stop();
}

std::vector<CallRecord> Load::stop()
{
    stopping_ = true;
    for (auto &thread : threads_)
        thread.join();
    threads_.clear();
    const std::lock_guard lock(mutex_);
    return calls_;
}

void Load::run(int thread)
{
    Caller caller;
    caller.random.seed(static_cast<std::uint64_t>(thread) + 1);
    caller.client = fmt::format("10.{}.{}.1", thread, thread * 37 % 256);
    auto next = Clock::now() + options_.period * thread / options_.threads;
    for (int number = 0; !stopping_; ++number) {
        if (options_.period.count() > 0) {
            std::this_thread::sleep_until(next);
            next += options_.period;
        }
        auto record = call(caller, fmt::format("{}-{}-{}", options_.prefix, thread, number));
        {
            const std::lock_guard lock(mutex_);
            calls_.push_back(std::move(record));
        }
        if (options_.period.count() == 0)
            std::this_thread::sleep_for(options_.pause);
    }
}

void Load::lookUp(Caller &caller)
{
    if (!caller.entries.empty() && Clock::now() < caller.validUntil)
        return;
    const auto &instances = deployment_.instances();
    const auto first = caller.random();
    for (std::size_t i = 0; i < instances.size(); ++i) {
        const auto asked = Clock::now();
        const auto &id = instances[(first + i) % instances.size()].id;
        const auto answer =
                deployment_.exchange({.url = "http://" + deployment_.callerAddress(id)
                                              + "/v1/look-up?service=shop&client=" + caller.client,
                                      .timeout = lookUpTimeout,
                                      .freshConnection = true});
        if (!isOk(answer) || value(answer).status != 200)
            continue;
        const auto body = json::parse(value(answer).body, nullptr, false);
        caller.entries.clear();
        for (const auto &entry : body.at("instances"))
            caller.entries.push_back({entry.at("address"), entry.at("key-prefix")});
        caller.validUntil = asked + Milliseconds(body.at("ttl-ms").get<std::int64_t>());
        return;
    }
}

CallRecord Load::call(Caller &caller, const std::string &tag)
{
    CallRecord record{.tag = tag, .startedAt = Clock::now()};
    lookUp(caller);
    if (caller.entries.empty()) {
        record.reason = "no look-up answer";
        record.endedAt = Clock::now();
        return record;
    }
    const auto first = caller.random();
    std::vector<HttpHeader> headers;
    if (options_.atMostOnce) {
        const auto &owner = caller.entries[first % caller.entries.size()];
        headers.push_back({"Vane-Key",
                           fmt::format("{}.{:016x}{:016x}", owner.keyPrefix, caller.random(),
                                       caller.random())});
    }
    while (record.sends < options_.maxSends) {
        const auto &entry = caller.entries[(first + static_cast<unsigned>(record.sends++))
                                           % caller.entries.size()];
        const auto answer = sendTo(deployment_, entry.address,
                                   options_.path + "?" + options_.query + "&tag=" + tag, headers,
                                   options_.sendTimeout);
        if (!isOk(answer)) {
            record.outcome.clear();
            record.reason = std::string(enumName(httpFailureNames, error(answer).failure));
            continue;
        }
        const auto &response = value(answer);
        record.status = response.status;
        record.outcome = header(response, "Vane-Outcome");
        record.reason = header(response, "Vane-Reason");
        record.crossed = record.crossed
                || (response.status == 200
                    && (response.body != tag || header(response, "Answer-Tag") != tag));
        if (record.outcome != "unknown")
            break;
    }
    record.endedAt = Clock::now();
    return record;
}

Result<HttpResponse, HttpError> sendTo(Deployment &deployment, const std::string &callerAddress,
                                       const std::string &target, std::vector<HttpHeader> headers,
                                       Milliseconds timeout)
{
    // A fresh connection, because libcurl may send again by itself on a pooled one.
    return deployment.exchange({.method = "POST",
                                .url = "http://" + callerAddress + "/s/shop" + target,
                                .headers = std::move(headers),
                                .body = std::make_shared<const std::string>("body"),
                                .timeout = timeout,
                                .freshConnection = true});
}

std::string summary(const std::vector<CallRecord> &calls)
{
    struct Group
    {
        int count = 0;
        TimePoint first = TimePoint::max();
        TimePoint last = TimePoint::min();
    };
    std::map<std::string, Group> groups;
    auto start = TimePoint::max();
    for (const auto &call : calls) {
        auto &group = groups[fmt::format("outcome={} status={} reason={}", call.outcome,
                                         call.status, call.reason)];
        ++group.count;
        group.first = std::min(group.first, call.startedAt);
        group.last = std::max(group.last, call.startedAt);
        start = std::min(start, call.startedAt);
    }
    const auto sinceStart = [start](TimePoint time) {
        return std::chrono::duration_cast<Milliseconds>(time - start).count();
    };
    std::string text;
    for (const auto &[name, group] : groups)
        text += fmt::format("{}: {} calls, begun {} to {} ms after the first\n", name, group.count,
                            sinceStart(group.first), sinceStart(group.last));
    return text;
}

std::size_t countFailed(const std::vector<CallRecord> &calls)
{
    return static_cast<std::size_t>(
            std::count_if(calls.begin(), calls.end(), [](const CallRecord &call) {
                return call.outcome != "ran" || call.status != 200 || call.crossed;
            }));
}

std::vector<CallRecord> startedSince(const std::vector<CallRecord> &calls, TimePoint time)
{
    std::vector<CallRecord> result;
    std::copy_if(calls.begin(), calls.end(), std::back_inserter(result),
                 [time](const CallRecord &call) { return call.startedAt >= time; });
    return result;
}

std::int64_t monotonicMs(TimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

std::string brokerOf(Deployment &deployment, const std::string &region)
{
    for (const auto &instance : deployment.instances()) {
        for (const auto &unit : deployment.status(instance.id).value("units", json::array())) {
            if (unit.value("region", "") == region)
                return instance.id;
        }
    }
    return {};
}

} // namespace chestnutvane
