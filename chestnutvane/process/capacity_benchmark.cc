// Slopes of state, messages and CPU behind docs/CAPACITY.md, printed as tables.
//
// CPU is the time of this thread; memory is what the allocator has in use. Both are reported, not
// judged. The store calls are counted from the periods in the code, not measured.
#include <fmt/format.h>
#include <malloc.h>

#include <array>
#include <ctime>
#include <functional>
#include <nlohmann/json.hpp>

#include "chestnutvane/process/config_head.h"
#include "chestnutvane/process/grant_messages.h"
#include "chestnutvane/process/membership.h"
#include "chestnutvane/process/once_table.h"
#include "chestnutvane/process/slot_broker.h"
#include "chestnutvane/version/entry_choice.h"
#include "chestnutvane/version/version.h"

namespace chestnutvane {
namespace {

constexpr int zoneCount = 16; // of the target size
constexpr double beatsPerSecond = 5; // heartbeat period of 200 ms
constexpr double kilobyte = 1000;

// Bytes in use by the allocator of this single-threaded program.
double bytesInUse()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Mean CPU time of a call in microseconds, over at least 50 ms of calls.
double microsecondsOf(const std::function<void()> &call)
{
    call();
    const double start = cpuSeconds();
    double calls = 0;
    double spent = 0;
    do {
        call();
        ++calls;
        spent = cpuSeconds() - start;
    } while (spent < 0.05);
    return spent / calls * 1e6;
}

MemberRecord memberRecord(int index, int zones, int units)
{
    MemberRecord record;
    record.id = fmt::format("instance-{:04}", index);
    record.incarnation = fmt::format("{:032x}", index + 1);
    record.generation = 1'790'000'000'000U;
    record.sequence = 1'000'000;
    record.zone = fmt::format("zone-{:02}", index % zones);
    const std::string address = fmt::format("10.{}.{}.{}", index % zones, index / 250, index % 250);
    record.callerAddress = address + ":8080";
    record.operatorAddress = address + ":8081";
    record.peerAddress = address + ":8082";
    record.state = MemberState::Serving;
    record.revision = 150'000;
    record.keyWindow = 1000;
    record.storeContactAge = Milliseconds(120);
    for (int unit = 0; unit < units; ++unit) {
        const std::string service = fmt::format("service-{:02}", unit);
        record.brokers.push_back({service, "region-1", 12});
        record.headroom.push_back({service, "region-1", 12, 20, 48, 3, Milliseconds(0)});
    }
    return record;
}

MembershipTable fullTable(int members, int zones, int units, TimePoint now)
{
    MembershipTable table(memberRecord(0, zones, units), {});
    for (int i = 1; i < members; ++i)
        table.receive({memberRecord(i, zones, units), {}, {}}, now);
    return table;
}

void measureHeartbeats()
{
    fmt::print("\nHeartbeats of one instance, period 200 ms; sent: requests and answers\n"
               "{:>8}{:>6}{:>6}{:>8}{:>8}{:>8}{:>10}{:>8}{:>8}{:>8}{:>8}{:>10}\n",
               "members", "zones", "units", "targets", "bytes", "answer", "sent KB/s", "make us",
               "enc us", "dec us", "recv us", "% core");
    constexpr std::array<std::pair<int, int>, 5> sizes = {
            {{10, 6}, {100, zoneCount}, {200, zoneCount}, {400, zoneCount}, {830, zoneCount}}};
    for (const auto &[members, zones] : sizes) {
        for (const int units : {0, 1, 4}) {
            const TimePoint now{std::chrono::hours(1)};
            auto table = fullTable(members, zones, units, now);
            const auto targets = table.heartbeatDestinations(now);
            double bytes = 0;
            for (const auto &target : targets)
                bytes += static_cast<double>(
                        encodeHeartbeat(table.makeHeartbeat(target, now)).size());
            const auto count = static_cast<double>(targets.size());
            const double answerBytes =
                    static_cast<double>(encodeHeartbeat(table.makeHeartbeat({}, now)).size());
            Heartbeat beat = table.makeHeartbeat(targets.front(), now);
            const double make = microsecondsOf([&] { beat = table.makeHeartbeat({}, now); });
            std::string text;
            const double encoding = microsecondsOf([&] { text = encodeHeartbeat(beat); });
            const double decoding = microsecondsOf([&] { (void)decodeHeartbeat(text); });
            Heartbeat received{memberRecord(1, zones, units), beat.relayed, {}};
            const double receiving = microsecondsOf([&] {
                ++received.sender.sequence;
                for (auto &relayed : received.relayed)
                    ++relayed.record.sequence;
                table.receive(received, now);
            });
            // Each target gets a request and, as each member sends as much as it receives, an
            // answer to its own one; both directions are encoded, decoded and received.
            const double perSecond = 2 * count * beatsPerSecond;
            fmt::print("{:>8}{:>6}{:>6}{:>8}{:>8.0f}{:>8.0f}{:>10.1f}{:>8.1f}{:>8.1f}{:>8.1f}{:>8."
                       "1f}{:>10.2f}\n",
                       members, zones, units, targets.size(), bytes / count, answerBytes,
                       (bytes + count * answerBytes) * beatsPerSecond / kilobyte, make, encoding,
                       decoding, receiving,
                       perSecond * (make + encoding + decoding + receiving) * 1e-4);
        }
    }
}

void measureMembership()
{
    fmt::print("\nMembership table, 1 unit for each member\n{:>8}{:>12}{:>14}{:>16}{:>16}\n",
               "members", "bytes", "bytes/member", "members() us", "entry table us");
    for (const int members : {10, 100, 400, 830}) {
        const TimePoint now{std::chrono::hours(1)};
        const double before = bytesInUse();
        const auto table = fullTable(members, zoneCount, 1, now);
        const double bytes = bytesInUse() - before;
        const double copying = microsecondsOf([&] { (void)table.members(now); });
        std::vector<EntryInstance> instances;
        instances.reserve(members);
        for (const auto &member : table.members(now))
            instances.push_back(
                    {member.record.id, static_cast<RegionId>(instances.size() % 7), 1, true});
        const double indexing = microsecondsOf([&] { (void)makeEntryTable(instances, 7); });
        fmt::print("{:>8}{:>12.0f}{:>14.0f}{:>16.1f}{:>16.1f}\n", members, bytes, bytes / members,
                   copying, indexing);
    }
}

void measureOnceTable()
{
    fmt::print("\nOnce table, finished keys\n{:>8}{:>8}{:>8}{:>14}{:>12}{:>22}\n", "keys", "answer",
               "kept", "bytes", "bytes/kept", "begin and finish us");
    for (const int keys : {1000, 32768, 163839}) { // the last fills all windows kept
        for (const std::size_t answerBytes : {0U, 256U, 4096U}) {
            const std::string incarnation(incarnationDigits, 'a');
            const TimePoint now{std::chrono::hours(1)};
            const double before = bytesInUse();
            OnceTable table(incarnation, {}, now);
            const double start = cpuSeconds();
            for (int i = 0; i < keys; ++i) {
                const OneTimeKey key{incarnation, table.window(), fmt::format("{:024}", i)};
                const Fingerprint print{1, static_cast<std::uint64_t>(i)};
                (void)table.begin(key, print, 1, OnceSource::Caller, now);
                auto answer = std::make_shared<OnceAnswer>();
                answer->status = 200;
                answer->body.assign(answerBytes, 'x');
                (void)table.finish(key, {Outcome::Ran, Reason::None, 200, std::move(answer)}, now);
            }
            const double each = (cpuSeconds() - start) / keys * 1e6;
            const double bytes = bytesInUse() - before;
            fmt::print("{:>8}{:>8}{:>8}{:>14.0f}{:>12.0f}{:>22.2f}\n", keys, answerBytes,
                       table.entryCount(), bytes, bytes / static_cast<double>(table.entryCount()),
                       each);
        }
    }
}

// Grants every slot, then measures a release that passes its slot to a new request.
void measureBroker()
{
    fmt::print("\nSlot broker, 3 slots a target, all in use\n{:>8}{:>8}{:>14}{:>14}{:>12}{:>10}\n",
               "targets", "grants", "empty bytes", "full bytes", "pair us", "tick us");
    for (const std::size_t targetCount : {16U, 200U, 1000U}) {
        const TimePoint now{std::chrono::hours(1)};
        const double before = bytesInUse();
        SlotBroker broker(1, BrokerSettings{.warmStart = true});
        BrokerEffects effects;
        std::vector<BrokerTarget> targets;
        for (std::size_t i = 0; i < targetCount; ++i)
            targets.push_back({i + 1, 3, false, false});
        broker.allowGrantsUntil(TimePoint::max());
        broker.setTargets(targets, now, 1, effects);
        broker.startRebuild({}, now, 1, effects);
        const double empty = bytesInUse() - before;
        std::vector<GrantEffect> held;
        held.reserve(3 * targetCount + 1);
        GrantRequest request{.holder = {1, 1},
                             .queueLimit = Milliseconds(500),
                             .remaining = Milliseconds(maxGrantTime)};
        const auto ask = [&] {
            ++request.sequence;
            request.fingerprint = request.sequence;
            broker.request(request, SuspectVerdict::Allowed, now, request.sequence, effects);
            for (const auto &effect : effects) {
                if (const auto *grant = std::get_if<GrantEffect>(&effect))
                    held.push_back(*grant);
            }
            effects.clear();
        };
        for (std::size_t i = 0; i < 3 * targetCount; ++i)
            ask();
        const double full = bytesInUse() - before;
        const std::size_t grants = held.size();
        std::size_t oldest = 0;
        const double pair = microsecondsOf([&] {
            const GrantEffect grant = held[oldest];
            held[oldest] = held.back();
            held.pop_back();
            broker.release(grant.holder, grant.id, GrantResult::Succeeded, Milliseconds(20), now,
                           request.sequence, effects);
            ask();
            oldest = (oldest + 1) % held.size();
        });
        const double tick = microsecondsOf([&] {
            broker.tick(now, 1, effects);
            effects.clear();
        });
        fmt::print("{:>8}{:>8}{:>14.0f}{:>14.0f}{:>12.2f}{:>10.2f}\n", targetCount, grants, empty,
                   full, pair, tick);
    }
}

std::string rulesText(int targets, int blocks)
{
    std::string text;
    for (int region = 0; region < 7; ++region)
        text += fmt::format("region region-{0} zones=zone-{0}a,zone-{0}b # asked by Lin\n", region);
    text += "service web # asked by Lin\n"
            "class all service=web path=/ repeat=idempotent importance=1 deadline-ms=1000 "
            "queue-ms=200 silence-ms=300 # asked by Lin\n";
    for (int i = 0; i < targets; ++i)
        text += fmt::format(
                "target target-{0} service=web zone=zone-{1}a address=10.200.{2}.{3}:80 "
                "slots=3 connections=330 # asked by Lin\n",
                i, i % 7, i / 250, i % 250 + 1);
    for (int i = 0; i < blocks; ++i)
        text += fmt::format("clients {}.{}.{}.0/24 regions=region-{}:80,region-{}:20 # asked by "
                            "Mei\n",
                            1 + i / 65536, i / 256 % 256, i % 256, i % 7, (i + 1) % 7);
    return text;
}

void measureConfiguration()
{
    fmt::print("\nConfiguration; the store takes values up to 1 MB\n"
               "{:>8}{:>8}{:>12}{:>12}{:>12}{:>12}{:>14}\n",
               "targets", "blocks", "head bytes", "enc ms", "dec ms", "compile ms",
               "version bytes");
    constexpr std::array<std::pair<int, int>, 7> sizes = {{{16, 10},
                                                           {100, 10},
                                                           {200, 10},
                                                           {200, 1000},
                                                           {200, 10000},
                                                           {200, 30000},
                                                           {200, 100000}}};
    for (const auto &[targets, blocks] : sizes) {
        ConfigHead head;
        head.rules = rulesText(targets, blocks);
        for (int i = 1; i <= 64; ++i)
            head = nextConfigHead(head, fmt::format("{:032x}", i), "mei", head.rules);
        std::string text;
        const double encoding = microsecondsOf([&] { text = encodeConfigHead(head); });
        const double decoding = microsecondsOf([&] { (void)decodeConfigHead(text); });
        bool compiled = true;
        const double compiling = microsecondsOf(
                [&] { compiled = compiled && isOk(compileVersion(head.revision, head.rules)); });
        const double before = bytesInUse();
        const auto version = compileVersion(head.revision, head.rules);
        const double bytes = bytesInUse() - before;
        if (!compiled)
            fmt::print("rules refused: {}\n", error(version).detail);
        fmt::print("{:>8}{:>8}{:>12}{:>12.2f}{:>12.2f}{:>12.2f}{:>14.0f}\n", targets, blocks,
                   text.size(), encoding / 1000, decoding / 1000, compiling / 1000, bytes);
    }
}

void measureGrantMessages()
{
    fmt::print("\nPeer messages about grants\n{:>22}{:>8}{:>10}{:>10}\n", "message", "bytes",
               "enc us", "dec us");
    const HolderId holder{0x123456789abcdef0U, 0x0fedcba987654321U};
    const auto report = [](const std::string &name, const std::function<std::string()> &encodeIt,
                           const std::function<void(std::string_view)> &decodeIt) {
        std::string text;
        const double encoding = microsecondsOf([&] { text = encodeIt(); });
        const double decoding = microsecondsOf([&] { decodeIt(text); });
        fmt::print("{:>22}{:>8}{:>10.2f}{:>10.2f}\n", name, text.size(), encoding, decoding);
    };
    const std::uint64_t unit = unitIdOf("web", "region-1");
    const TargetId target = targetIdOf("target-1");
    const GrantRequestMessage wish{unit,
                                   {.holder = holder,
                                    .sequence = 1'000'000,
                                    .queueLimit = Milliseconds(500),
                                    .remaining = Milliseconds(3000),
                                    .fingerprint = target}};
    report(
            "grant-request", [&] { return encode(wish); },
            [](std::string_view text) { (void)decodeGrantRequest(text); });
    const GrantAnswer answer{unit, 1'000'000, Reason::None, {12, 1'000'000}, target, false, false};
    report(
            "its answer", [&] { return encode(answer); },
            [](std::string_view text) { (void)decodeGrantAnswer(text); });
    const GrantRelease release{
            unit, holder, {12, 1'000'000}, GrantResult::Succeeded, Milliseconds(20)};
    report(
            "grant-release", [&] { return encode(release); },
            [](std::string_view text) { (void)decodeGrantRelease(text); });
    for (const std::size_t count : {0U, 10U, 100U}) {
        GrantsHeld held{unit, holder, 1'000'000, 12, 1'000'000, {}, {}};
        held.held.assign(count, {{12, 1'000'000}, target, Milliseconds(2000), 1'000'000, target});
        report(
                fmt::format("grants-held of {}", count), [&] { return encode(held); },
                [](std::string_view text) { (void)decodeGrantsHeld(text); });
    }
}

// Counted from the code: MemberService renews the lease every 1.5 s; ConfigService watches
// config/head and BrokerService broker/ and instance/, each for 10 s at a time. A change of a
// watched prefix answers the watch of every instance with all entries of the prefix.
void countStoreCalls()
{
    constexpr double renewalSeconds = 1.5;
    constexpr double watchSeconds = 10;
    constexpr int watches = 3;
    constexpr double configChanges = 4100.0 / 86400;
    constexpr double restarts = 260.0 / 86400;
    // A lease key that is removed and one that is written.
    constexpr double leaseChanges = 2 * restarts;
    fmt::print("\nStore calls of the fleet, counted from the periods\n"
               "{:>10}{:>14}{:>14}{:>14}{:>16}{:>14}{:>16}\n",
               "instances", "renewals/s", "waiting", "idle reads/s", "changed reads/s",
               "lease list", "restart MB sent");
    for (const int instances : {10, 100, 830}) {
        const double entry = static_cast<double>(nlohmann::json{
                {"key", "instance/instance-0001"},
                {"value", std::string(incarnationDigits, 'a')},
                {"version", 1'000'000}}.dump()
                                                         .size());
        const double list = entry * instances;
        // Restarts are those of the target size, in proportion to the fleet.
        const double changes = configChanges + leaseChanges * instances / 830;
        fmt::print("{:>10}{:>14.1f}{:>14}{:>14.1f}{:>16.1f}{:>14.0f}{:>16.2f}\n", instances,
                   instances / renewalSeconds, instances * watches,
                   instances * watches / watchSeconds, instances * changes, list,
                   2 * list * instances / 1e6);
    }
}

} // namespace
} // namespace chestnutvane

int main()
{
    chestnutvane::measureHeartbeats();
    chestnutvane::measureMembership();
    chestnutvane::measureOnceTable();
    chestnutvane::measureBroker();
    chestnutvane::measureConfiguration();
    chestnutvane::measureGrantMessages();
    chestnutvane::countStoreCalls();
    return 0;
}
