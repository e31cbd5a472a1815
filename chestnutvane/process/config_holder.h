// Selects the current configuration of an instance among the heads received from the store and from
// peers (design 7.3): the one with the highest revision.
//
// Example:
//
//   AdoptResult result = holder.adoptIfNewer(head, ConfigSource::Store);
//   if (result == AdoptResult::Adopted)
//       rebuild the rule set from holder.head();
//   if (holder.recordPeerRevision(member.revision))
//       fetch the configuration from that peer
//
// Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/process/config_head.h"

namespace chestnutvane {

enum class ConfigSource {
    Store,
    Peer,
};

// Result of ConfigHolder::adoptIfNewer().
enum class AdoptResult {
    Adopted, // it is the current configuration now
    Same, // equal to the current configuration
    Older, // lower revision than the current one; ignored
    Conflict, // current revision but another change id: a fault, to be logged
};

inline constexpr EnumName<AdoptResult> adoptResultNames[] = {
        {AdoptResult::Adopted, "adopted"},
        {AdoptResult::Same, "same"},
        {AdoptResult::Older, "older"},
        {AdoptResult::Conflict, "conflict"},
};

// Whether a starting instance may serve requests.
enum class ConfigReadiness {
    Ready,
    NoConfiguration, // no configuration received yet: refuse with 503 not-run
    PeersPending, // the store is unreadable, and a live peer may have a higher revision
    Lagging, // a peer reports a higher revision that has not been fetched yet
};

inline constexpr EnumName<ConfigReadiness> configReadinessNames[] = {
        {ConfigReadiness::Ready, "ready"},
        {ConfigReadiness::NoConfiguration, "no-configuration"},
        {ConfigReadiness::PeersPending, "peers-unheard"},
        {ConfigReadiness::Lagging, "lagging"},
};

// Sources that a starting instance has read so far.
struct StartupState
{
    bool storeRead = false; // config/head was read, or found missing, since the start
    std::size_t livePeers = 0;
    std::size_t peersReported = 0; // live peers whose revision is known
};

class ConfigHolder
{
public:
    // Adopts the configuration if its revision is above the current one. If the revisions are equal
    // but the change ids differ, a head from the store replaces one from a peer, because the store
    // is authoritative; otherwise the current configuration remains.
    AdoptResult adoptIfNewer(const ConfigHead &head, ConfigSource source);

    // Records the revision that a peer reports. Returns whether it is above the current one, so
    // that the configuration should be fetched.
    bool recordPeerRevision(std::uint64_t revision);

    // Returns whether the instance may serve. Once Ready, it remains Ready and serves with its
    // current revision, also while a higher one is known.
    ConfigReadiness readiness(const StartupState &startup);

    // Returns the current configuration; revision 0 if there is none.
    const ConfigHead &head() const { return head_; }

    // Returns the number of conflicts since the start.
    std::uint64_t conflicts() const { return conflicts_; }

private:
    ConfigHead head_;
    ConfigSource source_ = ConfigSource::Peer;
    std::uint64_t highestKnown_ = 0;
    std::uint64_t conflicts_ = 0;
    bool ready_ = false;
};

} // namespace chestnutvane
