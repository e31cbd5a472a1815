#include "chestnutvane/connection/answer_end.h"

namespace chestnutvane {
namespace {

constexpr unsigned firstInformationalStatus = 100;
constexpr unsigned statusSwitchingProtocols = 101; // never asked for; what follows is no HTTP
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastFinalStatus = 599;

} // namespace

AnswerVerdict judgeAnswer(const ReceivedAnswer &answer)
{
    switch (answer.read) {
    case AnswerRead::Cut:
        return AnswerVerdict::Cut;
    case AnswerRead::Garbled:
        return AnswerVerdict::Malformed;
    case AnswerRead::Complete:
        break;
    }
    if (answer.status < firstInformationalStatus || answer.status > lastFinalStatus
        || answer.status == statusSwitchingProtocols)
        return AnswerVerdict::Malformed;
    if (answer.status < firstFinalStatus)
        return AnswerVerdict::Informational;
    if (answer.endsWithConnection && answer.connectionFailed)
        return AnswerVerdict::Cut;
    return AnswerVerdict::Final;
}

} // namespace chestnutvane
