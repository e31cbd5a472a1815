// Measures the time and the allocations of one request and one release at the broker. Fails if they
// allocate in steady state; the time is only reported.
#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>

#include "chestnutvane/process/slot_broker.h"

namespace {

std::atomic<std::uint64_t> allocations{0};

} // namespace

// Not inlined, because the compiler would warn of mismatched new and free().
[[gnu::noinline]] void *operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void *memory = std::malloc(size == 0 ? 1 : size))
        return memory;
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace chestnutvane {
namespace {

// Keeps all slots in use and the queue at the given length, so that each release grants the slot to
// a queued request. With length 0 slots stay free and each request is granted at once.
void measureRequestAndRelease(benchmark::State &state, std::size_t targetCount,
                              std::uint64_t queued)
{
    SlotBroker broker(1, BrokerSettings{.warmStart = true});
    BrokerEffects effects;
    std::vector<GrantEffect> grants;
    std::vector<BrokerTarget> targets;
    for (std::size_t i = 0; i < targetCount; ++i)
        targets.push_back({i + 1, 3, false, false});
    broker.allowGrantsUntil(TimePoint::max());
    broker.setTargets(targets, TimePoint(), 0, effects);
    broker.startRebuild({}, TimePoint(), 0, effects);
    GrantRequest request;
    request.holder = {1, 1};
    request.queueLimit = std::chrono::hours(1);
    request.remaining = std::chrono::hours(1);
    TimePoint now;
    std::uint64_t random = 1;
    std::size_t oldest = 0;
    grants.resize(3 * targetCount);
    std::size_t grantCount = 0;
    const auto requestAndRelease = [&] {
        now += Microseconds(10);
        random = random * 6364136223846793005U + 1;
        if (grantCount == grants.size() || (queued == 0 && grantCount > grants.size() / 2)) {
            const GrantEffect &grant = grants[oldest];
            --grantCount;
            broker.release(grant.holder, grant.id, GrantResult::Succeeded, Milliseconds(20), now,
                           random, effects);
            oldest = (oldest + 1) % grants.size();
        }
        ++request.sequence;
        broker.request(request, SuspectVerdict::Allowed, now, random, effects);
        for (const BrokerEffect &effect : effects) {
            if (const auto *grant = std::get_if<GrantEffect>(&effect))
                grants[(oldest + grantCount++) % grants.size()] = *grant;
        }
        effects.clear();
    };
    for (std::uint64_t i = 0; i < 3 * targetCount + queued; ++i) {
        ++request.sequence;
        broker.request(request, SuspectVerdict::Allowed, now, random, effects);
        for (const BrokerEffect &effect : effects) {
            if (const auto *grant = std::get_if<GrantEffect>(&effect); grant && queued > 0)
                grants[grantCount++] = *grant;
            else if (grant != nullptr)
                broker.release(grant->holder, grant->id, GrantResult::NotSent, {}, now, random,
                               effects);
        }
        effects.clear();
    }
    for (int i = 0; i < 10000; ++i)
        requestAndRelease();
    const std::uint64_t allocationsBefore = allocations.load();
    std::uint64_t iterations = 0;
    for (auto _ : state) {
        requestAndRelease();
        ++iterations;
    }
    const std::uint64_t loopAllocations = allocations.load() - allocationsBefore;
    state.counters["allocations"] = static_cast<double>(loopAllocations);
    state.counters["queued"] = static_cast<double>(broker.status().queued);
    // The benchmark library itself allocates a few times around the loop, so a few are allowed.
    if (loopAllocations > 16 && loopAllocations > iterations / 1000)
        state.SkipWithError("request and release allocate in steady state");
}

void BM_RequestAndReleaseWithFreeSlots(benchmark::State &state)
{
    measureRequestAndRelease(state, static_cast<std::size_t>(state.range(0)), 0);
}
BENCHMARK(BM_RequestAndReleaseWithFreeSlots)->Arg(16)->Arg(200);

void BM_RequestAndReleaseWithQueue(benchmark::State &state)
{
    measureRequestAndRelease(state, static_cast<std::size_t>(state.range(0)), 200);
}
BENCHMARK(BM_RequestAndReleaseWithQueue)->Arg(16)->Arg(200);

} // namespace
} // namespace chestnutvane

BENCHMARK_MAIN();
