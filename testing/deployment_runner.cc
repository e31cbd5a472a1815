// Runs a whole deployment on loopback under its callers' mix, drains a zone and restarts an
// instance on the way, and prints the result tables: deployment_runner lumenwick|liga.
// With --fault the fault of that name takes the place of the restart, for a quarter of the run.
//
// Exit status: 0 if every count that must be 0 is 0, 1 if one is not or the run failed, 2 for bad
// arguments.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "chestnutvane/version/rule_parser.h"
#include "testing/deployment.h"
#include "testing/run_fault.h"
#include "testing/run_scenario.h"
#include "testing/run_summary.h"

namespace chestnutvane {
namespace {

using nlohmann::json;

constexpr int instanceCount = 9;
constexpr int clientsInRegion = 200;
constexpr Milliseconds servingTimeout{15'000};
constexpr Milliseconds samplePeriod{200};
constexpr Milliseconds inForceTimeout{5000};
constexpr Milliseconds inForcePoll{5};
constexpr double drainAt = 0.35; // part of the callers' time
constexpr double restartAt = 0.55;
constexpr double faultFrom = 0.5;
constexpr double faultTo = 0.75;
constexpr Milliseconds callersGrace{15'000}; // for answers after the last request

struct Options
{
    std::string scenario;
    std::string programFolder;
    std::string rulesFolder;
    std::string logFolder;
    int network = 0;
    int seconds = 0;
    unsigned seed = 0;
    RunFault fault = RunFault::None;
};

std::int64_t monotonicMs()
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count();
}

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

// Acts on a deployment while its callers run.
class Run
{
public:
    Run(Options options, RunScenario scenario, Deployment &deployment)
        : options_(std::move(options)), scenario_(std::move(scenario)), deployment_(deployment),
          fault_(options_.fault, deployment, options_.logFolder)
    { }

    bool execute()
    {
        if (!startCallers())
            return false;
        const auto begin = Clock::now();
        const auto total = std::chrono::duration<double>(options_.seconds);
        const auto end = begin + std::chrono::seconds(options_.seconds) + callersGrace;
        while (Clock::now() < end && callersRun()) {
            const auto passed = Clock::now() - begin;
            if (drainedAtMs_ == 0 && passed > drainAt * total)
                drain();
            if (options_.fault != RunFault::None)
                followFault(passed / total);
            else if (restartedAtMs_ == 0 && passed > restartAt * total)
                terminate();
            followRestart();
            for (const auto &instance : deployment_.instances())
                addUnits(summary_, deployment_.status(instance.id));
            std::this_thread::sleep_for(samplePeriod);
        }
        finish();
        return true;
    }

    int print() const
    {
        std::cout << formatSummary(summary_, deployment_.rules());
        fmt::print(
                "drain of {}: {} after {} ms, in force at every instance after {} ms, last work on "
                "its targets after {} ms\n",
                scenario_.drainedZone, drainAnswer_.outcome, drainAcceptedMs_, drainInForceMs_,
                lastDrainedWorkMs_);
        const bool restarts = options_.fault == RunFault::None;
        if (restarts)
            fmt::print("restart of {}: exit status {} after {} ms\n", restarted_, exitStatus_,
                       exitAfterMs_);
        else
            fmt::print("fault {} from {:.1f} s to {:.1f} s of {} s: {}\n",
                       enumName(runFaultNames, options_.fault), faultFromSeconds_, faultToSeconds_,
                       options_.seconds, fault_.description());
        const bool planned = drainAnswer_.outcome == "accepted"
                && drainInForceMs_ < inForceTimeout.count()
                && (restarts ? exitStatus_ == 0 : faultToSeconds_ > 0);
        return summary_.faults() == 0 && planned ? 0 : 1;
    }

private:
    std::string callerName(const CallerGroup &group, const ServiceLoad &load) const
    {
        return "caller-" + group.region + "-" + load.service;
    }

    bool startCallers()
    {
        unsigned seed = options_.seed;
        for (const auto &group : scenario_.callers) {
            for (const auto &load : scenario_.services) {
                std::vector<std::string> arguments{
                        options_.programFolder + "/testing/caller_standin",
                        "--name",
                        group.region,
                        "--client-prefix",
                        group.clientPrefix,
                        "--clients",
                        std::to_string(clientsInRegion),
                        "--seconds",
                        std::to_string(options_.seconds),
                        "--rate",
                        fmt::format("{:.2f}", requestRate(deployment_.rules(), load, group)),
                        "--seed",
                        std::to_string(seed++),
                        "--mix",
                        load.mix.dump()};
                for (const auto &instance : deployment_.instances()) {
                    arguments.emplace_back("--instance");
                    arguments.push_back(deployment_.callerAddress(instance.id));
                }
                callers_.push_back(callerName(group, load));
                // Logs are added to; the report of an earlier run must not stay.
                std::filesystem::remove(options_.logFolder + "/" + callers_.back() + ".log");
                if (!deployment_.startProgram(callers_.back(), std::move(arguments)))
                    return false;
            }
        }
        return true;
    }

    bool callersRun()
    {
        return std::any_of(callers_.begin(), callers_.end(),
                           [this](const auto &name) { return deployment_.isRunning(name); });
    }

    void drain()
    {
        drainedAtMs_ = monotonicMs();
        drainAnswer_ = deployment_.apply(deployment_.rulesText() + "drain zone="
                                                 + scenario_.drainedZone + " # asked by runner\n",
                                         deployment_.instances().back().id);
        drainAcceptedMs_ = monotonicMs() - drainedAtMs_;
        const auto end = Clock::now() + inForceTimeout;
        while (!inForceEverywhere() && Clock::now() < end)
            std::this_thread::sleep_for(inForcePoll);
        drainInForceMs_ = monotonicMs() - drainedAtMs_;
    }

    bool inForceEverywhere()
    {
        const auto &all = deployment_.instances();
        return std::all_of(all.begin(), all.end(), [this](const auto &instance) {
            return deployment_.status(instance.id).value("revision", 0ULL) >= drainAnswer_.revision;
        });
    }

    void followFault(double passedPart)
    {
        const double seconds = passedPart * options_.seconds;
        if (faultFromSeconds_ == 0 && passedPart > faultFrom) {
            faultFromSeconds_ = seconds;
            fault_.begin();
        } else if (faultToSeconds_ == 0 && passedPart > faultTo) {
            faultToSeconds_ = seconds;
            fault_.end();
        }
    }

    void terminate()
    {
        restarted_ = deployment_.instances().front().id;
        restartedAtMs_ = monotonicMs();
        deployment_.sendSignal(restarted_, SIGTERM);
    }

    void followRestart()
    {
        if (restartedAtMs_ == 0 || exitAfterMs_ != 0 || deployment_.isRunning(restarted_))
            return;
        exitAfterMs_ = monotonicMs() - restartedAtMs_;
        exitStatus_ = deployment_.waitForExit(restarted_, Milliseconds{0}).value_or(-1);
        deployment_.start(restarted_);
    }

    void finish()
    {
        std::vector<json> reports;
        for (const auto &name : callers_)
            reports.push_back(json::parse(readFile(options_.logFolder + "/" + name + ".log"),
                                          nullptr, false));
        std::set<std::string> onceClasses;
        for (const auto &load : scenario_.services) {
            for (const auto &row : load.mix) {
                if (row.value("at-most-once", false))
                    onceClasses.insert(row.at("name").get<std::string>());
            }
        }
        auto records = deployment_.records();
        fault_.restoreRecords(records);
        const auto drained = targetsInZone(deployment_.rules(), scenario_.drainedZone);
        for (const auto &record : records) {
            if (drained.contains(record.name))
                lastDrainedWorkMs_ = std::max(lastDrainedWorkMs_, record.lastEndMs - drainedAtMs_);
        }
        addReports(summary_, reports, std::move(records), onceClasses);
    }

    const Options options_;
    const RunScenario scenario_;
    Deployment &deployment_;
    std::vector<std::string> callers_;
    RunSummary summary_;
    ApplyAnswer drainAnswer_;
    std::int64_t drainedAtMs_ = 0;
    std::int64_t drainAcceptedMs_ = 0;
    std::int64_t drainInForceMs_ = 0;
    std::int64_t lastDrainedWorkMs_ = 0;
    InjectedFault fault_;
    double faultFromSeconds_ = 0;
    double faultToSeconds_ = 0;
    std::string restarted_;
    std::int64_t restartedAtMs_ = 0;
    std::int64_t exitAfterMs_ = 0;
    int exitStatus_ = -1;
};

int execute(const Options &options, const RunScenario &scenario)
{
    const auto rules = readFile(options.rulesFolder + "/" + scenario.rulesFile);
    const auto parsed = parseRules(rules);
    if (!isOk(parsed) || value(parsed).regions.empty()) {
        std::cerr << "deployment_runner: cannot use " << scenario.rulesFile << "\n";
        return 1;
    }
    std::vector<std::string> targetFlags;
    if (options.fault != RunFault::None) {
        targetFlags.emplace_back("--log-runs");
        // Output is added to a log; runs of an earlier run must not be counted.
        for (const auto &target : value(parsed).targets)
            std::filesystem::remove(options.logFolder + "/" + target.name + ".log");
    }
    auto made = Deployment::create({.programFolder = options.programFolder,
                                    .logFolder = options.logFolder,
                                    .network = options.network,
                                    .rules = rules,
                                    .instances = placeInstances(value(parsed), instanceCount),
                                    .targetFlags = targetFlags});
    if (!isOk(made)) {
        std::cerr << "deployment_runner: " << error(made).detail << "\n";
        return 1;
    }
    auto &deployment = *value(made);
    if (!deployment.waitUntilServing(servingTimeout)) {
        std::cerr << "deployment_runner: " << deployment.describeWait() << "\n";
        return 1;
    }
    Run run(options, scenario, deployment);
    if (!run.execute()) {
        std::cerr << "deployment_runner: cannot start a caller\n";
        return 1;
    }
    return run.print();
}

int runnerMain(int argc, char **argv)
{
    TCLAP::CmdLine command("Runs a whole deployment and prints its result tables", ' ', "1");
    const TCLAP::UnlabeledValueArg<std::string> name("scenario", "lumenwick or liga", true, "",
                                                     "lumenwick|liga", command);
    const TCLAP::ValueArg<std::string> programs("", "programs", "Build folder", false,
                                                "build/plain", "folder", command);
    const TCLAP::ValueArg<std::string> rules("", "rules", "Folder of the rule files", false,
                                             "examples", "folder", command);
    const TCLAP::ValueArg<std::string> logs("", "logs", "Folder to keep the logs in", false, "",
                                            "folder", command);
    const TCLAP::ValueArg<int> network("", "network", "Second part of all addresses", false, 20,
                                       "0-255", command);
    const TCLAP::ValueArg<int> seconds("", "seconds", "Time for which callers send", false, 24, "s",
                                       command);
    const TCLAP::ValueArg<unsigned> seed("", "seed", "Seed of the callers", false, 20261204,
                                         "number", command);
    const TCLAP::ValueArg<std::string> faultName("", "fault", "Fault in the middle of the run",
                                                 false, "none", allEnumNames(runFaultNames),
                                                 command);
    command.parse(argc, argv);
    const auto fault = enumFromName(runFaultNames, faultName.getValue());
    if (!fault) {
        std::cerr << "deployment_runner: unknown fault \"" << faultName.getValue()
                  << "\"; allowed: " << allEnumNames(runFaultNames) << "\n";
        return 2;
    }
    const auto scenario = findScenario(name.getValue());
    if (!scenario) {
        std::cerr << "deployment_runner: unknown scenario \"" << name.getValue()
                  << "\"; allowed: lumenwick, liga\n";
        return 2;
    }
    Options options{name.getValue(),    programs.getValue(), rules.getValue(), logs.getValue(),
                    network.getValue(), seconds.getValue(),  seed.getValue(),  *fault};
    const bool keepLogs = !options.logFolder.empty();
    if (!keepLogs) {
        auto pattern = (std::filesystem::temp_directory_path() / "deployment-XXXXXX").string();
        if (mkdtemp(pattern.data()) == nullptr) {
            std::cerr << "deployment_runner: cannot make a folder for logs\n";
            return 1;
        }
        options.logFolder = pattern;
    }
    const int status = execute(options, *scenario);
    if (!keepLogs)
        std::filesystem::remove_all(options.logFolder);
    return status;
}

} // namespace
} // namespace chestnutvane

int main(int argc, char **argv)
{
    return chestnutvane::runnerMain(argc, argv);
}
