// The configuration that an instance holds, learnt from the store and from peers (design 7.3).
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

// What became of an offered configuration.
enum class AdoptResult {
    Adopted,
    Same, // already held
    Older, // below the held revision; ignored
    Conflict, // the held revision with another change id: a fault, to be logged
};

inline constexpr EnumName<AdoptResult> adoptResultNames[] = {
        {AdoptResult::Adopted, "adopted"},
        {AdoptResult::Same, "same"},
        {AdoptResult::Older, "older"},
        {AdoptResult::Conflict, "conflict"},
};

// Whether a starting instance may take requests.
enum class ConfigReadiness {
    Ready,
    NoConfiguration, // nothing is held: refuse with 503 not-run
    PeersPending, // the store cannot be read, and a live peer may hold a higher revision
    Lagging, // a higher revision is known to exist and has not been fetched yet
};

inline constexpr EnumName<ConfigReadiness> configReadinessNames[] = {
        {ConfigReadiness::Ready, "ready"},
        {ConfigReadiness::NoConfiguration, "no-configuration"},
        {ConfigReadiness::PeersPending, "peers-unheard"},
        {ConfigReadiness::Lagging, "lagging"},
};

// What a starting instance has heard so far.
struct StartupState
{
    bool storeRead = false; // config/head was read, or found absent, since the start
    std::size_t livePeers = 0;
    std::size_t peersReported = 0; // live peers that have reported their revision
};

class ConfigHolder
{
public:
    // Takes the configuration if its revision is above the held one. With equal revisions and
    // different change ids the store's copy replaces one learnt from a peer, because the store
    // decides what was accepted; every other conflict leaves the held one in place.
    AdoptResult adoptIfNewer(const ConfigHead &head, ConfigSource source);

    // Notes a revision that a peer reports. Returns true if it is above the held one.
    bool recordPeerRevision(std::uint64_t revision);

    // Once Ready, an instance stays so: a running one serves with the revision it holds.
    ConfigReadiness readiness(const StartupState &startup);

    // The held configuration; revision 0 if there is none.
    const ConfigHead &head() const { return head_; }

    // Conflicts seen since the start.
    std::uint64_t conflicts() const { return conflicts_; }

private:
    ConfigHead head_;
    ConfigSource source_ = ConfigSource::Peer;
    std::uint64_t highestKnown_ = 0;
    std::uint64_t conflicts_ = 0;
    bool ready_ = false;
};

} // namespace chestnutvane
