// A stand-in for the platform's key-value service as a program; see store_routes.h.

#include <tclap/CmdLine.h>

#include "testing/run_until_stopped.h"
#include "testing/store_routes.h"

namespace chestnutvane {
namespace {

int serve(const std::string &address, int port)
{
    blockStopSignals(); // before the routes start their workers
    StoreRoutes store;
    return runUntilStopped("store_standin",
                           {.address = address,
                            .port = static_cast<std::uint16_t>(port),
                            .threads = 1,
                            .maxBodyBytes = 4U << 20U},
                           [&store](ServerRequest request, Responder respond) {
                               store.handle(std::move(request), std::move(respond));
                           });
}

} // namespace
} // namespace chestnutvane

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("A stand-in for the platform's key-value service", ' ', "1");
    const TCLAP::ValueArg<std::string> address("", "address", "IP address", false, "127.0.0.1",
                                               "IP", command);
    const TCLAP::ValueArg<int> port("", "port", "Port", true, 0, "port", command);
    command.parse(argc, argv);
    return chestnutvane::serve(address.getValue(), port.getValue());
}
