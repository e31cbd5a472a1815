#include "chestnutvane/process/config_holder.h"

#include <algorithm>

namespace chestnutvane {

AdoptResult ConfigHolder::adoptIfNewer(const ConfigHead &head, ConfigSource source)
{
    if (head.revision < head_.revision)
        return AdoptResult::Older;
    if (head.revision == head_.revision) {
        const bool fromStore = source == ConfigSource::Store;
        if (head.changeId == head_.changeId) {
            if (fromStore)
                source_ = source;
            return AdoptResult::Same;
        }
        ++conflicts_;
        if (fromStore && source_ == ConfigSource::Peer) {
            head_ = head;
            source_ = source;
        }
        return AdoptResult::Conflict;
    }
    head_ = head;
    source_ = source;
    highestKnown_ = std::max(highestKnown_, head.revision);
    return AdoptResult::Adopted;
}

bool ConfigHolder::recordPeerRevision(std::uint64_t revision)
{
    highestKnown_ = std::max(highestKnown_, revision);
    return revision > head_.revision;
}

ConfigReadiness ConfigHolder::readiness(const StartupState &startup)
{
    if (ready_)
        return ConfigReadiness::Ready;
    if (head_.revision == 0)
        return ConfigReadiness::NoConfiguration;
    if (!startup.storeRead && startup.peersReported < startup.livePeers)
        return ConfigReadiness::PeersPending;
    if (head_.revision < highestKnown_)
        return ConfigReadiness::Lagging;
    ready_ = true;
    return ConfigReadiness::Ready;
}

} // namespace chestnutvane
