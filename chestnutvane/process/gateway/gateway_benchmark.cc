// CPU time of a full placement pass, by number of waiting requests and of targets.
#include <benchmark/benchmark.h>

#include "chestnutvane/process/gateway/crowded_gateway.h"

namespace {

void placementPass(benchmark::State &state)
{
    const auto waiting = static_cast<int>(state.range(0));
    const auto targets = static_cast<std::size_t>(state.range(1));
    chestnutvane::CrowdedGateway crowded(targets);
    crowded.sendRequests(waiting);
    for (auto round : state) {
        state.PauseTiming();
        crowded.reportAllBusy(); // reports expire
        state.ResumeTiming();
        crowded.gateway.scheduleFullPasses();
        crowded.io.restart();
        crowded.io.poll();
    }
    // Scored pairs of a request and a target.
    state.SetItemsProcessed(state.iterations() * waiting * state.range(1));
}

BENCHMARK(placementPass)->Args({5, 16})->Args({30, 234})->Args({30, 342});

} // namespace

BENCHMARK_MAIN();
