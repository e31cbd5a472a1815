// Faults in the middle of a run of a whole deployment.
//
// Example:
//
//   InjectedFault fault(RunFault::StoreDown, deployment, logFolder);
//   fault.begin();
//   ...
//   fault.end();
//   fault.restoreRecords(records);
#pragma once

#include <map>
#include <string>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "testing/deployment.h"

namespace chestnutvane {

enum class RunFault {
    None,
    KillBroker, // SIGKILL of the broker of the first unit; started again at the end
    PauseInstance, // SIGSTOP of the first instance, longer than its lease, and SIGCONT
    StoreDown, // the store refuses all calls
    StoreSlow, // each call of the store takes 1 s longer
    TargetCrash, // SIGKILL of the first target; started again at the end
    RegionLost, // SIGKILL of all instances and targets of the last region; started again
};

inline constexpr EnumName<RunFault> runFaultNames[] = {
        {RunFault::None, "none"},
        {RunFault::KillBroker, "kill-broker"},
        {RunFault::PauseInstance, "pause-instance"},
        {RunFault::StoreDown, "store-down"},
        {RunFault::StoreSlow, "store-slow"},
        {RunFault::TargetCrash, "target-crash"},
        {RunFault::RegionLost, "region-lost"},
};

// Counts the runs by tag in the output of a target with --log-runs.
std::map<std::string, int> runsInLog(const std::string &text);

// One fault of a deployment whose targets run with --log-runs. Not thread-safe.
class InjectedFault
{
public:
    InjectedFault(RunFault fault, Deployment &deployment, std::string logFolder)
        : fault_(fault), deployment_(deployment), logFolder_(std::move(logFolder))
    { }

    void begin();
    void end();

    // Adds what killed targets had recorded before: runs from their output, and the other counts as
    // of directly before the kill.
    void restoreRecords(std::vector<TargetRecord> &records) const;

    // What was done, for the table.
    const std::string &description() const { return description_; }

private:
    void killAll(const std::vector<std::string> &names);
    std::string firstBroker();
    std::vector<std::string> lastRegion() const;

    RunFault fault_;
    Deployment &deployment_;
    std::string logFolder_;
    std::vector<std::string> killed_;
    std::vector<TargetRecord> before_; // records of all targets directly before a kill
    std::string description_;
};

} // namespace chestnutvane
