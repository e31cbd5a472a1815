// A stand-in for a target: slots, service time, cold start, shedding, drain, lagging or false load
// reports, crashes on a marked request, and silence on open connections. It records every run.
//
// A request carries its demands in its query: "work-ms=N" (time it takes), "size=N" (bytes of the
// answer), "crash=1" (the process ends at once). The header Vane-Key-Digest, the query value "tag"
// and the body's digest come back in the answer, so that the sender can tell crossed answers.
//
// Control: POST /control with JSON {"silent": bool, "leaving": bool, "load": number or null,
// "shed": bool, "silence-open": true}; GET /control/records returns the runs.
//
// "silence-open" takes the connections that have carried a run so far: they stay open and carry no
// further answer, while new connections work.
//
// With --log-runs it prints "run MS TAG" at the start of each run and "crash MS TAG" before it
// crashes, with the time on the monotonic clock. These lines outlive the process.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <atomic>
#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/connection/http_server.h"
#include "chestnutvane/connection/query_string.h"
#include "chestnutvane/process/workers.h"
#include "testing/run_until_stopped.h"

namespace chestnutvane {
namespace {

using nlohmann::json;

struct Options
{
    std::string address;
    std::uint16_t port = 0;
    int slots = 3;
    Milliseconds coldTime{0};
    std::string name;
    bool logRuns = false;
};

std::int64_t monotonicMs()
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count();
}

class TargetStandin
{
public:
    explicit TargetStandin(Options options)
        : options_(std::move(options)),
          startId_(fmt::format(
                  "{:016x}",
                  hash64(options_.name,
                         static_cast<std::uint64_t>(Clock::now().time_since_epoch().count())))),
          startedAt_(Clock::now())
    { }

    void handle(ServerRequest request, Responder respond)
    {
        if (request.path == "/health")
            respond(health());
        else if (request.path == "/control")
            respond(control(request.body));
        else if (request.path == "/control/records")
            respond(records());
        else
            run(std::move(request), std::move(respond));
    }

private:
    struct Switches
    {
        bool silent = false;
        bool leaving = false;
        bool shed = false;
        std::optional<double> load;
    };

    ServerResponse health()
    {
        const std::lock_guard lock(mutex_);
        const double load = switches_.load.value_or(static_cast<double>(running_) / options_.slots);
        return {.status = 200,
                .headers = {{"Vane-Start-Id", startId_}},
                .body = json{{"load", load}, {"leaving", switches_.leaving}}.dump()};
    }

    ServerResponse control(const std::string &body)
    {
        const auto change = json::parse(body, nullptr, false);
        if (!change.is_object())
            return {.status = 400};
        const std::lock_guard lock(mutex_);
        switches_.silent = change.value("silent", switches_.silent);
        if (change.value("silence-open", false))
            silencedConnections_.merge(openConnections_);
        switches_.leaving = change.value("leaving", switches_.leaving);
        switches_.shed = change.value("shed", switches_.shed);
        if (const auto load = change.find("load"); load != change.end())
            switches_.load =
                    load->is_null() ? std::nullopt : std::optional<double>(load->get<double>());
        return {.status = 204};
    }

    ServerResponse records()
    {
        const std::lock_guard lock(mutex_);
        return {.status = 200,
                .body = json{{"name", options_.name},
                             {"start-id", startId_},
                             {"runs", runs_},
                             {"most-running", mostRunning_},
                             {"above-slots", aboveSlots_},
                             {"shed", shed_},
                             {"cancelled", cancelled_},
                             {"last-start-ms", lastStartMs_},
                             {"last-end-ms", lastEndMs_},
                             {"by-tag", byTag_},
                             {"cancelled-by-tag", cancelledByTag_}}
                                .dump()};
    }

    void run(ServerRequest request, Responder respond)
    {
        const auto tag = queryValue(request.query, "tag");
        if (queryValue(request.query, "crash") == "1") {
            logLine("crash", tag);
            std::_Exit(3);
        }
        Milliseconds work{0};
        if (const auto text = queryValue(request.query, "work-ms"); !text.empty())
            work = Milliseconds(std::stol(text));
        {
            const std::lock_guard lock(mutex_);
            if (switches_.shed) {
                ++shed_;
                std::vector<HttpHeader> headers{{"Vane-Not-Run", "1"}};
                if (const auto *id = findHeader(request.headers, "Vane-Request-Id"))
                    headers.push_back({"Vane-Request-Id", *id});
                respond({.status = 503, .headers = std::move(headers)});
                return;
            }
            openConnections_.insert(request.remotePort);
            ++runs_;
            ++running_;
            mostRunning_ = std::max(mostRunning_, running_);
            if (running_ > options_.slots)
                ++aboveSlots_;
            if (!tag.empty())
                ++byTag_[tag];
            logLine("run", tag);
            lastStartMs_ = sinceStart();
        }
        if (sinceStart() < options_.coldTime.count())
            work *= 3; // caches are cold
        // Set by the end of the work or by the sender's close, whichever comes first.
        auto ended = std::make_shared<std::atomic<bool>>(false);
        request.closeWatch->onClose([this, ended, tag] { cancel(*ended, tag); });
        workers_.after(
                work,
                [this, request = std::move(request), respond = std::move(respond), tag, ended] {
                    if (!ended->exchange(true))
                        end(request, respond, tag);
                });
    }

