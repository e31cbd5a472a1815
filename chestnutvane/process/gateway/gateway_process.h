// A gateway process: its listeners, its feed from the store, its link to the other instances, and
// its graceful shutdown.
//
// Example:
//
//   auto process = GatewayProcess::create(io, settings, platform, client);
//   io.run(); // returns when the shutdown is complete
//
// Not thread-safe: everything runs on the io_context's single thread.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/signal_set.hpp>

#include "chestnutvane/connection/caller_connection.h"
#include "chestnutvane/connection/http_client.h"
#include "chestnutvane/process/gateway/directory.h"
#include "chestnutvane/process/gateway/fleet_link.h"
#include "chestnutvane/process/gateway/gateway.h"
#include "chestnutvane/process/gateway/store/learned_state_persister.h"
#include "chestnutvane/process/gateway/store/store_feed.h"
#include "chestnutvane/process/owner_thread.h"

namespace chestnutvane {

// The platform-specific parts: the store, its data formats, and the encoding of directory requests.
struct GatewayPlatform
{
    Store store;
    FeedFormat format;
    // Decodes a directory request from path and query; returns nothing for any other request.
    std::function<std::optional<DirectoryQuery>(std::string_view target)> decodeQuery;
    // Encodes the body of the response to a directory request.
    std::function<std::string(const std::vector<std::string> &addresses, Milliseconds ttl)>
            encodeAddresses;
};

class GatewayProcess
{
public:
    // The client and the io_context must outlive the process object.
    static Result<std::unique_ptr<GatewayProcess>, ListenError>
    create(net::io_context &io, const GatewaySettings &settings, GatewayPlatform platform,
           HttpClient &client);

    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    // Begins a graceful shutdown; stops the io_context when it is complete.
    void stop();

private:
    GatewayProcess(net::io_context &io, const GatewaySettings &settings, GatewayPlatform platform,
                   HttpClient &client);

    [[nodiscard]] std::optional<ListenError> listen();
    [[nodiscard]] CallerGuards guardsOf(std::string_view port, std::size_t maxConnections) const;
    [[nodiscard]] HeadVerdict checkHead(const HttpRequestMessage &head);
    void countRefusal(std::string_view port, const std::string &caller, http::status status);
    [[nodiscard]] bool isReady() const;
    void answerReadiness(Call call) const;
    void answerDirectory(Call call);
    void answerMetrics(Call call);
    [[nodiscard]] const std::string &packedLists();
    [[nodiscard]] std::vector<DirectoryInstance> instances() const;
    // Whether a report of another instance has arrived within FleetView::livenessTimeout.
    [[nodiscard]] bool hasLivePeer() const;
    // Whether this instance should have received reports of others by now and has not.
    [[nodiscard]] bool hearsNobody() const;
    [[nodiscard]] FeedCallbacks feedCallbacks();
    void updateState();
    void waitForSignal();
    [[nodiscard]] LearnedStateCallbacks learnedStateCallbacks();
    void applyPendingLearnedStates();
    void electReader();
    void fetchFeedFromPeer();
    void requestFeed(const PeerIdentity &peer);
    void onFeedResponse(const std::string &peer, BootTime requestedAt,
                        const Result<HttpResponse, HttpError> &answer);
    void updateHealthMetrics();
    void tick();
    void checkShutdown();

    net::io_context &io_;
    GatewaySettings settings_;
    GatewayPlatform platform_;
    HttpClient &client_;
    PeerIdentity self_;
    std::shared_ptr<CallerMemory> callerMemory_; // of all listeners
    Metrics metrics_;
    Gateway gateway_;
    StoreFeed feed_;
    LearnedStatePersister learnedStatePersister_;
    // One for each region; applied once the targets are known.
    std::vector<LearnedState> pendingLearnedStates_;
    std::unique_ptr<FleetLink> link_;
    std::shared_ptr<CallerListener> callerListener_;
    std::shared_ptr<CallerListener> readinessListener_;
    std::shared_ptr<CallerListener> directoryListener_;
    std::shared_ptr<CallerListener> metricsListener_;
    net::signal_set signals_;
    net::steady_timer tickTimer_;
    net::steady_timer shutdownTimer_;
    TimePoint startedAt_ = Clock::now();
    BootTime listReadStart_; // of the list of instances that the link has
    bool listHasCurrentLeases_ = false;
    bool targetsKnown_ = false;
    bool feedRequestInFlight_ = false;
    std::string lastFeedPeer_; // the peer that was asked last during start-up
    std::string packedLists_; // for the responses to feed requests of peers
    // Fingerprints of the lists in packedLists_.
    std::array<std::uint64_t, 4> packedIdentity_{}; // fingerprints and eras of the packed lists
    std::optional<TimePoint> stoppingSince_;
    OwnerThread owner_; // the last member, so that it is destroyed first
};

} // namespace chestnutvane
