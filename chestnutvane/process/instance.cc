#include "chestnutvane/process/instance.h"

#include <charconv>
#include <utility>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

// Hashes the keys and versions of the entries.
std::uint64_t digestOf(const std::vector<StoreEntry> &entries)
{
    std::string text;
    for (const auto &entry : entries)
        text += entry.key + '=' + std::to_string(entry.version) + '\n';
    return hash64(text);
}

} // namespace

Instance::Instance(Settings processSettings, std::string ownIncarnation, HolderId holder,
                   MemberRecord self)
    : settings(std::move(processSettings)), incarnation(std::move(ownIncarnation)),
      holderId(holder), membership(std::move(self)), grants(holder),
      once(incarnation, OnceLimits{}, Clock::now())
{ }

std::shared_ptr<const Version> Instance::version()
{
    return configuration.use([](ConfigurationState &state) { return state.version; });
}

std::string Instance::region()
{
    const auto current = version();
    return current ? regionOfZone(*current, settings.zone) : std::string();
}

void Instance::watchStore(const std::string &prefix, std::optional<std::uint64_t> afterVersion,
                          std::function<void(Result<WatchResult, StoreError>)> callback)
{
    constexpr Milliseconds maxWatchWait{10'000};
    auto recordAndForward = [this, prefix, startedAt = Clock::now(), isFirst = !afterVersion,
                             callback =
                                     std::move(callback)](Result<WatchResult, StoreError> result) {
        bool isProof = true;
        if (isOk(result)) {
            const auto digest = digestOf(value(result).entries);
            isProof = membership.use([&](MembershipState &state) {
                const auto former = std::exchange(state.store.watchedDigests[prefix], digest);
                return former != digest;
            }) || isFirst;
        } else if (!isStoreAnswer(result)) {
            isProof = membership.use([startedAt](const MembershipState &state) {
                return !(state.store.lastAnswer > startedAt);
            });
        }
        recordStoreCall(isStoreAnswer(result), Clock::now(), isProof);
        callback(std::move(result));
    };
    if (!afterVersion)
        store.list(prefix, std::move(recordAndForward));
    else
        store.watch(prefix, *afterVersion, maxWatchWait, std::move(recordAndForward));
}

void Instance::recordStoreCall(bool answered, TimePoint now, bool isProof)
{
    metrics.increment("vane_store_calls_total", {{"answered", answered ? "yes" : "no"}});
    if (!isProof)
        return;
    const bool lost = membership.use([&](MembershipState &state) {
        auto &contact = state.store;
        const bool wasReachable = contact.reachable;
        if (answered && !contact.reachable)
            contact.reachableSince = now;
        contact.reachable = answered;
        if (answered)
            contact.lastAnswer = now;
        return wasReachable && !answered;
    });
    if (lost) // logged once per outage; the counter above includes every call
        logEvent(Event::StoreFailed, {});
}

HolderId holderIdOf(const std::string &incarnation)
{
    constexpr std::size_t half = incarnationDigits / 2;
    constexpr int hexadecimal = 16;
    HolderId id;
    if (incarnation.size() != incarnationDigits)
        return id;
    const char *text = incarnation.data();
    std::from_chars(text, text + half, id.high, hexadecimal);
    std::from_chars(text + half, text + incarnationDigits, id.low, hexadecimal);
    return id;
}

ContactView contactView(const MembershipState &state, TimePoint now)
{
    ContactView view;
    if (state.store.lastAnswer)
        view.storeContactAge = now - *state.store.lastAnswer;
    view.everKnewPeer = state.everKnewPeer;
    if (state.stalledAt)
        view.stallAge = now - *state.stalledAt;
    for (const auto &member : state.table.members(now)) {
        if (member.record.id == state.table.self().id || member.status == MemberStatus::Expired)
            continue;
        PeerContact contact{.heartbeatAge = now - member.lastSeenAt,
                            .storeContactAge = std::nullopt,
                            .sendsEveryPeriod = state.table.isMesh()};
        if (member.record.storeContactAge)
            contact.storeContactAge = *member.record.storeContactAge;
        view.peers.push_back(contact);
    }
    return view;
}

std::uint64_t randomNumber()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
}

} // namespace chestnutvane
