#include "chestnutvane/process/gateway/gateway_process.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <map>
#include <random>

#include "chestnutvane/connection/framing_limits.h"
#include "chestnutvane/process/gateway/limits/allocator_limits.h"
#include "chestnutvane/process/gateway/limits/descriptor_plan.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

// The process ends this long before the platform would kill it at the end of stopGrace.
constexpr Milliseconds shutdownMargin{500};
// Time that an idle process keeps serving after the shutdown began. Callers may use a directory
// response for three times its time to live; those that still use it after this time connect to
// another instance.
constexpr Milliseconds minShutdownTime{3500};
constexpr Milliseconds shutdownCheckPeriod{50};

// Path on the metrics address under which an instance serves its feed content to other instances.
constexpr std::string_view feedPath = "/v1/feed";
// A response with 516 targets has 20 kB, and 22 instances may send a request at once over a link of
// 10 Mbit/s. After a timeout there must be time left to read a draining target's entry from the
// store within its drain time.
constexpr Milliseconds feedTimeout{400};

std::uint64_t randomIncarnation()
{
    std::random_device device;
    constexpr unsigned halfBits = 32;
    // Other JSON parsers keep only 53 bits of an integer.
    constexpr std::uint64_t mask = (1ULL << 53U) - 1;
    return ((static_cast<std::uint64_t>(device()) << halfBits) | device()) & mask;
}

PeerIdentity identityOf(const GatewaySettings &settings)
{
    return {settings.instanceId,    randomIncarnation(),    settings.zone,
            settings.callerAddress, settings.reportAddress, settings.metricsAddress,
            settings.coreShare};
}

// Callers may hold a part of the machine's memory.
std::shared_ptr<CallerMemory> makeCallerMemory(const GatewaySettings &settings)
{
    constexpr unsigned megabyteBits = 20;
    const std::size_t megabytes =
            settings.memoryLimitMb == 0 ? defaultMemoryLimitMb : settings.memoryLimitMb;
    return std::make_shared<CallerMemory>(callerMemoryLimits(megabytes << megabyteBits));
}

} // namespace

GatewayProcess::GatewayProcess(net::io_context &io, const GatewaySettings &settings,
                               GatewayPlatform platform, HttpClient &client)
    : io_(io), settings_(settings), platform_(std::move(platform)), client_(client),
      self_(identityOf(settings_)), callerMemory_(makeCallerMemory(settings_)),
      gateway_(io, settings_, metrics_),
      feed_(io, platform_.store, platform_.format, self_, feedCallbacks()),
      learnedStatePersister_(io, platform_.store, platform_.format.learnedPrefix,
                             settings_.regionOf(settings_.zone), learnedStateCallbacks()),
      signals_(io, SIGTERM, SIGINT, SIGHUP), tickTimer_(io), shutdownTimer_(io), owner_(io)
{ }

Result<std::unique_ptr<GatewayProcess>, ListenError>
GatewayProcess::create(net::io_context &io, const GatewaySettings &settings,
                       GatewayPlatform platform, HttpClient &client)
{
    returnLargeBlocks();
    std::unique_ptr<GatewayProcess> process(
            new GatewayProcess(io, settings, std::move(platform), client));
    if (auto failure = process->listen())
        return *failure;
    process->feed_.start();
    process->learnedStatePersister_.start();
    process->waitForSignal();
    process->tick();
    logEvent(Event::Started,
             {{"instance", settings.instanceId},
              {"zone", settings.zone},
              {"incarnation", process->self_.incarnation},
              {"callers", settings.callerAddress}});
    return process;
}

