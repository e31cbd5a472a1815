// Starts a whole deployment on loopback: a store stand-in, one target stand-in for each target of
// the rules, and instances of chestnutvaned. All processes end with the object.
//
// Example:
//
//   auto made = Deployment::create({.programFolder = "build/plain",
//                                   .network = 40,
//                                   .rules = readRules("examples/liga.rules"),
//                                   .instances = {{"i1", "and-a"}, {"i2", "car-a"}}});
//   auto &deployment = *value(made);
//   deployment.waitUntilServing(Milliseconds{15'000});
//   deployment.sendSignal("i1", SIGKILL);
//   deployment.start("i1");
//
// Processes are named "store", by target name and by instance id. Addresses are 127.NETWORK.x.y:
// the store is at .0.2:8070, the instances are at .0.11 and up with the default ports, and targets
// keep the last two parts of their address in the rules. Two deployments with different networks
// can run at once.
//
// Not thread-safe, but for exchange().
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/connection/http_client.h"
#include "chestnutvane/version/rule_set.h"

namespace chestnutvane {

struct InstanceSpec
{
    std::string id;
    std::string zone;
};

struct DeploymentOptions
{
    std::string programFolder; // a build folder, with apps/ and testing/
    std::string logFolder; // must exist; empty: output goes to /dev/null
    int network = 0; // 0 to 255
    std::string rules; // text of a rule file; its targets are at 127.0.x.y
    std::vector<InstanceSpec> instances; // their callers' ports are at callerAddress()
    std::vector<std::string> instanceFlags; // added for every instance
    std::vector<std::string> targetFlags; // added for every target
};

struct DeploymentError
{
    std::string detail;
};

// The answer of POST /v1/apply, or "unreachable" as the outcome.
struct ApplyAnswer
{
    std::string outcome; // as in applyOutcomeNames
    std::string reason;
    std::uint64_t revision = 0;
};

// What a target stand-in recorded since its start.
struct TargetRecord
{
    std::string name;
    bool reachable = false; // false: nothing below is known
    std::string startId;
    std::uint64_t runs = 0;
    int mostRunning = 0;
    std::uint64_t aboveSlots = 0; // dispatches when all slots were in use
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0; // runs that ended because the sender closed the connection
    std::int64_t lastEndMs = 0; // end of the last work on the monotonic clock, 0: none
    std::map<std::string, int> runsByTag;
    std::map<std::string, int> cancelledByTag; // of these runs, those that count as cancelled
};

class Deployment
{
public:
    // Starts all processes and applies the rules as the first revision.
    static Result<std::unique_ptr<Deployment>, DeploymentError> create(DeploymentOptions options);

    // Kills and reaps all processes.
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    // Starts a process that does not run, with the arguments it had.
    bool start(const std::string &name);
    // Starts another program, for example a caller, under a name of its own.
    bool startProgram(const std::string &name, std::vector<std::string> arguments);
    // Sends a signal to a running process. False: it does not run.
    bool sendSignal(const std::string &name, int signal);
    // Waits for the end of a process. Returns its exit status, 128 + N if signal N ended it, or
    // nothing after the timeout.
    std::optional<int> waitForExit(const std::string &name, Milliseconds timeout);
    bool isRunning(const std::string &name);

    // Waits until /readyz of all running instances answers 200 and every unit has one broker that
    // does not rebuild. False: the timeout passed; describeWait() tells what was missing.
    bool waitUntilServing(Milliseconds timeout);
    const std::string &describeWait() const { return missing_; }

    // Applies rules through an instance on top of the revision that it holds.
    ApplyAnswer apply(const std::string &rules, const std::string &instanceId);

    // Sends JSON to /control of a target or to /control/faults of the store.
    bool control(const std::string &name, const nlohmann::json &change);
    nlohmann::json storeCounters();
    // Returns /v1/status of an instance, or null.
    nlohmann::json status(const std::string &instanceId);
    // Returns the records of all targets in the order of the rules.
    std::vector<TargetRecord> records();

    // Sends one request and waits for its end.
    Result<HttpResponse, HttpError> exchange(HttpRequest request);

    const RuleSet &rules() const { return rules_; }
    // The rules as applied, with the addresses of this network.
    const std::string &rulesText() const { return options_.rules; }
    const std::vector<InstanceSpec> &instances() const { return options_.instances; }
    std::string callerAddress(const std::string &instanceId) const; // "IP:port"
    std::string operatorAddress(const std::string &instanceId) const;
    std::string targetAddress(const std::string &name) const;
    std::string storeAddress() const;

private:
    struct Child
    {
        std::vector<std::string> arguments; // the program first
        int pid = 0; // 0: does not run
        int exitStatus = 0;
    };

    explicit Deployment(DeploymentOptions options);
    std::optional<DeploymentError> build();
    void addInstances();
    std::string instanceIp(const std::string &id) const;
    bool answers(const std::string &url);
    std::set<std::string> expectedUnits() const;
    std::string findMissing();
    void reap(Child &child, bool block);

    DeploymentOptions options_;
    RuleSet rules_;
    std::map<std::string, Child> children_;
    std::unique_ptr<HttpClient> client_;
    std::string missing_;
    std::uint64_t nextChange_ = 1;
};

} // namespace chestnutvane
