#include "chestnutvane/process/daemon.h"

#include <future>
#include <optional>
#include <thread>

#include "chestnutvane/process/http_store.h"
#include "chestnutvane/process/instance.h"
#include "chestnutvane/process/log.h"
#include "chestnutvane/process/services.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr Milliseconds lookUpMargin{1000}; // for look-ups answered just before the peers heard
constexpr Milliseconds drainPoll{20};
constexpr Milliseconds longestDrain{120'000};
constexpr Milliseconds storeGrace{2000}; // for the last writes, if the store does not answer
constexpr int serverThreads = 2;

std::string endpoint(const std::string &address, std::uint16_t port)
{
    const bool v6 = address.find(':') != std::string::npos;
    return (v6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

MemberRecord ownRecord(const Settings &settings, const std::string &incarnation)
{
    MemberRecord record;
    record.id = settings.instanceId;
    record.incarnation = incarnation;
    record.generation =
            static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(
                                               std::chrono::system_clock::now().time_since_epoch())
                                               .count());
    record.zone = settings.zone;
    record.callerAddress = endpoint(settings.address, settings.callerPort);
    record.operatorAddress = endpoint(settings.address, settings.operatorPort);
    record.peerAddress = endpoint(settings.address, settings.peerPort);
    return record;
}

} // namespace
} // namespace internal

struct Daemon::Impl
{
    Impl(const Settings &settings, const std::string &incarnation)
        : instance(settings, incarnation, holderIdOf(incarnation),
                   internal::ownRecord(settings, incarnation))
    { }

    Instance instance;
    Services services{instance};
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> operatorServer;
    std::unique_ptr<PeerServer> peerServer;

    ~Impl()
    {
        // Listeners first, then the clients, whose callbacks post to the workers, then the workers.
        callerServer.reset();
        operatorServer.reset();
        peerServer.reset();
        instance.workers->stop();
        instance.targets.reset();
        instance.storeClient.reset();
        instance.peers.reset();
    }

    // The steps of the start, in this order: callers are taken when the services run.
    std::optional<StartError> openClients();
    std::optional<StartError> listenForPeers();
    std::optional<StartError> listenForOperators();
    void startServices();
    std::optional<StartError> listenForCallers();

    void handlePeer(PeerCall call, const PeerResponder &respond);
    void handleGrantRequest(const PeerCall &call, const PeerResponder &respond);
};

void Daemon::Impl::handleGrantRequest(const PeerCall &call, const PeerResponder &respond)
{
    const auto message = decodeGrantRequest(call.body);
    if (!isOk(message)) {
        respond(PeerError{PeerFailure::Refused, error(message).field});
        return;
    }
    const auto &wish = value(message);
    services.brokers.request(wish,
                             [respond](const GrantAnswer &answer) { respond(encode(answer)); });
    call.state->onCancelled([this, unit = wish.unit, holder = wish.request.holder,
                             sequence = wish.request.sequence] {
        instance.workers->post([this, unit, holder, sequence] {
            services.brokers.cancel(unit, holder, sequence);
        });
    });
}

void Daemon::Impl::handlePeer(PeerCall call, const PeerResponder &respond)
{
    if (call.name == "heartbeat") {
        respond(services.members.onHeartbeat(call.body));
    } else if (call.name == "grant-request") {
        handleGrantRequest(call, respond);
    } else if (call.name == "grant-release") {
        if (const auto message = decodeGrantRelease(call.body); isOk(message))
            services.brokers.release(value(message));
        respond(std::string());
    } else if (call.name == "grants-held") {
        if (const auto message = decodeGrantsHeld(call.body); isOk(message))
            services.brokers.applyHeldList(value(message));
        respond(std::string());
    } else if (call.name == "grants-rebuild") {
        const auto message = decodeRebuildRequest(call.body);
        if (!isOk(message)) {
            respond(PeerError{PeerFailure::Refused, error(message).field});
            return;
        }
        respond(encode(instance.grants.use([&](GrantHolder &holder) {
            return holder.answerRebuild(value(message), Clock::now());
        })));
    } else if (call.name == "config-get") {
        respond(services.configuration.encodedHead());
    } else if (call.name == "forward") {
        services.callers.handleForward(
                call.body, [respond](std::string answer) { respond(std::move(answer)); });
    } else {
        respond(PeerError{PeerFailure::Refused, "unknown message"});
    }
}