std::optional<ListenError> GatewayProcess::listen()
{
    auto link = FleetLink::create(io_, self_, settings_, gateway_);
    if (!isOk(link))
        return error(link);
    link_ = value(std::move(link));
    gateway_.setConfigurationAge([this] { return feed_.operatorAge(); });
    link_->setFeedCallbacks(
            [this](LoadReport &report) {
                report.targetsFeed = feed_.targetsStatus();
                report.operatorFeed = feed_.operatorStatus();
            },
            [this](const LoadReport &report) { feed_.onPeerReport(report); });
    const auto open = [this](std::string_view port, std::shared_ptr<CallerListener> &listener,
                             const std::string &endpoint, const CallHandler &handler,
                             const std::function<CallerConnectionLimits()> &limits,
                             const CallerGuards &guards) -> std::optional<ListenError> {
        const auto onRefused = [this, port](const std::string &caller, http::status status) {
            countRefusal(port, caller, status);
        };
        auto opened = CallerListener::create(io_, endpoint, handler, limits, onRefused, guards);
        if (!isOk(opened))
            return error(opened);
        listener = value(std::move(opened));
        return std::nullopt;
    };
    const auto withoutBodies = [] {
        CallerConnectionLimits limits;
        limits.maxBodyBytes = maxUnusedBodyBytes;
        return limits;
    };
    const auto callerLimits = [this] {
        if (!gateway_.routes())
            return CallerConnectionLimits{};
        const CallerLimits &limits = gateway_.routes()->limits();
        return CallerConnectionLimits{limits.maxHeaderBytes, limits.maxBodyBytes,
                                      limits.headerTimeout, limits.idleTimeout};
    };
    const DescriptorPlan plan = descriptorPlan(usableDescriptors(settings_.descriptorLimit));
    CallerGuards callerGuards = guardsOf("callers", plan.callers);
    callerGuards.checkHead = [this](const HttpRequestMessage &head) { return checkHead(head); };
    if (auto failure = open(
                "callers", callerListener_, settings_.callerAddress,
                [this](Call call) { gateway_.handle(std::move(call)); }, callerLimits,
                callerGuards))
        return failure;
    if (auto failure = open(
                "readiness", readinessListener_, settings_.readinessAddress,
                [this](Call call) { answerReadiness(std::move(call)); }, withoutBodies,
                guardsOf("readiness", plan.readiness)))
        return failure;
    if (auto failure = open(
                "directory", directoryListener_, settings_.directoryAddress,
                [this](Call call) { answerDirectory(std::move(call)); }, withoutBodies,
                guardsOf("directory", plan.directory)))
        return failure;
    return open(
            "metrics", metricsListener_, settings_.metricsAddress,
            [this](Call call) { answerMetrics(std::move(call)); }, withoutBodies,
            guardsOf("metrics", plan.metrics));
}

CallerGuards GatewayProcess::guardsOf(std::string_view port, std::size_t maxConnections) const
{
    CallerGuards guards;
    guards.memory = callerMemory_;
    guards.maxConnections = maxConnections;
    guards.onAcceptFailed = [port](const std::string &detail) {
        logEvent(Event::AcceptFailed, {{"port", port}, {"reason", detail}});
    };
    return guards;
}

// Refuses a path without a route, or a request without a key of a team, before its body is held.
HeadVerdict GatewayProcess::checkHead(const HttpRequestMessage &head)
{
    HeadVerdict verdict;
    verdict.refusal = gateway_.refuseHead(head, verdict.importance);
    return verdict;
}

void GatewayProcess::countRefusal(std::string_view port, const std::string &caller,
                                  http::status status)
{
    const bool forRoom = status == http::status::service_unavailable;
    logEvent(Event::RequestRefused,
             {{"caller", caller},
              {"port", port},
              {"status", static_cast<int>(status)},
              {"reason", forRoom ? "caller-limit" : "unreadable"},
              {"outcome", "not-run"}});
    if (forRoom)
        return metrics_.increment("vane_gateway_caller_limit_refusals_total",
                                  {{"port", std::string(port)}});
    metrics_.increment(
            "vane_gateway_unreadable_requests_total",
            {{"port", std::string(port)}, {"status", std::to_string(static_cast<int>(status))}});
}

