#include "chestnutvane/process/member_service.h"

#include "chestnutvane/process/log.h"
#include "chestnutvane/process/steering_service.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr Milliseconds heartbeatTimeout{1000};
constexpr Milliseconds leaseRetryDelay{300};
// The process counts as paused if the heartbeat timer is late by more than this number of periods.
constexpr int stallPeriods = 2;

std::vector<MoveReport> moveReports(const MoveProgress &moves, const Version *version)
{
    std::vector<MoveReport> reports;
    if (version == nullptr)
        return reports;
    for (const auto &move : version->rules.moves) {
        if (const auto seen = moves.observed(move.name))
            reports.push_back({.move = move.name,
                               .seenStep = seen->step,
                               .seenProgress = seen->progress,
                               .adoptedStep = moves.adoptedStep(move.name)});
    }
    return reports;
}

// Applies the headroom and the link rates in a record. Link rates in relayed records of this
// instance itself are ignored.
void applyReports(MembershipState &state, const MemberRecord &record, TimePoint madeAt)
{
    applyHeadroomReports(state.headroom, record, madeAt);
    if (!record.id.empty() && record.id != state.table.self().id)
        state.links.report(record.id, record.linkRates, madeAt);
}

} // namespace
} // namespace internal

MemberService::MemberService(Instance &instance, BrokerService &brokers, GrantService &grants)
    : instance_(instance), brokers_(brokers), grants_(grants)
{ }

void MemberService::start()
{
    instance_.membership.use([&](MembershipState &state) {
        for (const auto &peer : instance_.settings.peers)
            state.table.addSeed(peer);
        state.lastHeartbeatRun = Clock::now();
    });
    obtainLease();
    runHeartbeat();
    instance_.workers->every(instance_.settings.heartbeat, [this] {
        runHeartbeat();
        flushLog();
    });
    instance_.workers->every(instance_.settings.leaseRenewal, [this] { renewLease(); });
}

void MemberService::onHigherRevision(std::function<void(std::uint64_t)> callback)
{
    higherRevisionCallback_ = std::move(callback);
}

void MemberService::updateOwnRecord()
{
    const auto units = brokers_.heldUnits();
    const auto headroom = brokers_.headroom();
    const auto crashes = brokers_.crashCounts();
    std::uint64_t revision = 0;
    bool ready = false;
    instance_.configuration.use([&](ConfigurationState &state) {
        revision = state.holder.head().revision;
        ready = state.ready;
    });
    const auto now = Clock::now();
    const auto version = instance_.version();
    const auto keyWindow = instance_.once.use([&](OnceTable &once) {
        once.prefix(now); // starts a new key window if the current one has ended
        return once.window();
    });
    instance_.membership.use([&, revision = revision, ready = ready](MembershipState &state) {
        auto record = state.table.self();
        record.keyWindow = keyWindow;
        record.brokers = units;
        record.headroom = headroom;
        applyHeadroomReports(state.headroom, record, now);
        record.linkRates = state.links.ownRates(now);
        state.links.updateRemoteRates(now);
        record.moves = internal::moveReports(state.moves, version.get());
        record.crashCounts = crashes;
        record.revision = revision;
        record.state = state.leaving       ? MemberState::Leaving
                : ready && !state.isolated ? MemberState::Serving
                                           : MemberState::Joining;
        record.storeContactAge.reset();
        if (state.store.lastAnswer)
            record.storeContactAge =
                    std::chrono::duration_cast<Milliseconds>(now - *state.store.lastAnswer);
        state.table.updateSelf(std::move(record));
    });
}

void MemberService::runHeartbeat()
{
    updateOwnRecord();
    for (const auto &[address, heartbeat] : dueHeartbeats(Clock::now()))
        sendHeartbeat(address, heartbeat);
    grants_.sendHeldLists();
    updateIsolation();
    logStatusChanges();
}

std::vector<std::pair<std::string, Heartbeat>> MemberService::dueHeartbeats(TimePoint now)
{
    return instance_.membership.use([&](MembershipState &state) {
        if (now - state.lastHeartbeatRun
            > instance_.settings.heartbeat * (internal::stallPeriods + 1))
            state.stalledAt = now;
        if (state.table.isMesh() && areAllPeersStale(contactView(state, now), {}))
            state.stalledAt = now;
        state.lastHeartbeatRun = now;
        std::vector<std::pair<std::string, Heartbeat>> messages;
        for (const auto &destination : state.table.heartbeatDestinations(now)) {
            if (destination.peerAddress != state.table.self().peerAddress)
                messages.emplace_back(destination.peerAddress,
                                      state.table.makeHeartbeat(destination, now));
        }
        return messages;
    });
}