std::optional<StartError> Daemon::Impl::openClients()
{
    const auto &settings = instance.settings;
    instance.workers = std::make_unique<Workers>(settings.workers);
    auto targets = HttpClient::create({});
    auto storeClient = HttpClient::create({});
    if (!isOk(targets) || !isOk(storeClient))
        return StartError{StartFailure::HttpClient, "libcurl cannot be set up"};
    instance.targets = std::move(value(targets));
    instance.storeClient = std::move(value(storeClient));
    auto peers = PeerClient::create();
    if (!isOk(peers))
        return StartError{StartFailure::PeerClient, error(peers).detail};
    instance.peers = std::move(value(peers));
    instance.store = makeHttpStore({.baseUrl = settings.storeUrl}, *instance.storeClient,
                                   instance.storeCounters);
    return std::nullopt;
}

std::optional<StartError> Daemon::Impl::listenForPeers()
{
    const auto &settings = instance.settings;
    // Messages are handled off the link's thread, because a broker may hold its lock.
    const auto onCall = [this](PeerCall call, PeerResponder respond) {
        instance.workers->post([this, call = std::move(call), respond = std::move(respond)] {
            handlePeer(call, respond);
        });
    };
    auto server =
            PeerServer::create({.address = settings.address, .port = settings.peerPort}, onCall);
    if (!isOk(server))
        return StartError{StartFailure::PeerListener, error(server).detail};
    peerServer = std::move(value(server));
    return std::nullopt;
}

std::optional<StartError> Daemon::Impl::listenForOperators()
{
    const auto &settings = instance.settings;
    auto server = HttpServer::create(
            {.address = settings.address, .port = settings.operatorPort, .threads = 1},
            [this](ServerRequest request, Responder respond) {
                services.operators.handle(std::move(request), std::move(respond));
            });
    if (!isOk(server))
        return StartError{StartFailure::OperatorListener, error(server).detail};
    operatorServer = std::move(value(server));
    return std::nullopt;
}

void Daemon::Impl::startServices()
{
    services.members.onHigherRevision(
            [this](std::uint64_t) { services.configuration.fetchFromPeers(); });
    services.configuration.start();
    services.brokers.start();
    services.members.start();
    services.steering.start();
    services.lookUps.start();
}

std::optional<StartError> Daemon::Impl::listenForCallers()
{
    const auto &settings = instance.settings;
    auto server =
            HttpServer::create({.address = settings.address,
                                .port = settings.callerPort,
                                .threads = internal::serverThreads,
                                .maxBodyBytes = settings.maxBodyBytes,
                                .maxConnections = settings.maxConnections},
                               [this](ServerRequest request, Responder respond) {
                                   services.callers.handle(std::move(request), std::move(respond));
                               });
    if (!isOk(server))
        return StartError{StartFailure::CallerListener, error(server).detail};
    callerServer = std::move(value(server));
    return std::nullopt;
}

Daemon::Daemon(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) { }

Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>, StartError> Daemon::create(const Settings &settings)
{
    const auto incarnation = formatIncarnation(randomNumber(), randomNumber());
    auto impl = std::make_unique<Impl>(settings, incarnation);
    if (auto failure = impl->openClients())
        return std::move(*failure);
    if (auto failure = impl->listenForPeers())
        return std::move(*failure);
    if (auto failure = impl->listenForOperators())
        return std::move(*failure);
    impl->startServices();
    if (auto failure = impl->listenForCallers())
        return std::move(*failure);
    logEvent(
            Event::Started,
            {{"zone", settings.zone}, {"address", settings.address}, {"incarnation", incarnation}});
    return std::unique_ptr<Daemon>(new Daemon(std::move(impl)));
}

void Daemon::shutDown()
{
    auto &instance = impl_->instance;
    logEvent(Event::Stopping, {});
    impl_->services.members.beginLeaving();
    std::this_thread::sleep_for(instance.settings.lookUpTtl + internal::lookUpMargin);

    const auto rolesGivenUp = std::make_shared<std::promise<void>>();
    impl_->services.brokers.relinquishRoles([rolesGivenUp] { rolesGivenUp->set_value(); });
    rolesGivenUp->get_future().wait_for(internal::storeGrace);

    const auto giveUpAt = Clock::now() + internal::longestDrain;
    while (impl_->services.callers.inFlight() > 0 && Clock::now() < giveUpAt)
        std::this_thread::sleep_for(internal::drainPoll);

    const auto leaseEnded = std::make_shared<std::promise<void>>();
    auto ended = leaseEnded->get_future();
    impl_->services.members.endLease([leaseEnded] { leaseEnded->set_value(); });
    ended.wait_for(internal::storeGrace);
    logEvent(Event::Stopped, {{"in-flight", impl_->services.callers.inFlight()}});
}

} // namespace chestnutvane