FeedCallbacks GatewayProcess::feedCallbacks()
{
    FeedCallbacks callbacks;
    callbacks.onRoutes = [this](std::shared_ptr<const RouteTable> table) {
        if (gateway_.routes() && table->revision() < gateway_.routes()->revision())
            return; // an older revision must not replace a newer one
        gateway_.setRoutes(std::move(table));
        updateState();
        gateway_.scheduleFullPasses();
    };
    callbacks.onEvacuatedZones = [this](std::set<std::string> zones) {
        gateway_.registry().setEvacuatedZones(std::move(zones));
        gateway_.scheduleFullPasses();
    };
    callbacks.onTargets = [this](const std::vector<TargetEntry> &targets, RemovalPolicy removals) {
        for (const auto &[id, changeKind, wasDraining] :
             gateway_.registry().replaceAll(targets, Clock::now(), removals)) {
            logEvent(Event::TargetChanged,
                     {{"target", id}, {"what", enumName(targetChangeKindNames, changeKind)}});
            if (changeKind == TargetChangeKind::Restarted
                || changeKind == TargetChangeKind::Superseded
                || (changeKind == TargetChangeKind::Removed && !wasDraining))
                gateway_.onTargetEnded(id);
        }
        targetsKnown_ = targetsKnown_ || gateway_.registry().size() > 0;
        applyPendingLearnedStates();
        updateState();
        gateway_.scheduleFullPasses();
    };
    callbacks.onInstances = [this](const InstanceList &list) {
        listReadStart_ = list.readStart;
        listHasCurrentLeases_ = list.hasCurrentLeases;
        link_->setListedPeers(list.instances);
        gateway_.setListedInstances(list.instances);
    };
    callbacks.onContentChanged = [this](const std::string &change) {
        if (feed_.isReader())
            link_->sendFeedChange(change);
    };
    callbacks.onEraChanged = [this](ContentSource source) {
        metrics_.increment("vane_gateway_store_era_changes_total",
                           {{"source", std::string(enumName(contentSourceNames, source))}});
    };
    callbacks.onContentConfirmed = [this] {
        if (feed_.isReader())
            link_->reportContentRead();
    };
    callbacks.askPeer = [this](const PeerIdentity &peer) { requestFeed(peer); };
    return callbacks;
}

LearnedStateCallbacks GatewayProcess::learnedStateCallbacks()
{
    return {[this] { return gateway_.learnedState(); },
            [this](const LearnedState &state) {
                pendingLearnedStates_.push_back(state);
                applyPendingLearnedStates();
            },
            [this] { return isReady() && feed_.isReader(); }};
}

void GatewayProcess::applyPendingLearnedStates()
{
    if (!targetsKnown_)
        return;
    for (const LearnedState &state : std::exchange(pendingLearnedStates_, {}))
        gateway_.restoreLearnedState(state);
}

bool GatewayProcess::isReady() const
{
    return !stoppingSince_ && gateway_.routes() && targetsKnown_;
}

void GatewayProcess::updateState()
{
    const PeerState state = stoppingSince_ ? PeerState::Stopping
            : isReady()                    ? PeerState::Serving
                                           : PeerState::Starting;
    if (link_ && link_->state() != state)
        link_->setState(state);
}

void GatewayProcess::answerReadiness(Call call) const
{
    call.answer(HttpResponseMessage(
            isReady() ? http::status::ok : http::status::service_unavailable, 11));
}

void GatewayProcess::answerDirectory(Call call)
{
    const auto target = call.request->target();
    auto query = platform_.decodeQuery({target.data(), target.size()});
    if (!query)
        return call.answer(HttpResponseMessage(http::status::not_found, 11));
    query->caller = call.peer.substr(0, call.peer.rfind(':'));
    const auto addresses = instancesFor(*query, instances(), gateway_.routes().get());
    HttpResponseMessage message(http::status::ok, 11);
    message.set(http::field::content_type, "application/json");
    message.body() = platform_.encodeAddresses(addresses, settings_.directoryTtl);
    const auto listAge =
            std::chrono::duration_cast<Milliseconds>(BootClock::now() - listReadStart_);
    logEvent(Event::LookUpAnswered,
             {{"caller", call.peer},
              {"region", query->region},
              {"addresses", addresses.size()},
              {"source", hasLivePeer() ? "reports" : "store-list"},
              {"list-age-ms", listAge.count()}});
    call.answer(std::move(message));
}

// Cached, because packing takes milliseconds and all instances of a region may send a request at
// once.
const std::string &GatewayProcess::packedLists()
{
    // Contents of two eras may be equal, but their revisions are not comparable.
    const std::array identity{feed_.operatorStatus().fingerprint, feed_.targetsStatus().fingerprint,
                              feed_.operatorStatus().era, feed_.targetsStatus().era};
    if (identity != packedIdentity_) {
        const FeedContent content = feed_.content();
        packedLists_ = packLists(content.operatorKeys.list, content.targets.list);
        packedIdentity_ = identity;
    }
    return packedLists_;
}