void MemberService::sendHeartbeat(const std::string &address, const Heartbeat &heartbeat)
{
    auto body = encodeHeartbeat(heartbeat);
    instance_.metrics.increment("vane_heartbeat_bytes_total", {}, static_cast<double>(body.size()));
    instance_.peers->call(address, "heartbeat", std::move(body), internal::heartbeatTimeout,
                          [this, address](const Result<std::string, PeerError> &reply) {
                              if (!isOk(reply)) {
                                  if (error(reply).failure == PeerFailure::Timeout)
                                      instance_.peers->disconnect(address);
                                  return;
                              }
                              if (auto answer = decodeHeartbeat(value(reply)); isOk(answer))
                                  instance_.workers->post(
                                          [this, content = value(answer)] { onReply(content); });
                          });
}

void MemberService::onReply(const Heartbeat &reply)
{
    receive(reply);
    instance_.membership.use(
            [&](MembershipState &state) { state.table.receiveReply(reply, Clock::now()); });
}

std::string MemberService::onHeartbeat(const std::string &body)
{
    const auto heartbeat = decodeHeartbeat(body);
    if (!isOk(heartbeat))
        return {};
    receive(value(heartbeat));
    const auto reply = instance_.membership.use([&](MembershipState &state) {
        return state.table.makeReply(value(heartbeat), Clock::now());
    });
    // Without content, the status of the answer still shows the sender that the link works.
    if (!reply)
        return {};
    auto bytes = encodeHeartbeat(*reply);
    instance_.metrics.increment("vane_heartbeat_bytes_total", {},
                                static_cast<double>(bytes.size()));
    return bytes;
}

void MemberService::receive(const Heartbeat &heartbeat)
{
    std::vector<CrashCount> crashes = heartbeat.sender.crashCounts;
    for (const auto &relayed : heartbeat.relayed)
        crashes.insert(crashes.end(), relayed.record.crashCounts.begin(),
                       relayed.record.crashCounts.end());
    brokers_.mergeCrashCounts(crashes);
    const auto result = instance_.membership.use([&](MembershipState &state) {
        state.everKnewPeer = true;
        const auto receivedAt = Clock::now();
        internal::applyReports(state, heartbeat.sender, receivedAt);
        for (const auto &relayed : heartbeat.relayed)
            internal::applyReports(state, relayed.record, receivedAt - relayed.age);
        for (const auto &move : heartbeat.sender.moves)
            state.moves.observe(move.move, {move.seenProgress, move.seenStep}, 0, Clock::now());
        return state.table.receive(heartbeat, Clock::now());
    });
    const bool shouldFetch = instance_.configuration.use([&](ConfigurationState &state) {
        return state.holder.recordPeerRevision(result.highestRevision);
    });
    if (shouldFetch && higherRevisionCallback_)
        higherRevisionCallback_(result.highestRevision);
}

void MemberService::logStatusChanges()
{
    const auto members = instance_.membership.use(
            [](MembershipState &state) { return state.table.members(Clock::now()); });
    const std::lock_guard lock(statusMutex_);
    for (const auto &member : members) {
        auto &status = statuses_[member.record.id];
        if (status == member.status)
            continue;
        status = member.status;
        logEvent(Event::MemberChanged,
                 {{"member", member.record.id},
                  {"zone", member.record.zone},
                  {"status", enumName(memberStatusNames, member.status)}});
    }
}

bool MemberService::mayAcceptWork()
{
    // The heartbeat timer updates the decision. It is recomputed here only if the timer is late,
    // for example after a pause of the process, because that copies all member records.
    const auto now = Clock::now();
    const auto cachedDecision = instance_.membership.use([&](MembershipState &state) {
        const bool isLate = now - state.lastHeartbeatRun
                > instance_.settings.heartbeat * (internal::stallPeriods + 1);
        return isLate ? std::nullopt : std::optional(!state.isolated);
    });
    return cachedDecision ? *cachedDecision : updateIsolation();
}

