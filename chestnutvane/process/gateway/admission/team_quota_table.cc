// Prints what the policies for the quota of a team admit, in fleets of several sizes or in one of
// the size that is given as an argument. Only TeamQuotas is run in the largest, which takes
// minutes.
#include "chestnutvane/process/gateway/admission/team_quota_model.h"

#include <charconv>
#include <cstdio>
#include <string_view>

namespace chestnutvane {
namespace {

struct TableLoad
{
    const char *name;
    QuotaModelSettings settings;
};

std::vector<TableLoad> tableLoads(int instances, double perSecond)
{
    const double usual = perSecond / 1.6; // what a team sends if its limit is 1.6 times that
    const QuotaModelSettings steady{.instances = instances,
                                    .limits = {{0, {perSecond, perSecond}}},
                                    .loads = {{0, usual}},
                                    .seconds = 20};
    QuotaModelSettings atLimit = steady;
    atLimit.loads = {{0, perSecond}};
    QuotaModelSettings surge = steady;
    surge.loads = {{0, usual}, {8, usual * 7.5}, {14, usual}};
    QuotaModelSettings cut = surge;
    cut.faults = {{QuotaFault::Cut, 8, 20, 0.35}};
    QuotaModelSettings frozen = surge;
    frozen.faults = {{QuotaFault::Freeze, 9, 12.5, 0.2}};
    return {{"usual", steady},
            {"at the limit", atLimit},
            {"7.5 x", surge},
            {"7.5 x, 35% cut", cut},
            {"7.5 x, 20% frozen", frozen}};
}

void printTable(int only)
{
    std::printf("%9s %5s  %-17s  %-16s %7s %9s %7s %6s %6s\n", "instances", "limit", "load",
                "policy", "owed", "refused %", "bound %", "calls", "bytes");
    for (const int instances : {8, 61, 103, 300, 831}) {
        if (only != 0 && instances != only)
            continue;
        for (const double perSecond : {5.0, 60.0, 900.0}) {
            for (const auto &[load, settings] : tableLoads(instances, perSecond)) {
                for (const auto &[policy, name] : quotaPolicyNames) {
                    if (instances > 300 && policy != QuotaPolicy::FleetBucket)
                        continue;
                    const QuotaModelResult it = runQuotaModel(policy, settings);
                    std::printf("%9d %5.0f  %-17s  %-16.*s %7.0f %9.2f %7.1f %6.2f %6.0f\n",
                                instances, perSecond, load, static_cast<int>(name.size()),
                                name.data(), static_cast<double>(it.owed),
                                100 * (1 - it.servedShare), 100 * it.worstWindow, it.messages,
                                it.bytes);
                    std::fflush(stdout);
                }
            }
        }
    }
}

} // namespace
} // namespace chestnutvane

int main(int argc, char **argv)
{
    int only = 0;
    if (argc > 1) {
        const std::string_view text = argv[1];
        std::from_chars(text.data(), text.data() + text.size(), only);
    }
    chestnutvane::printTable(only);
}
