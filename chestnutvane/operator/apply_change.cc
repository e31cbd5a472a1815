#include "chestnutvane/operator/apply_change.h"

#include <algorithm>

namespace chestnutvane {
namespace internal {
namespace {

using nlohmann::json;

constexpr int badRequest = 400;
constexpr Milliseconds verdictPause{200};
constexpr Milliseconds instancePause{100};
constexpr Milliseconds statusTimeout{1000};
constexpr Milliseconds shortestAttempt{500};
constexpr Milliseconds answerMargin{2000}; // an instance answers this much after its own timeout

// Reads the answer to an apply. "repeated": an earlier attempt ended without a verdict, so a
// refusal of this attempt proves nothing about that one.
void readVerdict(ChangeReport &report, const OperatorAnswer &answer, bool repeated)
{
    const auto &body = answer.body;
    report.outcome = ChangeOutcome::Undetermined;
    report.revision = numberMember(body, "revision");
    if (answer.status == badRequest) {
        report.reason = textMember(body, "error") + ": " + textMember(body, "detail");
        if (repeated)
            return;
        report.outcome = ChangeOutcome::NotAccepted;
        if (textMember(body, "error") == "bad-rules") {
            report.outcome = ChangeOutcome::BadRules;
            report.mistakes = body.contains("mistakes") && body["mistakes"].is_array()
                    ? body["mistakes"]
                    : json::array();
        }
        return;
    }
    report.reason = textMember(body, "reason");
    const auto outcome = textMember(body, "outcome");
    if (outcome == "accepted") {
        report.outcome = ChangeOutcome::Accepted;
    } else if (outcome == "conflict") {
        report.outcome = ChangeOutcome::Conflict;
        report.author = textMember(body, "author");
        report.rules = textMember(body, "rules");
    } else if (outcome == "not-accepted") {
        report.outcome = ChangeOutcome::NotAccepted;
    } else if (outcome != "undetermined") {
        report.reason =
                answer.server + ": status " + std::to_string(answer.status) + " with no verdict";
    }
}

ChangeReport awaitVerdict(OperatorClient &client, const Waiting &waiting, const Change &change)
{
    ChangeReport report;
    const auto deadline = waiting.now() + change.timeout;
    // Half of the time for each attempt, so that there is time for a second one.
    const auto attempt = std::max(shortestAttempt, change.timeout / 2);
    json body{{"rules", change.rules},
              {"base-revision", change.baseRevision},
              {"change-id", change.changeId},
              {"author", change.author},
              {"repeated", false},
              {"timeout-ms", attempt.count()}};
    bool repeated = false;
    for (;;) {
        ++report.attempts;
        body["repeated"] = repeated;
        const auto answer = client.post("/v1/apply", body, attempt + answerMargin);
        if (isOk(answer)) {
            readVerdict(report, value(answer), repeated);
            // No later attempt can tell more about a change that head no longer remembers.
            if (report.outcome != ChangeOutcome::Undetermined
                || report.reason == "history-exceeded")
                return report;
            repeated = true;
        } else {
            report.reason = error(answer).detail;
            repeated = repeated || error(answer).failure == CallFailure::AnswerLost;
            report.outcome = repeated ? ChangeOutcome::Undetermined : ChangeOutcome::NotAccepted;
        }
        if (waiting.now() + verdictPause >= deadline)
            return report;
        waiting.sleep(verdictPause);
    }
}

// Notes which live instances have a lower revision than the accepted one.
void readInstances(ChangeReport &report, const json &status)
{
    report.instancesKnown = true;
    report.lagging.clear();
    report.silent.clear();
    const auto self = textMember(status, "instance");
    const auto members = status.find("members");
    if (members == status.end() || !members->is_array()) {
        report.instancesKnown = false;
        return;
    }
    for (const auto &member : *members) {
        const auto id = textMember(member, "id");
        const auto state = textMember(member, "status");
        // The own row of the asked instance is refreshed only at its next heartbeat.
        const auto revision = numberMember(id == self ? status : member, "revision");
        if (state == "silent")
            report.silent.push_back(id);
        else if (state != "gone" && state != "unheard" && revision < report.revision)
            report.lagging.push_back({id, revision});
    }
}

void awaitInstances(OperatorClient &client, const Waiting &waiting, const Change &change,
                    ChangeReport &report)
{
    const auto deadline = waiting.now() + change.timeout;
    report.outcome = ChangeOutcome::Lagging;
    for (;;) {
        if (const auto answer = client.get("/v1/status", statusTimeout); isOk(answer))
            readInstances(report, value(answer).body);
        if (report.instancesKnown && report.lagging.empty()) {
            report.outcome = ChangeOutcome::Accepted;
            return;
        }
        if (waiting.now() + instancePause >= deadline)
            return;
        waiting.sleep(instancePause);
    }
}

} // namespace
} // namespace internal

bool isUtf8(const std::string &text)
{
    try {
        (void)internal::json(text).dump();
    } catch (const internal::json::type_error &) {
        return false;
    }
    return true;
}

ChangeReport applyChange(OperatorClient &client, const Waiting &waiting, const Change &change)
{
    if (!isUtf8(change.rules) || !isUtf8(change.author)) {
        ChangeReport report;
        report.outcome = ChangeOutcome::NotAccepted;
        report.reason = "the rules or the author are not UTF-8";
        return report;
    }
    auto report = internal::awaitVerdict(client, waiting, change);
    if (report.outcome == ChangeOutcome::Accepted)
        internal::awaitInstances(client, waiting, change, report);
    return report;
}

} // namespace chestnutvane
