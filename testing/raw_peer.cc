#include "testing/raw_peer.h"

#include <poll.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

namespace chestnutvane {
namespace {

using Error = boost::system::error_code;
using Timer = std::chrono::steady_clock;

// Waits until the socket can be read; false if the time is over before.
bool waitReadable(Tcp::socket &socket, Timer::time_point until)
{
    const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - Timer::now()).count();
    if (left <= 0)
        return false;
    pollfd entry{socket.native_handle(), POLLIN, 0};
    return poll(&entry, 1, static_cast<int>(left)) > 0;
}

} // namespace

RawClient::RawClient(std::uint16_t port) : io_(std::make_shared<net::io_context>()), socket_(*io_)
{
    socket_.connect(Tcp::endpoint(net::ip::address_v4::loopback(), port));
}

RawClient::RawClient(const std::string &ip, std::uint16_t port)
    : io_(std::make_shared<net::io_context>()), socket_(*io_)
{
    socket_.connect(Tcp::endpoint(net::ip::make_address(ip), port));
}

RawClient::RawClient(std::shared_ptr<net::io_context> io, Tcp::socket socket)
    : io_(std::move(io)), socket_(std::move(socket))
{ }

void RawClient::send(const std::string &bytes)
{
    Error ignored; // a peer that has gone shows at the next read
    net::write(socket_, net::buffer(bytes), ignored);
}

std::string RawClient::readUntil(const std::string &mark, std::chrono::milliseconds limit)
{
    const auto until = Timer::now() + limit;
    while (true) {
        if (const auto at = buffer_.find(mark); at != std::string::npos) {
            std::string text = buffer_.substr(0, at + mark.size());
            buffer_.erase(0, at + mark.size());
            return text;
        }
        char bytes[4096];
        Error failure;
        if (!waitReadable(socket_, until))
            return std::exchange(buffer_, {});
        const std::size_t count = socket_.read_some(net::buffer(bytes), failure);
        if (failure)
            return std::exchange(buffer_, {});
        buffer_.append(bytes, count);
    }
}

std::string RawClient::read(std::size_t bytes, std::chrono::milliseconds limit)
{
    const auto until = Timer::now() + limit;
    while (buffer_.size() < bytes && waitReadable(socket_, until)) {
        char piece[4096];
        Error failure;
        const std::size_t count = socket_.read_some(net::buffer(piece), failure);
        if (failure)
            break;
        buffer_.append(piece, count);
    }
    std::string text = buffer_.substr(0, bytes);
    buffer_.erase(0, text.size());
    return text;
}

bool RawClient::waitForClose(std::chrono::milliseconds limit)
{
    const auto until = Timer::now() + limit;
    while (waitReadable(socket_, until)) {
        char bytes[4096];
        Error failure;
        socket_.read_some(net::buffer(bytes), failure);
        if (failure)
            return true;
    }
    return false;
}

void RawClient::close()
{
    Error ignored; // closing twice is no failure
    socket_.close(ignored);
}

void RawClient::closeSending()
{
    Error ignored; // a peer that has gone shows at the next read
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
}

void RawClient::reset()
{
    Error ignored;
    socket_.set_option(net::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

RawServer::RawServer(Script script)
    : acceptor_(io_, Tcp::endpoint(net::ip::address_v4::loopback(), 0)), script_(std::move(script)),
      port_(acceptor_.local_endpoint().port()), acceptThread_([this] { serve(); })
{ }

RawServer::~RawServer()
{
    stopping_ = true;
    try {
        const RawClient wake(port_); // ends the blocking accept
    } catch (const boost::system::system_error &) {
        // the accept has ended already
    }
    acceptThread_.join();
    for (auto &thread : threads_)
        thread.join();
}

void RawServer::serve()
{
    while (true) {
        const auto io = std::make_shared<net::io_context>();
        Tcp::socket socket(*io);
        Error failure;
        acceptor_.accept(socket, failure);
        if (stopping_ || failure)
            return;
        const int number = connections_++;
        auto connection = std::make_shared<RawClient>(io, std::move(socket));
        threads_.emplace_back([this, connection, number] {
            script_(*connection, number);
            connection->close();
        });
    }
}

} // namespace chestnutvane
