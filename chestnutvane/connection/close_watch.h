// Tells the handler of a request that its peer closed the connection before the answer.
//
// The socket of the connection sees the close and the handler knows the request; they find each
// other by the address of the peer in CloseWatches, a service of the server's io_context.
//
// Example:
//
//   request.closeWatch->onClose([flow] { flow->cancel(); });
//
// Thread-safe.
#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace chestnutvane {

class CloseWatch
{
public:
    // Sets what to do on a close before the answer; called at most once, on a thread of the server,
    // or at once if the connection is closed already.
    void onClose(std::function<void()> callback);

    void notify();

private:
    std::mutex mutex_; // guards both; the callback runs without it
    bool closed_ = false;
    std::function<void()> callback_;
};

// The watches of the requests that are being handled, one for each connection.
class CloseWatches : public asio::execution_context::service
{
public:
    using Peer = asio::ip::tcp::endpoint;

    inline static asio::execution_context::id id; // NOLINT: Asio looks for this name

    explicit CloseWatches(asio::execution_context &context) : service(context) { }

    // Makes the watch of a request; call it before the socket of the connection may see a close.
    std::shared_ptr<CloseWatch> add(const Peer &peer);

    // Ends the watch of an answered request.
    void remove(const Peer &peer, const std::shared_ptr<CloseWatch> &watch);

    // Notifies the watch of a closed connection, if there is one.
    void notify(const Peer &peer);

private:
    void shutdown() override { }

    std::mutex mutex_;
    std::map<Peer, std::shared_ptr<CloseWatch>> watches_;
};

} // namespace chestnutvane
