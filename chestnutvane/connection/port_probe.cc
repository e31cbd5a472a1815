#include "chestnutvane/connection/port_probe.h"

#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace chestnutvane {
namespace {

using Error = boost::system::error_code;

struct Probe
{
    Probe(net::io_context &io, std::function<void(PortState)> onEnd)
        : socket(io), timer(io), callback(std::move(onEnd))
    { }

    void finish(PortState state)
    {
        if (!callback)
            return;
        timer.cancel();
        Error ignored; // the socket is given up in any case
        socket.close(ignored);
        std::exchange(callback, nullptr)(state);
    }

    Tcp::socket socket;
    net::steady_timer timer;
    std::function<void(PortState)> callback;
};

void connect(const std::shared_ptr<Probe> &probe, const Tcp::endpoint &endpoint, Duration limit)
{
    probe->timer.expires_after(limit);
    probe->timer.async_wait([probe](const Error &ended) {
        if (!ended)
            probe->finish(PortState::Unknown);
    });
    probe->socket.async_connect(endpoint, [probe](const Error &failure) {
        if (!failure)
            probe->finish(PortState::Listening);
        else if (failure == net::error::connection_refused)
            probe->finish(PortState::Closed);
        else
            probe->finish(PortState::Unknown);
    });
}

} // namespace

void probePort(net::io_context &io, const std::string &address, const ProbeTimes &times,
               std::function<void(PortState)> callback)
{
    const auto probe = std::make_shared<Probe>(io, std::move(callback));
    probe->timer.expires_after(times.delay);
    probe->timer.async_wait(
            [probe, endpoint = parseEndpoint(address), limit = times.limit](const Error &) {
                if (!endpoint)
                    return probe->finish(PortState::Unknown);
                connect(probe, *endpoint, limit);
            });
}

} // namespace chestnutvane