void GatewayProcess::answerMetrics(Call call)
{
    HttpResponseMessage message(http::status::ok, 11);
    const auto target = call.request->target();
    if (std::string_view(target.data(), target.size()) == feedPath) {
        if (!feed_.hasAllContent())
            return call.answer(HttpResponseMessage(http::status::service_unavailable, 11));
        message.set(http::field::content_type, "application/cbor");
        message.body() = encodeFeedContent(packedLists(), feed_.operatorAge(), feed_.targetsAge());
        return call.answer(std::move(message));
    }
    message.set(http::field::content_type, "text/plain");
    message.body() = metrics_.exposition();
    call.answer(std::move(message));
}

std::vector<DirectoryInstance> GatewayProcess::instances() const
{
    const auto toDirectoryInstance = [this](const PeerIdentity &peer, bool serving) {
        return DirectoryInstance{peer.callerAddress, peer.zone, settings_.regionOf(peer.zone),
                                 serving, peer.coreShare};
    };
    std::vector<DirectoryInstance> result{toDirectoryInstance(self_, isReady())};
    const TimePoint now = Clock::now();
    for (const auto &[id, peer] : gateway_.fleet().peers()) {
        if (now - peer.receivedAt > FleetView::livenessTimeout)
            continue;
        result.push_back(
                toDirectoryInstance(peer.report.sender, peer.report.state == PeerState::Serving));
    }
    if (hasLivePeer())
        return result;
    // Without a live peer, only the store's list tells which instances run.
    std::map<std::string, PeerIdentity> silentPeers = link_->listedPeers();
    const auto &heardPeers = gateway_.fleet().peers();
    if (!feed_.canReadInstances()) { // the last list may lack instances that started after it
        for (const auto &[id, peer] : heardPeers)
            silentPeers.try_emplace(id, peer.report.sender);
    }
    const BootTime bootNow = BootClock::now();
    for (const auto &[id, peer] : silentPeers) {
        InstanceSigns signs{.sinceReport = {},
                            .sinceListed = bootNow - listReadStart_,
                            .hasCurrentLease = listHasCurrentLeases_,
                            .canReadList = feed_.canReadInstances()};
        bool isStopping = false;
        if (const auto heard = heardPeers.find(id); heard != heardPeers.end()) {
            const LoadReport &report = heard->second.report;
            signs.sinceReport = now - heard->second.receivedAt;
            isStopping = report.state == PeerState::Stopping
                    && report.sender.incarnation == peer.incarnation;
        }
        if (mayNameSilentInstance(signs))
            result.push_back(toDirectoryInstance(peer, !isStopping));
    }
    return result;
}

bool GatewayProcess::hasLivePeer() const
{
    const auto &peers = gateway_.fleet().peers();
    return std::any_of(peers.begin(), peers.end(), [now = Clock::now()](const auto &peer) {
        return now - peer.second.receivedAt <= FleetView::livenessTimeout;
    });
}

bool GatewayProcess::hearsNobody() const
{
    // The first reports may still be on their way to an instance that has just started.
    return Clock::now() - startedAt_ > FleetView::livenessTimeout && !hasLivePeer();
}

void GatewayProcess::waitForSignal()
{
    signals_.async_wait([this](const boost::system::error_code &ended, int signal) {
        if (ended)
            return;
        if (signal == SIGHUP)
            logEvent(Event::SettingsReread, {{"changed", 0}});
        else
            stop();
        waitForSignal();
    });
}

void GatewayProcess::stop()
{
    if (stoppingSince_)
        return;
    stoppingSince_ = Clock::now();
    logEvent(Event::Stopping, {{"pending", gateway_.pendingRequests()}});
    updateState();
    feed_.deregister();
    callerListener_->startClosing();
    gateway_.beginShutdown(
            {*stoppingSince_, *stoppingSince_ + settings_.stopGrace - shutdownMargin});
    checkShutdown();
}

void GatewayProcess::checkShutdown()
{
    const TimePoint now = Clock::now();
    const bool idle = gateway_.pendingRequests() == 0 && callerListener_->openConnections() == 0;
    if (now - *stoppingSince_ >= settings_.stopGrace - shutdownMargin
        || (idle && now - *stoppingSince_ >= minShutdownTime)) {
        logEvent(Event::Stopped, {{"pending", gateway_.pendingRequests()}});
        return io_.stop();
    }
    shutdownTimer_.expires_after(shutdownCheckPeriod);
    shutdownTimer_.async_wait(owner_.guarded([this](const boost::system::error_code &ended) {
        if (!ended)
            checkShutdown();
    }));
}

