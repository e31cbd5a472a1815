#include "chestnutvane/process/config_service.h"

#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr Milliseconds watchRetryDelay{300}; // after a failed watch
constexpr Milliseconds fetchTimeout{1000}; // of a configuration fetch from a peer
constexpr Milliseconds readinessInterval{100}; // between readiness updates

} // namespace
} // namespace internal

// An apply in progress and the callback for its verdict.
struct ConfigService::Apply
{
    ConfigApply stateMachine;
    std::function<void(ApplyVerdict)> callback;
};

ConfigService::ConfigService(Instance &instance) : instance_(instance) { }

void ConfigService::start()
{
    watch(std::nullopt);
    instance_.workers->every(internal::readinessInterval, [this] { updateReadiness(); });
}

void ConfigService::watch(std::optional<std::uint64_t> afterVersion)
{
    instance_.watchStore(
            std::string(configHeadKey), afterVersion,
            [this, afterVersion](Result<WatchResult, StoreError> result) {
                if (!isOk(result)) {
                    instance_.workers->after(internal::watchRetryDelay,
                                             [this, afterVersion] { watch(afterVersion); });
                    return;
                }
                instance_.workers->post([this, watched = std::move(value(result))] {
                    instance_.configuration.use(
                            [](ConfigurationState &state) { state.storeRead = true; });
                    for (const auto &entry : watched.entries) {
                        if (entry.key != configHeadKey)
                            continue;
                        if (auto head = decodeConfigHead(entry.value); isOk(head))
                            adoptIfNewer(value(head), ConfigSource::Store);
                        else
                            logEvent(Event::ConfigRefused,
                                     {{"fault", enumName(configHeadErrorNames, error(head))}});
                    }
                    updateReadiness();
                    watch(watched.version);
                });
            });
}

void ConfigService::adoptIfNewer(const ConfigHead &head, ConfigSource source)
{
    // Compile outside the lock, so that look-ups continue with the previous revision meanwhile.
    auto compiled = compileVersion(head.revision, head.rules);
    if (!isOk(compiled)) {
        logEvent(Event::ConfigRefused,
                 {{"revision", head.revision}, {"detail", error(compiled).detail}});
        return;
    }
    const auto outcome = instance_.configuration.use([&](ConfigurationState &state) {
        const auto result = state.holder.adoptIfNewer(head, source);
        if (result == AdoptResult::Adopted) {
            state.version = value(compiled);
            state.drains.setRules(state.version->rules, Clock::now());
        }
        return result;
    });
    if (outcome == AdoptResult::Adopted)
        logEvent(Event::ConfigAdopted,
                 {{"revision", head.revision},
                  {"source", source == ConfigSource::Store ? "store" : "peer"}});
    else if (outcome == AdoptResult::Conflict)
        logEvent(Event::ConfigRefused, {{"revision", head.revision}, {"detail", "conflict"}});
}

void ConfigService::updateReadiness()
{
    StartupState startup;
    instance_.membership.use([&](MembershipState &state) {
        for (const auto &member : state.table.members(Clock::now())) {
            if (member.record.id == instance_.settings.instanceId)
                continue;
            if (member.status == MemberStatus::Serving || member.status == MemberStatus::Joining) {
                ++startup.livePeers;
                ++startup.peersReported;
            }
        }
    });
    instance_.configuration.use([&](ConfigurationState &state) {
        startup.storeRead = state.storeRead;
        state.ready = state.version != nullptr
                && state.holder.readiness(startup) == ConfigReadiness::Ready;
    });
}

void ConfigService::fetchFromPeers()
{
    if (fetching_.exchange(true))
        return;
    const auto ownRevision = instance_.configuration.use(
            [](ConfigurationState &state) { return state.holder.head().revision; });
    std::string bestPeerAddress;
    std::uint64_t highest = ownRevision;
    instance_.membership.use([&](MembershipState &state) {
        for (const auto &member : state.table.members(Clock::now())) {
            if (member.status == MemberStatus::Silent || member.status == MemberStatus::Expired
                || member.record.revision <= highest)
                continue;
            highest = member.record.revision;
            bestPeerAddress = member.record.peerAddress;
        }
    });
    if (bestPeerAddress.empty())
        fetching_ = false;
    else
        fetchFrom(bestPeerAddress);
}

void ConfigService::fetchFrom(const std::string &address)
{
    logEvent(Event::ConfigFetched, {{"peer", address}});
    instance_.peers->call(address, "config-get", {}, internal::fetchTimeout,
                          [this](Result<std::string, PeerError> reply) {
                              instance_.workers->post([this, reply = std::move(reply)] {
                                  if (isOk(reply)) {
                                      if (auto head = decodeConfigHead(value(reply)); isOk(head))
                                          adoptIfNewer(value(head), ConfigSource::Peer);
                                  }
                                  fetching_ = false;
                              });
                          });
}

std::string ConfigService::encodedHead()
{
    return instance_.configuration.use(
            [](ConfigurationState &state) { return encodeConfigHead(state.holder.head()); });
}

void ConfigService::apply(ApplyRequest request, std::function<void(ApplyVerdict)> callback)
{
    auto apply = std::make_shared<Apply>(
            Apply{ConfigApply(std::move(request), Clock::now()), std::move(callback)});
    auto next = apply->stateMachine.start(Clock::now());
    step(apply, std::move(next));
}

void ConfigService::step(const std::shared_ptr<Apply> &apply, ApplyStep next)
{
    if (std::holds_alternative<ApplyRead>(next)) {
        instance_.store.get(std::string(configHeadKey),
                            [this, apply](Result<StoreEntry, StoreError> result) {
                                instance_.recordStoreCall(isStoreAnswer(result), Clock::now());
                                step(apply, apply->stateMachine.onRead(result, Clock::now()));
                            });
    } else if (auto *write = std::get_if<ApplyWrite>(&next)) {
        instance_.store.compareAndSwap(
                std::move(write->call), [this, apply](Result<std::uint64_t, StoreError> result) {
                    instance_.recordStoreCall(isStoreAnswer(result), Clock::now());
                    step(apply, apply->stateMachine.onWritten(result, Clock::now()));
                });
    } else if (const auto *pause = std::get_if<ApplyPause>(&next)) {
        instance_.workers->after(pause->length, [this, apply] {
            step(apply, apply->stateMachine.onPauseElapsed(Clock::now()));
        });
    } else {
        auto &verdict = std::get<ApplyVerdict>(next);
        logEvent(Event::ConfigApplied,
                 {{"change", verdict.changeId},
                  {"outcome", enumName(applyOutcomeNames, verdict.outcome)},
                  {"reason", enumName(applyReasonNames, verdict.reason)}});
        if (verdict.outcome == ApplyOutcome::Accepted && verdict.head)
            adoptIfNewer(*verdict.head, ConfigSource::Store);
        apply->callback(std::move(verdict));
    }
}

} // namespace chestnutvane
