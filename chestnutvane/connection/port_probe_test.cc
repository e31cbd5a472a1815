#include "chestnutvane/connection/port_probe.h"

#include <gtest/gtest.h>

#include <optional>

#include "testing/raw_peer.h"

namespace chestnutvane {
namespace {

PortState probe(const std::string &address)
{
    net::io_context io{1};
    std::optional<PortState> result;
    probePort(io, address, {.limit = Milliseconds(500)},
              [&result](PortState state) { result = state; });
    EXPECT_FALSE(result);
    io.run();
    return result.value_or(PortState::Unknown);
}

// Guards against a crash that is not noticed, and against one that is seen where none was.
TEST(PortProbeTest, OnlyARefusedConnectionTellsThatNoProcessListens)
{
    std::optional<RawServer> server;
    server.emplace([](RawClient &, int) {});
    const std::string address = server->address();
    EXPECT_EQ(probe(address), PortState::Listening);
    server.reset();
    EXPECT_EQ(probe(address), PortState::Closed);
    EXPECT_EQ(probe("nowhere"), PortState::Unknown);
}

} // namespace
} // namespace chestnutvane