void GatewayProcess::electReader()
{
    std::vector<ReaderCandidate> others;
    const TimePoint now = Clock::now();
    for (const auto &[id, peer] : gateway_.fleet().peers()) {
        const LoadReport &report = peer.report;
        if (settings_.regionOf(report.sender.zone) != settings_.regionOf(self_.zone)
            || report.state != PeerState::Serving
            || now - peer.receivedAt > FleetView::livenessTimeout)
            continue;
        const auto since = std::chrono::duration_cast<Milliseconds>(now - peer.receivedAt);
        others.push_back({id, report.targetsFeed.age + since, report.sender.coreShare});
    }
    feed_.setReader(isReader({self_.id, Milliseconds{0}, self_.coreShare}, others));
}

// While the store is unreachable, a starting instance knows neither routes nor targets. If it ran
// before, the other instances still send it reports, so it fetches the feed content from one of
// them.
void GatewayProcess::fetchFeedFromPeer()
{
    if (feed_.hasAllContent() || !feed_.isStoreUnreachable() || feedRequestInFlight_)
        return;
    const auto &peers = gateway_.fleet().peers();
    const auto canProvideFeed = [this](const auto &entry) {
        return entry.second.report.state == PeerState::Serving
                && gateway_.fleet().isAlive(entry.first, Clock::now());
    };
    // Asks a different peer each time, because one may be unreachable.
    auto found = std::find_if(peers.upper_bound(lastFeedPeer_), peers.end(), canProvideFeed);
    if (found == peers.end())
        found = std::find_if(peers.begin(), peers.end(), canProvideFeed);
    if (found == peers.end())
        return;
    lastFeedPeer_ = found->first;
    requestFeed(found->second.report.sender);
}

void GatewayProcess::requestFeed(const PeerIdentity &peer)
{
    if (std::exchange(feedRequestInFlight_, true))
        return; // the response to the request in flight may suffice
    HttpRequest request;
    request.url = "http://" + peer.metricsAddress + std::string(feedPath);
    request.timeout = feedTimeout;
    client_.send(std::move(request),
                 owner_.posted<Result<HttpResponse, HttpError>>(
                         [this, id = peer.id, requestedAt = BootClock::now()](const auto &a) {
                             onFeedResponse(id, requestedAt, a);
                         }));
}

void GatewayProcess::onFeedResponse(const std::string &peer, BootTime requestedAt,
                                    const Result<HttpResponse, HttpError> &answer)
{
    feedRequestInFlight_ = false;
    std::string problem;
    if (!isOk(answer)) {
        problem = error(answer).detail;
    } else if (constexpr int ok = 200; value(answer).status != ok) {
        problem = "unexpected HTTP status " + std::to_string(value(answer).status);
    } else if (auto content = decodeFeedContent(value(answer).body); isOk(content)) {
        feed_.applyPeerContent(value(content), requestedAt);
    } else {
        problem = error(content).detail;
    }
    logEvent(Event::ConfigFetched, {{"peer", peer}, {"problem", problem}});
    feed_.readOutdated(); // reads what is still outdated from the store
}

// Sets what tells an instance that acts on old content or has no processor time to spare.
void GatewayProcess::updateHealthMetrics()
{
    using Seconds = std::chrono::duration<double>;
    if (feed_.hasAllContent()) {
        metrics_.set("vane_gateway_content_age_seconds", {{"content", "operator"}},
                     Seconds(feed_.operatorAge()).count());
        metrics_.set("vane_gateway_content_age_seconds", {{"content", "targets"}},
                     Seconds(feed_.targetsAge()).count());
    }
    if (tickTimer_.expiry() != TimePoint{}) // set since the first tick
        metrics_.set("vane_gateway_loop_delay_seconds", {},
                     std::max(Seconds(Clock::now() - tickTimer_.expiry()).count(), 0.0));
}

void GatewayProcess::tick()
{
    updateHealthMetrics();
    gateway_.tick();
    flushLog();
    electReader();
    feed_.setHearsNobody(hearsNobody());
    fetchFeedFromPeer();
    constexpr Milliseconds period{500};
    tickTimer_.expires_after(period);
    tickTimer_.async_wait(owner_.guarded([this](const boost::system::error_code &ended) {
        if (!ended)
            tick();
    }));
}

} // namespace chestnutvane
