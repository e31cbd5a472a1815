#include "chestnutvane/process/config_holder.h"

#include <algorithm>

namespace chestnutvane {

ConfigOffer ConfigHolder::offer(const ConfigHead &head, ConfigSource source)
{
    if (head.revision < head_.revision)
        return ConfigOffer::Older;
    if (head.revision == head_.revision) {
        const bool fromStore = source == ConfigSource::Store;
        if (head.changeId == head_.changeId) {
            if (fromStore)
                source_ = source;
            return ConfigOffer::Same;
        }
        ++conflicts_;
        if (fromStore && source_ == ConfigSource::Peer) {
            head_ = head;
            source_ = source;
        }
        return ConfigOffer::Conflict;
    }
    head_ = head;
    source_ = source;
    highestKnown_ = std::max(highestKnown_, head.revision);
    return ConfigOffer::Adopted;
}

bool ConfigHolder::wantsFrom(std::uint64_t revision)
{
    highestKnown_ = std::max(highestKnown_, revision);
    return revision > head_.revision;
}

ConfigReadiness ConfigHolder::readiness(const StartContact &contact)
{
    if (ready_)
        return ConfigReadiness::Ready;
    if (head_.revision == 0)
        return ConfigReadiness::NoConfiguration;
    if (!contact.storeRead && contact.peersHeard < contact.livePeers)
        return ConfigReadiness::PeersUnheard;
    if (head_.revision < highestKnown_)
        return ConfigReadiness::Lagging;
    ready_ = true;
    return ConfigReadiness::Ready;
}

} // namespace chestnutvane
