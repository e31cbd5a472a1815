#include "chestnutvane/process/config_service.h"

#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr Milliseconds watchPause{300};
constexpr Milliseconds fetchTimeout{1000};
constexpr Milliseconds readinessInterval{100};

} // namespace
} // namespace internal

struct ConfigService::Apply
{
    ConfigApply machine;
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
                    instance_.workers->after(internal::watchPause,
                                             [this, afterVersion] { watch(afterVersion); });
                    return;
                }
                instance_.workers->post([this, found = std::move(value(result))] {
                    instance_.configuration.use(
                            [](ConfigurationState &state) { state.storeRead = true; });
                    for (const auto &entry : found.entries) {
                        if (entry.key != configHeadKey)
                            continue;
                        if (auto head = decodeConfigHead(entry.value); isOk(head))
                            offer(value(head), ConfigSource::Store);
                        else
                            logEvent(Event::ConfigRefused,
                                     {{"fault", enumName(configHeadFaultNames, error(head))}});
                    }
                    updateReadiness();
                    watch(found.version);
                });
            });
}

void ConfigService::offer(const ConfigHead &head, ConfigSource source)
{
    // Compiled outside of the lock, so that look-ups go on with the former revision.
    auto compiled = compileVersion(head.revision, head.rules);
    if (!isOk(compiled)) {
        logEvent(Event::ConfigRefused,
                 {{"revision", head.revision}, {"detail", error(compiled).detail}});
        return;
    }
    const auto outcome = instance_.configuration.use([&](ConfigurationState &state) {
        const auto verdict = state.holder.offer(head, source);
        if (verdict == ConfigOffer::Adopted) {
            state.version = value(compiled);
            state.drains.setRules(state.version->rules, Clock::now());
        }
        return verdict;
    });
    if (outcome == ConfigOffer::Adopted)
        logEvent(Event::ConfigAdopted,
                 {{"revision", head.revision},
                  {"source", source == ConfigSource::Store ? "store" : "peer"}});
    else if (outcome == ConfigOffer::Conflict)
        logEvent(Event::ConfigRefused, {{"revision", head.revision}, {"detail", "conflict"}});
}

void ConfigService::updateReadiness()
{
    StartContact contact;
    instance_.membership.use([&](MembershipState &state) {
        for (const auto &member : state.table.members(Clock::now())) {
            if (member.record.id == instance_.settings.instanceId)
                continue;
            if (member.status == MemberStatus::Serving || member.status == MemberStatus::Joining) {
                ++contact.livePeers;
                ++contact.peersHeard;
            }
        }
    });
    instance_.configuration.use([&](ConfigurationState &state) {
        contact.storeRead = state.storeRead;
        state.ready = state.version != nullptr
                && state.holder.readiness(contact) == ConfigReadiness::Ready;
    });
}

void ConfigService::fetchFromPeers()
{
    if (fetching_.exchange(true))
        return;
    const auto held = instance_.configuration.use(
            [](ConfigurationState &state) { return state.holder.head().revision; });
    std::string best;
    std::uint64_t highest = held;
    instance_.membership.use([&](MembershipState &state) {
        for (const auto &member : state.table.members(Clock::now())) {
            if (member.status == MemberStatus::Silent || member.status == MemberStatus::Expired
                || member.record.revision <= highest)
                continue;
            highest = member.record.revision;
            best = member.record.peerAddress;
        }
    });
    if (best.empty())
        fetching_ = false;
    else
        fetchFrom(best);
}

void ConfigService::fetchFrom(const std::string &address)
{
    logEvent(Event::ConfigFetched, {{"peer", address}});
    instance_.peers->call(address, "config-get", {}, internal::fetchTimeout,
                          [this](Result<std::string, PeerError> reply) {
                              instance_.workers->post([this, reply = std::move(reply)] {
                                  if (isOk(reply)) {
                                      if (auto head = decodeConfigHead(value(reply)); isOk(head))
                                          offer(value(head), ConfigSource::Peer);
                                  }
                                  fetching_ = false;
                              });
                          });
}

std::string ConfigService::heldHead()
{
    return instance_.configuration.use(
            [](ConfigurationState &state) { return encodeConfigHead(state.holder.head()); });
}

void ConfigService::apply(ApplyRequest request, std::function<void(ApplyVerdict)> callback)
{
    auto apply = std::make_shared<Apply>(
            Apply{ConfigApply(std::move(request), Clock::now()), std::move(callback)});
    auto next = apply->machine.start(Clock::now());
    step(apply, std::move(next));
}

void ConfigService::step(const std::shared_ptr<Apply> &apply, ApplyStep next)
{
    if (std::holds_alternative<ApplyRead>(next)) {
        instance_.store.get(std::string(configHeadKey),
                            [this, apply](Result<StoreEntry, StoreError> result) {
                                instance_.recordStoreCall(isStoreAnswer(result), Clock::now());
                                step(apply, apply->machine.onRead(result, Clock::now()));
                            });
    } else if (auto *write = std::get_if<ApplyWrite>(&next)) {
        instance_.store.compareAndSwap(
                std::move(write->call), [this, apply](Result<std::uint64_t, StoreError> result) {
                    instance_.recordStoreCall(isStoreAnswer(result), Clock::now());
                    step(apply, apply->machine.onWritten(result, Clock::now()));
                });
    } else if (const auto *pause = std::get_if<ApplyPause>(&next)) {
        instance_.workers->after(pause->length, [this, apply] {
            step(apply, apply->machine.onPauseOver(Clock::now()));
        });
    } else {
        auto &verdict = std::get<ApplyVerdict>(next);
        logEvent(Event::ConfigApplied,
                 {{"change", verdict.changeId},
                  {"outcome", enumName(applyOutcomeNames, verdict.outcome)},
                  {"reason", enumName(applyReasonNames, verdict.reason)}});
        if (verdict.outcome == ApplyOutcome::Accepted && verdict.head)
            offer(*verdict.head, ConfigSource::Store);
        apply->callback(std::move(verdict));
    }
}

} // namespace chestnutvane
