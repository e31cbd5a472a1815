// Numbered log events, catalogued in docs/events.md.
#pragma once

#include <string_view>

#include "chestnutvane/base/enum_names.h"

namespace chestnutvane {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

inline constexpr EnumName<LogLevel> logLevelNames[] = {
        {LogLevel::Debug, "debug"},
        {LogLevel::Info, "info"},
        {LogLevel::Warning, "warning"},
        {LogLevel::Error, "error"},
};

// Numbers are stable: a number is never given to another event.
enum class Event {
    Started = 100,
    Stopping = 101,
    Stopped = 102,
    ListenFailed = 103,
    LinesDropped = 104,
    AcceptFailed = 105,
    LookUpAnswered = 200,
    RequestRouted = 201,
    RequestRefused = 202,
    RequestEnded = 203,
    RequestRetried = 204,
    RequestForwarded = 205,
    ConnectionSilent = 206,
    TargetProbed = 207,
    RequestFellBack = 208,
    RequestWaits = 209,
    RequestServed = 210,
    QuotaExceeded = 211,
    StoreEraChanged = 260,
    BrokerTaken = 300,
    BrokerGivenUp = 301,
    BrokerRebuilt = 302,
    GrantReclaimed = 303,
    CrashCharged = 304,
    RoleWriteFailed = 305,
    SuspectCleared = 306,
    ConfigAdopted = 400,
    ConfigRefused = 401,
    ConfigApplied = 402,
    ConfigFetched = 403,
    MoveStepped = 410,
    MoveWaiting = 411,
    MemberChanged = 500,
    LeaseLost = 501,
    LeaseObtained = 502,
    Isolated = 503,
    ContactRegained = 504,
    StoreFailed = 505,
    StoreRegained = 506,
    HistoryGap = 507,
    TargetChanged = 600,
    TargetAvoided = 601,
    TargetIgnored = 602,
    TargetLeaving = 603,
    TargetPaused = 604,
    TargetProbeEnded = 605,
    TargetSpeedOdd = 606,
    RunCostLearned = 607,
    RoutesAdopted = 610,
    RoutesRefused = 611,
    EvacuationChanged = 612,
    SettingsReread = 613,
    ReportIgnored = 620,
    ChangeApplied = 621,
    RelayAvoided = 624,
    LearnedTaken = 622,
    LearnedFailed = 623,
};

struct EventRow
{
    Event event;
    LogLevel level;
    std::string_view name;
    std::string_view meaning;
};

inline constexpr EventRow eventRows[] = {
        {Event::Started, LogLevel::Info, "started", "The instance listens and joins the fleet."},
        {Event::Stopping, LogLevel::Info, "stopping", "A graceful shutdown has begun."},
        {Event::Stopped, LogLevel::Info, "stopped", "The shutdown is complete."},
        {Event::ListenFailed, LogLevel::Error, "listen-failed", "A listener cannot be opened."},
        {Event::LinesDropped, LogLevel::Warning, "lines-dropped",
         "Log lines were dropped; the fields give how many of each event."},
        {Event::AcceptFailed, LogLevel::Error, "accept-failed",
         "No connection can be accepted; once until one is accepted again."},
        {Event::LookUpAnswered, LogLevel::Info, "look-up-answered",
         "A caller was told which instances to use."},
        {Event::RequestRouted, LogLevel::Info, "request-routed", "A request was given a target."},
        {Event::RequestRefused, LogLevel::Info, "request-refused",
         "A request was refused; the fields give outcome and reason."},
        {Event::RequestEnded, LogLevel::Info, "request-ended",
         "An attempt at a target ended; the fields give its result."},
        {Event::RequestRetried, LogLevel::Info, "request-retried", "A further attempt is made."},
        {Event::RequestForwarded, LogLevel::Info, "request-forwarded",
         "A one-time request went to the incarnation that its key names."},
        {Event::ConnectionSilent, LogLevel::Warning, "connection-silent",
         "A reused connection had no byte for the silence limit."},
        {Event::TargetProbed, LogLevel::Info, "target-probed",
         "A target was asked for its health over a new connection."},
        {Event::RequestFellBack, LogLevel::Info, "request-fell-back",
         "A request that its region could not serve goes to the broker of another region."},
        {Event::RequestWaits, LogLevel::Info, "request-waits",
         "A request waits for a slot; the fields give the target and its load."},
        {Event::RequestServed, LogLevel::Info, "request-served",
         "A target's answer was delivered to the caller."},
        {Event::QuotaExceeded, LogLevel::Info, "quota-exceeded",
         "A request is beyond its team's quota; the fields give the figures that decided."},
        {Event::StoreEraChanged, LogLevel::Warning, "store-era-changed",
         "The store came back from a copy and lost its latest writes; all is read anew."},
        {Event::BrokerTaken, LogLevel::Info, "broker-taken",
         "This instance took the broker role of a unit."},
        {Event::BrokerGivenUp, LogLevel::Info, "broker-given-up",
         "This instance gave up the broker role of a unit."},
        {Event::BrokerRebuilt, LogLevel::Info, "broker-rebuilt",
         "All holders have reported their grants to the new broker."},
        {Event::GrantReclaimed, LogLevel::Warning, "grant-reclaimed",
         "A grant that its holder no longer lists was taken back."},
        {Event::CrashCharged, LogLevel::Warning, "crash-charged",
         "A target crashed; a request in flight on it is now suspect."},
        {Event::RoleWriteFailed, LogLevel::Warning, "role-write-failed",
         "The store refused or lost a write of a broker role."},
        {Event::SuspectCleared, LogLevel::Info, "suspect-cleared",
         "An operator cleared a request that crashed targets."},
        {Event::ConfigAdopted, LogLevel::Info, "config-adopted", "A revision is in force."},
        {Event::ConfigRefused, LogLevel::Warning, "config-refused",
         "An offered configuration was not taken."},
        {Event::ConfigApplied, LogLevel::Info, "config-applied",
         "An operator's change ended with a verdict."},
        {Event::ConfigFetched, LogLevel::Info, "config-fetched",
         "The configuration was asked for at a peer."},
        {Event::MoveStepped, LogLevel::Info, "move-stepped", "A move advanced by one step."},
        {Event::MoveWaiting, LogLevel::Info, "move-waiting",
         "A move does not advance; the field gives the reason."},
        {Event::MemberChanged, LogLevel::Info, "member-changed",
         "The status of another instance changed."},
        {Event::LeaseLost, LogLevel::Warning, "lease-lost", "The store lease has lapsed."},
        {Event::LeaseObtained, LogLevel::Info, "lease-obtained", "A store lease was granted."},
        {Event::Isolated, LogLevel::Error, "isolated",
         "No contact with the store or any peer; no new work is taken."},
        {Event::ContactRegained, LogLevel::Info, "contact-regained",
         "Contact is back; new work is taken again."},
        {Event::StoreFailed, LogLevel::Warning, "store-failed", "The store stopped answering."},
        {Event::StoreRegained, LogLevel::Info, "store-regained", "The store answers again."},
        {Event::HistoryGap, LogLevel::Info, "history-gap",
         "The store does not tell the changes since the last read; a list is read."},
        {Event::TargetChanged, LogLevel::Info, "target-changed",
         "A target registered, left, drains, restarted or has another address."},
        {Event::TargetAvoided, LogLevel::Warning, "target-avoided",
         "A target gets nothing for a time after a failure."},
        {Event::TargetIgnored, LogLevel::Warning, "target-ignored",
         "A registration cannot be read and names no target."},
        {Event::TargetLeaving, LogLevel::Info, "target-leaving",
         "A target said in an answer that it shuts down; it gets nothing new."},
        {Event::TargetPaused, LogLevel::Info, "target-paused",
         "A target refused a request and asked for a pause; the fields give how that was read."},
        {Event::TargetProbeEnded, LogLevel::Info, "target-probe-ended",
         "A connection told whether a process still listens at a target that lost a request."},
        {Event::TargetSpeedOdd, LogLevel::Warning, "target-speed-odd",
         "A target stated a speed that is not plausible; logged once per target."},
        {Event::RunCostLearned, LogLevel::Debug, "run-cost-learned",
         "A run of a service that is placed by work ended; its estimate and what came."},
        {Event::RoutesAdopted, LogLevel::Info, "routes-adopted",
         "A revision of the routes is in force."},
        {Event::RoutesRefused, LogLevel::Warning, "routes-refused",
         "A revision of the routes cannot be read; the one in force stays."},
        {Event::EvacuationChanged, LogLevel::Info, "evacuation-changed",
         "The set of evacuated zones changed."},
        {Event::SettingsReread, LogLevel::Info, "settings-reread",
         "The signal for changed settings arrived."},
        {Event::ReportIgnored, LogLevel::Warning, "report-ignored",
         "A datagram is no load report that can be read."},
        {Event::ChangeApplied, LogLevel::Info, "change-applied",
         "What another instance read of the store was taken; the fields give its age."},
        {Event::RelayAvoided, LogLevel::Info, "relay-avoided",
         "Another instance does not pass on reports; others are used for a time."},
        {Event::LearnedTaken, LogLevel::Info, "learned-taken",
         "An instance that started took what was learned before of targets and run times."},
        {Event::LearnedFailed, LogLevel::Warning, "learned-failed",
         "What was learned of targets and run times cannot be read or kept."},
};

// Tells whether lines of the event tell of requests that go well. Such lines are dropped first when
// the log has no room.
constexpr bool isRoutine(Event event)
{
    switch (event) {
    case Event::LookUpAnswered:
    case Event::RequestRouted:
    case Event::RequestWaits:
    case Event::RequestServed:
        return true;
    default:
        return false;
    }
}

// Returns the row of an event.
constexpr const EventRow &eventRow(Event event)
{
    for (const auto &row : eventRows) {
        if (row.event == event)
            return row;
    }
    return eventRows[0];
}

} // namespace chestnutvane