bool MemberService::updateIsolation()
{
    const auto now = Clock::now();
    const IsolationLimits limits{.isolatedAfter = instance_.settings.isolationLimit,
                                 .leaseTtl = instance_.settings.leaseTtl};
    bool changed = false;
    const bool isolated = instance_.membership.use([&](MembershipState &state) {
        const bool isolatedNow = chestnutvane::mayAcceptWork(contactView(state, now), limits)
                == WorkDecision::Isolated;
        changed = isolatedNow != state.isolated;
        state.isolated = isolatedNow;
        return isolatedNow;
    });
    if (changed)
        logEvent(isolated ? Event::Isolated : Event::ContactRegained, {});
    return !isolated;
}

void MemberService::beginLeaving()
{
    instance_.membership.use([](MembershipState &state) { state.leaving = true; });
    runHeartbeat();
}

void MemberService::obtainLease()
{
    const auto startedAt = Clock::now();
    instance_.store.grantLease(instance_.settings.leaseTtl,
                               [this, startedAt](Result<std::uint64_t, StoreError> result) {
                                   instance_.recordStoreCall(isStoreAnswer(result), Clock::now());
                                   if (isOk(result))
                                       writeLeaseKey(value(result), 0, startedAt);
                                   else
                                       instance_.workers->after(internal::leaseRetryDelay,
                                                                [this] { obtainLease(); });
                               });
}

void MemberService::writeLeaseKey(std::uint64_t leaseId, std::uint64_t expectedVersion,
                                  TimePoint startedAt)
{
    const auto key = "instance/" + instance_.settings.instanceId;
    instance_.store.compareAndSwap(
            {.key = key,
             .expectedVersion = expectedVersion,
             .value = instance_.incarnation,
             .leaseId = leaseId},
            [this, key, leaseId, startedAt](Result<std::uint64_t, StoreError> result) {
                instance_.recordStoreCall(isStoreAnswer(result), Clock::now());
                if (isOk(result)) {
                    onLeaseObtained(leaseId, startedAt);
                    return;
                }
                // The key of a previous incarnation still exists, or the answer was lost.
                instance_.store.get(
                        key, [this, leaseId, startedAt](Result<StoreEntry, StoreError> entry) {
                            if (isOk(entry) && value(entry).value == instance_.incarnation)
                                onLeaseObtained(leaseId, startedAt);
                            else if (isOk(entry))
                                writeLeaseKey(leaseId, value(entry).version, startedAt);
                            else
                                instance_.workers->after(internal::leaseRetryDelay,
                                                         [this] { obtainLease(); });
                        });
            });
}

void MemberService::onLeaseObtained(std::uint64_t leaseId, TimePoint startedAt)
{
    instance_.membership.use([&](MembershipState &state) {
        state.store.leaseId = leaseId;
        state.store.renewalStart = startedAt;
        state.store.leaseEverHeld = true;
    });
    logEvent(Event::LeaseObtained, {{"lease", leaseId}});
}

void MemberService::renewLease()
{
    const auto startedAt = Clock::now();
    const auto leaseId =
            instance_.membership.use([](MembershipState &state) { return state.store.leaseId; });
    if (leaseId == 0)
        return;
    instance_.store.keepAlive(leaseId, [this, startedAt](Result<Done, StoreError> result) {
        instance_.recordStoreCall(isStoreAnswer(result), Clock::now());
        if (isOk(result)) {
            instance_.membership.use(
                    [&](MembershipState &state) { state.store.renewalStart = startedAt; });
            return;
        }
        if (error(result).failure != StoreFailure::NotFound)
            return;
        instance_.membership.use([](MembershipState &state) {
            state.store.leaseId = 0;
            state.store.leaseLost = true;
        });
        logEvent(Event::LeaseLost, {});
        obtainLease();
    });
}

void MemberService::endLease(std::function<void()> done)
{
    const auto leaseId = instance_.membership.use(
            [](MembershipState &state) { return std::exchange(state.store.leaseId, 0); });
    if (leaseId == 0) {
        done();
        return;
    }
    instance_.store.revokeLease(leaseId,
                                [done = std::move(done)](Result<Done, StoreError>) { done(); });
}

} // namespace chestnutvane
