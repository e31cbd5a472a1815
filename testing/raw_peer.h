// Plain sockets for tests of what peers do wrong: a client and a server that send given bytes.
//
// Example:
//
//   RawClient client(port);
//   client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
//   std::string answer = client.readUntil("\r\n\r\n");
//
// A RawClient belongs to one thread. A RawServer runs its script on a thread of its own for each
// connection.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "chestnutvane/connection/http_types.h"

namespace chestnutvane {

// A blocking connection.
class RawClient
{
public:
    // Connects to 127.0.0.1.
    explicit RawClient(std::uint16_t port);

    // Connects to an IPv4 address. Throws boost::system::system_error if nobody listens.
    RawClient(const std::string &ip, std::uint16_t port);
    RawClient(std::shared_ptr<net::io_context> io, Tcp::socket socket);

    void send(const std::string &bytes);

    // Reads until the text ends with or contains the mark, the peer closes, or the time is over.
    std::string readUntil(const std::string &mark,
                          std::chrono::milliseconds limit = std::chrono::seconds(5));

    // Reads a number of bytes, or fewer if the peer closes or the time is over.
    std::string read(std::size_t bytes, std::chrono::milliseconds limit = std::chrono::seconds(5));

    // Waits for the peer's close or reset; false if it did not come in time.
    bool waitForClose(std::chrono::milliseconds limit = std::chrono::seconds(5));

    void close();
    void closeSending(); // reading goes on
    void reset(); // closes with a reset

private:
    std::shared_ptr<net::io_context> io_;
    Tcp::socket socket_;
    std::string buffer_; // read behind the last mark
};

// Listens on a free port of 127.0.0.1.
class RawServer
{
public:
    using Script = std::function<void(RawClient &connection, int number)>;

    explicit RawServer(Script script);
    ~RawServer();

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    [[nodiscard]] int connections() const { return connections_; }

private:
    void serve();

    net::io_context io_;
    Tcp::acceptor acceptor_;
    Script script_;
    std::uint16_t port_ = 0;
    std::atomic<int> connections_{0};
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
    std::thread acceptThread_;
};

} // namespace chestnutvane
