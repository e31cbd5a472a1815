#include "chestnutvane/process/gateway/admission/unknown_keys.h"

namespace chestnutvane {

KeyJudgement UnknownKeys::judge(std::string_view key, BootTime now, Milliseconds configurationAge)
{
    const Digest digest = hash_(key);
    if (const auto found = firstSeen_.find(digest); found != firstSeen_.end()) {
        return found->second.firstSeen <= now - configurationAge ? KeyJudgement::Wrong
                                                                 : KeyJudgement::Undecided;
    }
    if (firstSeen_.size() >= maxKeys) {
        firstSeen_.erase(order_.front());
        order_.pop_front();
    }
    firstSeen_.emplace(digest, Row{now, order_.insert(order_.end(), digest)});
    return KeyJudgement::Undecided;
}

} // namespace chestnutvane
