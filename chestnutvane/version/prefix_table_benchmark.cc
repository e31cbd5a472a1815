// Measures the prefix table at three sizes: memory, look-up time beside a dependent random memory
// access over as much memory and beside std::map, build time, and the time of an update done in
// three ways. Arguments are those of Google Benchmark.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstring>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <thread>

#include "chestnutvane/version/prefix_table.h"

namespace chestnutvane {
namespace {

constexpr int siteCount = 200;
constexpr std::size_t addressCount = 1 << 20;

// Blocks of the lengths that client tables have: most are /24 (IPv4) or /48 (IPv6).
ClientBlock randomBlock(IpFamily family, std::mt19937_64 &random)
{
    const auto pick = random() % 100;
    if (family == IpFamily::V4) {
        const int length = pick < 70 ? 24
                : pick < 90          ? 20 + static_cast<int>(random() % 4)
                : pick < 92          ? 16
                                     : 25 + static_cast<int>(random() % 8);
        return {maskAddress({random(), 0, family}, length), static_cast<std::uint8_t>(length)};
    }
    const int length = pick < 70 ? 48 : pick < 80 ? 32 : pick < 90 ? 56 : 64;
    // 8,192 providers with one /32 each.
    const std::uint64_t provider = 0x20010000 + (random() % 8192) * 97;
    return {maskAddress({provider << 32 | (random() & 0xffffffff), 0, family}, length),
            static_cast<std::uint8_t>(length)};
}

struct Workload
{
    std::vector<BlockChoice> blocks; // sorted
    std::vector<IpAddress> addresses; // each inside a random block
    PrefixTable table;
    std::size_t bytes = 0;
};

const Workload &workload(IpFamily family, std::size_t count)
{
    static std::map<std::pair<IpFamily, std::size_t>, std::unique_ptr<Workload>> made;
    auto &entry = made[{family, count}];
    if (entry)
        return *entry;
    entry = std::make_unique<Workload>();
    std::mt19937_64 random(count);
    auto &blocks = entry->blocks;
    const auto less = [](const BlockChoice &a, const BlockChoice &b) { return a.block < b.block; };
    const auto same = [](const BlockChoice &a, const BlockChoice &b) { return a.block == b.block; };
    while (blocks.size() < count) {
        while (blocks.size() < count + count / 16)
            blocks.push_back(
                    {randomBlock(family, random), static_cast<std::uint8_t>(random() % siteCount)});
        std::sort(blocks.begin(), blocks.end(), less);
        blocks.erase(std::unique(blocks.begin(), blocks.end(), same), blocks.end());
    }
    std::shuffle(blocks.begin(), blocks.end(), random);
    blocks.resize(count);
    for (std::size_t i = 0; i < addressCount; ++i) {
        const auto &block = blocks[random() % count].block;
        const std::uint64_t host = block.length >= 64 ? 0 : random() >> block.length;
        const std::uint64_t mask = family == IpFamily::V4 ? 0xffffffff00000000 : ~std::uint64_t{0};
        entry->addresses.push_back({(block.start.high | host) & mask, 0, family});
    }
    std::sort(blocks.begin(), blocks.end(), less);
    entry->table = value(PrefixTable::build(blocks));
    const auto size = entry->table.size();
    entry->bytes = size.v4Bytes + size.v6Bytes;
    return *entry;
}

std::size_t sizeOf(const benchmark::State &state)
{
    return static_cast<std::size_t>(state.range(0));
}

// Runs look-ups of which each waits for the one before: the next address depends on its result.
template <class F>
void runDependent(benchmark::State &state, const std::vector<IpAddress> &addresses, F &&lookUp)
{
    std::size_t next = 0;
    for (auto _ : state) {
        const std::uint8_t choice = lookUp(addresses[next]);
        next = (next + 1 + static_cast<std::size_t>(choice == 255)) % addressCount;
    }
    benchmark::DoNotOptimize(next);
}

template <IpFamily family>
void BM_LookUp(benchmark::State &state)
{
    const auto &work = workload(family, sizeOf(state));
    runDependent(state, work.addresses,
                 [&](const IpAddress &address) { return work.table.lookUp(address).value_or(0); });
    state.counters["bytes_per_block"] =
            static_cast<double>(work.bytes) / static_cast<double>(work.blocks.size());
    state.counters["update_bytes_per_block"] = static_cast<double>(work.table.size().v4UpdateBytes)
            / static_cast<double>(work.blocks.size());
}

// Follows one random cycle through as many bytes as the table has.
template <IpFamily family>
void BM_DependentAccess(benchmark::State &state)
{
    const std::size_t count = workload(family, sizeOf(state)).bytes / sizeof(std::uint32_t);
    std::vector<std::uint32_t> next(count);
    std::iota(next.begin(), next.end(), 0);
    std::mt19937_64 random(1);
    for (std::size_t i = count - 1; i > 0; --i)
        std::swap(next[i], next[random() % i]);
    std::uint32_t at = 0;
    for (auto _ : state)
        at = next[at];
    benchmark::DoNotOptimize(at);
}

// Ordered maps by block start. They ignore enclosing blocks, which favours them. BM_Map is filled
// in the order of the keys, so that neighbours lie side by side in memory; BM_MapShuffled in random
// order, as a map that grew by changes.
template <IpFamily family, bool shuffled>
void runMap(benchmark::State &state)
{
    const auto &work = workload(family, sizeOf(state));
    std::map<std::uint64_t, std::uint8_t> map;
    auto blocks = work.blocks;
    if (shuffled)
        std::shuffle(blocks.begin(), blocks.end(), std::mt19937_64(4));
    for (const auto &[block, choice] : blocks)
        map.insert_or_assign(block.start.high, choice);
    runDependent(state, work.addresses, [&](const IpAddress &address) {
        const auto after = map.upper_bound(address.high);
        return after == map.begin() ? std::uint8_t{0} : std::prev(after)->second;
    });
}

template <IpFamily family>
void BM_Map(benchmark::State &state)
{
    runMap<family, false>(state);
}

template <IpFamily family>
void BM_MapShuffled(benchmark::State &state)
{
    runMap<family, true>(state);
}

template <IpFamily family>
void BM_Build(benchmark::State &state)
{
    const auto &work = workload(family, sizeOf(state));
    for (auto _ : state)
        benchmark::DoNotOptimize(PrefixTable::build(work.blocks));
}

std::vector<BlockChange> randomChanges(const Workload &work, std::mt19937_64 &random)
{
    std::vector<BlockChange> changes;
    for (int i = 0; i < 8; ++i) {
        const auto &block = work.blocks[random() % work.blocks.size()].block;
        changes.push_back({block, static_cast<std::uint8_t>(random() % siteCount)});
    }
    changes[0].choice.reset();
    changes[1].block = randomBlock(changes[1].block.start.family, random);
    return changes;
}

// Way 1: copy the pages with a change and share the others.
template <IpFamily family>
void BM_UpdateSharedPages(benchmark::State &state)
{
    const auto &work = workload(family, sizeOf(state));
    std::mt19937_64 random(2);
    auto table = work.table;
    for (auto _ : state)
        table = table.withChanges(randomChanges(work, random));
}

// Way 2: copy all bytes of the table and alter the copy. Only the copy is timed, a lower bound.
template <IpFamily family>
void BM_UpdateCopyAll(benchmark::State &state)
{
    const auto &work = workload(family, sizeOf(state));
    const std::vector<char> from(work.bytes, 1);
    for (auto _ : state) {
        auto copy = std::make_unique_for_overwrite<char[]>(from.size());
        std::memcpy(copy.get(), from.data(), from.size());
        benchmark::DoNotOptimize(copy.get());
    }
}

// Way 3: list all blocks of the table, alter the list and build the table again.
template <IpFamily family>
void BM_UpdateRebuild(benchmark::State &state)
{
    const auto &work = workload(family, sizeOf(state));
    for (auto _ : state) {
        auto blocks = work.table.blocks();
        blocks.front().choice = 1;
        benchmark::DoNotOptimize(PrefixTable::build(std::move(blocks)));
    }
}

// Look-ups while another thread applies a change each millisecond. "longest_us" is the longest
// look-up with its read of the current table.
template <IpFamily family>
void BM_LookUpDuringUpdates(benchmark::State &state)
{
    const auto &work = workload(family, sizeOf(state));
    std::atomic<std::shared_ptr<const PrefixTable>> current(
            std::make_shared<const PrefixTable>(work.table));
    std::atomic<bool> stop = false;
    std::atomic<int> updates = 0;
    std::thread writer([&] {
        std::mt19937_64 random(3);
        while (!stop) {
            current.store(std::make_shared<const PrefixTable>(
                    current.load()->withChanges(randomChanges(work, random))));
            ++updates;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    });
    std::chrono::nanoseconds longest{0};
    std::size_t next = 0;
    for (auto _ : state) {
        const auto start = std::chrono::steady_clock::now();
        benchmark::DoNotOptimize(current.load()->lookUp(work.addresses[next]));
        longest = std::max<std::chrono::nanoseconds>(longest,
                                                     std::chrono::steady_clock::now() - start);
        next = (next + 1) % addressCount;
    }
    stop = true;
    writer.join();
    state.counters["longest_us"] = static_cast<double>(longest.count()) / 1000;
    state.counters["updates"] = updates.load();
}

void sizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Arg(100'000)->Arg(1'000'000)->Arg(4'100'000);
}

void slowSizes(benchmark::internal::Benchmark *benchmark)
{
    sizes(benchmark->Unit(benchmark::kMillisecond));
}

#define CHESTNUTVANE_BENCHMARKS(family) \
    BENCHMARK(BM_LookUp<family>)->Apply(sizes); \
    BENCHMARK(BM_DependentAccess<family>)->Apply(sizes); \
    BENCHMARK(BM_Map<family>)->Apply(sizes); \
    BENCHMARK(BM_MapShuffled<family>)->Apply(sizes); \
    BENCHMARK(BM_LookUpDuringUpdates<family>)->Apply(sizes); \
    BENCHMARK(BM_Build<family>)->Apply(slowSizes); \
    BENCHMARK(BM_UpdateSharedPages<family>)->Apply(slowSizes); \
    BENCHMARK(BM_UpdateCopyAll<family>)->Apply(slowSizes); \
    BENCHMARK(BM_UpdateRebuild<family>)->Apply(slowSizes)

CHESTNUTVANE_BENCHMARKS(IpFamily::V4);
CHESTNUTVANE_BENCHMARKS(IpFamily::V6);

} // namespace
} // namespace chestnutvane

BENCHMARK_MAIN();