    void cancel(std::atomic<bool> &ended, const std::string &tag)
    {
        if (ended.exchange(true))
            return;
        const std::lock_guard lock(mutex_);
        --running_;
        ++cancelled_;
        if (!tag.empty())
            ++cancelledByTag_[tag];
    }

    void end(const ServerRequest &request, const Responder &respond, const std::string &tag)
    {
        bool silent = false;
        {
            const std::lock_guard lock(mutex_);
            --running_;
            lastEndMs_ = monotonicMs();
            silent = switches_.silent || silencedConnections_.contains(request.remotePort);
            if (silent) // the server closes a connection whose responder is gone
                heldBack_.push_back(respond);
        }
        if (silent)
            return; // the connection stays open without an answer
        std::size_t size = 0;
        if (const auto text = queryValue(request.query, "size"); !text.empty())
            size = std::stoul(text);
        std::vector<HttpHeader> headers{
                {"Answer-Tag", tag},
                {"Answer-Target", options_.name},
                {"Answer-Body-Digest", fmt::format("{:016x}", hash64(request.body))}};
        if (const auto *id = findHeader(request.headers, "Vane-Request-Id"))
            headers.push_back({"Vane-Request-Id", *id});
        std::string body = tag;
        body.resize(std::max(size, tag.size()), '.');
        respond({.status = 200, .headers = std::move(headers), .body = std::move(body)});
    }

    void logLine(std::string_view what, const std::string &tag) const
    {
        if (options_.logRuns)
            std::cout << fmt::format("{} {} {}\n", what, monotonicMs(), tag) << std::flush;
    }

    std::int64_t sinceStart() const
    {
        return std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt_).count();
    }

    const Options options_;
    const std::string startId_;
    const TimePoint startedAt_;
    Workers workers_{2};
    std::mutex mutex_; // guards all below
    Switches switches_;
    int running_ = 0;
    int mostRunning_ = 0;
    std::uint64_t runs_ = 0;
    std::uint64_t aboveSlots_ = 0;
    std::uint64_t shed_ = 0;
    std::uint64_t cancelled_ = 0; // runs that ended because the sender closed the connection
    std::int64_t lastStartMs_ = 0; // since the start of the process
    std::int64_t lastEndMs_ = 0; // on the monotonic clock, which all processes share
    std::map<std::string, int> byTag_; // runs
    std::map<std::string, int> cancelledByTag_;
    std::vector<Responder> heldBack_;
    std::set<std::uint16_t> openConnections_; // by the sender's port
    std::set<std::uint16_t> silencedConnections_;
};

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine command("A stand-in for a target", ' ', "1");
    const TCLAP::ValueArg<std::string> address("", "address", "IP address", false, "127.0.0.1",
                                               "IP", command);
    const TCLAP::ValueArg<int> port("", "port", "Port", true, 0, "port", command);
    const TCLAP::ValueArg<int> slots("", "slots", "Slots", false, 3, "count", command);
    const TCLAP::ValueArg<int> cold("", "cold-ms", "Time with cold caches after the start", false,
                                    0, "ms", command);
    const TCLAP::ValueArg<std::string> name("", "name", "Name", false, "target", "name", command);
    const TCLAP::SwitchArg logRuns("", "log-runs", "Print each run", command);
    command.parse(argc, argv);
    return {address.getValue(), static_cast<std::uint16_t>(port.getValue()),
            slots.getValue(),   Milliseconds(cold.getValue()),
            name.getValue(),    logRuns.getValue()};
}

int serve(const Options &options)
{
    blockStopSignals(); // before the stand-in starts its workers
    TargetStandin target(options);
    return runUntilStopped("target_standin",
                           {.address = options.address, .port = options.port, .threads = 1},
                           [&target](ServerRequest request, Responder respond) {
                               target.handle(std::move(request), std::move(respond));
                           });
}

} // namespace
} // namespace chestnutvane

int main(int argc, char **argv)
{
    return chestnutvane::serve(chestnutvane::parseOptions(argc, argv));
}
