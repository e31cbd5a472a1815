#include "testing/deployment.h"

#include <fmt/format.h>
#include <sys/wait.h>

#include <cerrno>
#include <csignal>
#include <future>
#include <thread>
#include <utility>

#include "chestnutvane/version/rule_parser.h"
#include "testing/spawn.h"

namespace chestnutvane {
namespace {

using nlohmann::json;

constexpr Milliseconds pollInterval{50};
constexpr Milliseconds startTimeout{10'000};
constexpr Milliseconds exchangeTimeout{1000};
constexpr Milliseconds applyTimeout{15'000};
constexpr int firstInstance = 11;
constexpr int callerPort = 8080;
constexpr int operatorPort = 8081;
constexpr int peerPort = 8082;
constexpr int storePort = 8070;

// Moves every address of 127.0.0.0/16 into the network.
std::string moveAddresses(std::string text, int network)
{
    constexpr std::string_view from = "address=127.0.";
    const std::string to = fmt::format("address=127.{}.", network);
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
    return text;
}

} // namespace

Deployment::Deployment(DeploymentOptions options) : options_(std::move(options)) { }

Deployment::~Deployment()
{
    for (auto &[name, child] : children_) {
        if (child.pid != 0)
            kill(child.pid, SIGKILL);
    }
    for (auto &[name, child] : children_)
        reap(child, true);
}

Result<std::unique_ptr<Deployment>, DeploymentError> Deployment::create(DeploymentOptions options)
{
    std::unique_ptr<Deployment> made(new Deployment(std::move(options)));
    if (auto failure = made->build())
        return *failure;
    return made;
}

std::optional<DeploymentError> Deployment::build()
{
    auto client = HttpClient::create({});
    if (!isOk(client))
        return DeploymentError{error(client).detail};
    client_ = std::move(value(client));
    options_.rules = moveAddresses(std::move(options_.rules), options_.network);
    auto parsed = parseRules(options_.rules);
    if (!isOk(parsed))
        return DeploymentError{mistakeText(error(parsed).front())};
    rules_ = std::move(value(parsed));
    if (options_.instances.empty())
        return DeploymentError{"a deployment needs an instance"};
    const auto &folder = options_.programFolder;
    children_["store"].arguments = {folder + "/testing/store_standin", "--address",
                                    fmt::format("127.{}.0.2", options_.network), "--port",
                                    std::to_string(storePort)};
    for (const auto &target : rules_.targets) {
        const auto colon = target.address.rfind(':');
        auto &arguments = children_[target.name].arguments;
        arguments = {folder + "/testing/target_standin",
                     "--address",
                     target.address.substr(0, colon),
                     "--port",
                     target.address.substr(colon + 1),
                     "--slots",
                     std::to_string(target.slots),
                     "--name",
                     target.name};
        arguments.insert(arguments.end(), options_.targetFlags.begin(), options_.targetFlags.end());
    }
    addInstances();
    for (const auto &[name, child] : children_) {
        if (!start(name))
            return DeploymentError{"cannot start " + child.arguments.front()};
    }
    const auto &first = options_.instances.front().id;
    if (!answers("http://" + storeAddress() + "/control/counters")
        || !answers("http://" + operatorAddress(first) + "/healthz"))
        return DeploymentError{"the store or the first instance does not answer"};
    ApplyAnswer answer;
    const auto end = Clock::now() + startTimeout;
    while (answer.outcome != "accepted" && Clock::now() < end) {
        answer = apply(options_.rules, first);
        if (answer.outcome != "accepted")
            std::this_thread::sleep_for(pollInterval);
    }
    if (answer.outcome != "accepted")
        return DeploymentError{
                fmt::format("the rules were not accepted: {} {}", answer.outcome, answer.reason)};
    return std::nullopt;
}

void Deployment::addInstances()
{
    std::string peers;
    for (const auto &instance : options_.instances)
        peers +=
                fmt::format("{}{}:{}", peers.empty() ? "" : ",", instanceIp(instance.id), peerPort);
    for (const auto &instance : options_.instances) {
        auto &arguments = children_[instance.id].arguments;
        arguments = {options_.programFolder + "/apps/chestnutvaned",
                     "--instance-id",
                     instance.id,
                     "--zone",
                     instance.zone,
                     "--address",
                     instanceIp(instance.id),
                     "--caller-port",
                     std::to_string(callerPort),
                     "--operator-port",
                     std::to_string(operatorPort),
                     "--peer-port",
                     std::to_string(peerPort),
                     "--store-url",
                     "http://" + storeAddress(),
                     "--peers",
                     peers};
        arguments.insert(arguments.end(), options_.instanceFlags.begin(),
                         options_.instanceFlags.end());
    }
}

bool Deployment::start(const std::string &name)
{
    const auto found = children_.find(name);
    if (found == children_.end() || isRunning(name))
        return false;
    const auto output = options_.logFolder.empty() ? std::string("/dev/null")
                                                   : options_.logFolder + "/" + name + ".log";
    found->second.pid = spawnProgram(found->second.arguments, output);
    return found->second.pid != 0;
}

bool Deployment::startProgram(const std::string &name, std::vector<std::string> arguments)
{
    if (isRunning(name))
        return false;
    children_[name].arguments = std::move(arguments);
    return start(name);
}

bool Deployment::sendSignal(const std::string &name, int signal)
{
    return isRunning(name) && kill(children_[name].pid, signal) == 0;
}

void Deployment::reap(Child &child, bool block)
{
    if (child.pid == 0)
        return;
    int status = 0;
    pid_t ended = 0;
    do {
        ended = waitpid(child.pid, &status, block ? 0 : WNOHANG);
    } while (ended < 0 && errno == EINTR);
    if (ended == 0)
        return;
    child.pid = 0;
    child.exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool Deployment::isRunning(const std::string &name)
{
    const auto found = children_.find(name);
    if (found == children_.end())
        return false;
    reap(found->second, false);
    return found->second.pid != 0;
}

std::optional<int> Deployment::waitForExit(const std::string &name, Milliseconds timeout)
{
    const auto end = Clock::now() + timeout;
    while (isRunning(name)) {
        if (Clock::now() >= end)
            return std::nullopt;
        std::this_thread::sleep_for(Milliseconds{5});
    }
    const auto found = children_.find(name);
    return found == children_.end() ? std::nullopt : std::optional(found->second.exitStatus);
}

bool Deployment::answers(const std::string &url)
{
    const auto end = Clock::now() + startTimeout;
    while (Clock::now() < end) {
        if (isOk(exchange({.url = url, .timeout = exchangeTimeout})))
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

std::set<std::string> Deployment::expectedUnits() const
{
    std::set<std::string> units;
    for (const auto &target : rules_.targets) {
        for (const auto &region : rules_.regions) {
            for (const auto &zone : region.zones) {
                if (zone == target.zone)
                    units.insert(target.service + "/" + region.name);
            }
        }
    }
    return units;
}

std::string Deployment::findMissing()
{
    auto units = expectedUnits();
    for (const auto &instance : options_.instances) {
        if (!isRunning(instance.id))
            continue;
        const auto ready = exchange({.url = "http://" + operatorAddress(instance.id) + "/readyz",
                                     .timeout = exchangeTimeout});
        if (!isOk(ready) || value(ready).status != 200)
            return instance.id + " is not ready";
        for (const auto &unit : status(instance.id).value("units", json::array())) {
            if (!unit.value("rebuilding", true))
                units.erase(unit.value("service", "") + "/" + unit.value("region", ""));
        }
    }
    return units.empty() ? std::string() : *units.begin() + " has no broker";
}

bool Deployment::waitUntilServing(Milliseconds timeout)
{
    const auto end = Clock::now() + timeout;
    for (;;) {
        missing_ = findMissing();
        if (missing_.empty())
            return true;
        if (Clock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
}

ApplyAnswer Deployment::apply(const std::string &rules, const std::string &instanceId)
{
    const auto base = "http://" + operatorAddress(instanceId);
    const auto held = exchange({.url = base + "/v1/config", .timeout = exchangeTimeout});
    if (!isOk(held))
        return {.outcome = "unreachable"};
    const auto head = json::parse(value(held).body, nullptr, false);
    const json change{
            {"rules", rules},
            {"base-revision", head.is_object() ? head.value("revision", 0ULL) : 0ULL},
            {"change-id", fmt::format("deployment-{}-{}", options_.network, nextChange_++)},
            {"author", "deployment"}};
    const auto sent = exchange({.method = "POST",
                                .url = base + "/v1/apply",
                                .body = std::make_shared<const std::string>(change.dump()),
                                .timeout = applyTimeout});
    if (!isOk(sent))
        return {.outcome = "unreachable"};
    const auto answer = json::parse(value(sent).body, nullptr, false);
    if (!answer.is_object())
        return {.outcome = "unreachable"};
    return {answer.value("outcome", answer.value("error", "")),
            answer.value("reason", answer.value("detail", "")), answer.value("revision", 0ULL)};
}

bool Deployment::control(const std::string &name, const json &change)
{
    const auto url = name == "store" ? "http://" + storeAddress() + "/control/faults"
                                     : "http://" + targetAddress(name) + "/control";
    const auto answer = exchange({.method = "POST",
                                  .url = url,
                                  .body = std::make_shared<const std::string>(change.dump()),
                                  .timeout = exchangeTimeout});
    return isOk(answer) && value(answer).status == 204;
}

json Deployment::storeCounters()
{
    const auto answer = exchange(
            {.url = "http://" + storeAddress() + "/control/counters", .timeout = exchangeTimeout});
    return isOk(answer) ? json::parse(value(answer).body, nullptr, false) : json();
}

json Deployment::status(const std::string &instanceId)
{
    const auto answer = exchange({.url = "http://" + operatorAddress(instanceId) + "/v1/status",
                                  .timeout = exchangeTimeout});
    const auto body = isOk(answer) ? json::parse(value(answer).body, nullptr, false) : json();
    return body.is_object() ? body : json::object();
}

std::vector<TargetRecord> Deployment::records()
{
    std::vector<TargetRecord> result;
    for (const auto &target : rules_.targets) {
        TargetRecord record{.name = target.name};
        const auto answer = exchange(
                {.url = "http://" + target.address + "/control/records", .timeout = applyTimeout});
        const auto body = isOk(answer) ? json::parse(value(answer).body, nullptr, false) : json();
        if (body.is_object()) {
            record.reachable = true;
            record.startId = body.value("start-id", "");
            record.runs = body.value("runs", 0ULL);
            record.mostRunning = body.value("most-running", 0);
            record.aboveSlots = body.value("above-slots", 0ULL);
            record.shed = body.value("shed", 0ULL);
            record.cancelled = body.value("cancelled", 0ULL);
            record.lastEndMs = body.value("last-end-ms", std::int64_t{0});
            record.runsByTag = body.value("by-tag", std::map<std::string, int>{});
            record.cancelledByTag = body.value("cancelled-by-tag", std::map<std::string, int>{});
        }
        result.push_back(std::move(record));
    }
    return result;
}

Result<HttpResponse, HttpError> Deployment::exchange(HttpRequest request)
{
    auto done = std::make_shared<std::promise<Result<HttpResponse, HttpError>>>();
    auto future = done->get_future();
    client_->send(std::move(request), [done](Result<HttpResponse, HttpError> result) {
        done->set_value(std::move(result));
    });
    return future.get();
}

std::string Deployment::instanceIp(const std::string &id) const
{
    int number = firstInstance;
    for (const auto &instance : options_.instances) {
        if (instance.id == id)
            break;
        ++number;
    }
    return fmt::format("127.{}.0.{}", options_.network, number);
}

std::string Deployment::callerAddress(const std::string &instanceId) const
{
    return fmt::format("{}:{}", instanceIp(instanceId), callerPort);
}

std::string Deployment::operatorAddress(const std::string &instanceId) const
{
    return fmt::format("{}:{}", instanceIp(instanceId), operatorPort);
}

std::string Deployment::targetAddress(const std::string &name) const
{
    for (const auto &target : rules_.targets) {
        if (target.name == name)
            return target.address;
    }
    return {};
}

std::string Deployment::storeAddress() const
{
    return fmt::format("127.{}.0.2:{}", options_.network, storePort);
}

} // namespace chestnutvane
