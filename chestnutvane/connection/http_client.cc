#include "chestnutvane/connection/http_client.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "chestnutvane/connection/http_exchange.h"

namespace chestnutvane {
namespace internal {
namespace {

// libcurl measures the lifetime of connections in whole seconds. For this long after connections
// were abandoned, an exchange opens a new one, because the lifetime cannot tell them apart.
constexpr std::chrono::seconds abandonGuard{2};
constexpr int maxPollMs = 1000;
constexpr int silencePollMs = 20;

} // namespace
} // namespace internal

struct HttpClient::Impl
{
    using Exchange = internal::HttpExchange;

    HttpClientOptions options;
    CURLM *multi = nullptr;
    std::atomic<SendId> nextId{1};

    std::mutex mutex; // guards the members up to "stopping"
    std::deque<std::unique_ptr<Exchange>> added;
    std::deque<SendId> cancelled;
    std::unordered_map<std::string, TimePoint> abandonedAt; // by "host:port"
    bool stopping = false;

    // The client's thread only.
    AnswerMemory answerMemory{maxBufferedResponses};
    std::unordered_map<SendId, std::unique_ptr<Exchange>> running;
    std::thread thread;

    ~Impl()
    {
        {
            const std::lock_guard lock(mutex);
            stopping = true;
        }
        if (thread.joinable()) {
            curl_multi_wakeup(multi);
            thread.join();
        }
        if (multi != nullptr)
            curl_multi_cleanup(multi);
    }

    void run()
    {
        while (takeCommands()) {
            int active = 0;
            curl_multi_perform(multi, &active);
            finishExchanges();
            const bool watching = reportSilence();
            const int untilStalled = endStalledExchanges();
            curl_multi_poll(multi, nullptr, 0,
                            std::min(watching ? internal::silencePollMs : internal::maxPollMs,
                                     untilStalled),
                            nullptr);
        }
        while (!running.empty())
            finish(running.begin()->first, [](Exchange &exchange) {
                return internal::exchangeError(HttpFailure::ShuttingDown, exchange,
                                               "shutting down");
            });
    }

    // Starts and cancels what was asked for. Returns false when the client is being destroyed.
    bool takeCommands()
    {
        std::deque<std::unique_ptr<Exchange>> start;
        std::deque<SendId> stop;
        bool keepRunning = true;
        {
            const std::lock_guard lock(mutex);
            start.swap(added);
            stop.swap(cancelled);
            keepRunning = !stopping;
        }
        for (auto &exchange : start)
            begin(std::move(exchange));
        for (const SendId id : stop)
            finish(id, [](Exchange &exchange) {
                return internal::exchangeError(HttpFailure::Cancelled, exchange, "cancelled");
            });
        return keepRunning;
    }

    void begin(std::unique_ptr<Exchange> exchange)
    {
        if (!internal::prepareExchange(*exchange, options.maxIdleAge, answerMemory)) {
            exchange->callback(internal::exchangeError(HttpFailure::BadRequest, *exchange,
                                                       "libcurl has no handle"));
            return;
        }
        applyAbandonment(*exchange);
        CURL *easy = exchange->easy;
        running.emplace(exchange->id, std::move(exchange));
        curl_multi_add_handle(multi, easy);
    }

    void applyAbandonment(Exchange &exchange)
    {
        const std::lock_guard lock(mutex);
        if (abandonedAt.empty())
            return;
        constexpr std::string_view scheme = "http://";
        const std::string_view rest = std::string_view(exchange.request.url).substr(scheme.size());
        const auto entry = abandonedAt.find(std::string(rest.substr(0, rest.find('/'))));
        if (entry == abandonedAt.end())
            return;
        const auto age = Clock::now() - entry->second;
        if (age > options.maxIdleAge + internal::abandonGuard) {
            abandonedAt.erase(entry);
        } else if (age < internal::abandonGuard) {
            curl_easy_setopt(exchange.easy, CURLOPT_FRESH_CONNECT, 1L);
        } else {
            const auto lifetime = std::chrono::duration_cast<std::chrono::seconds>(age).count() - 1;
            curl_easy_setopt(exchange.easy, CURLOPT_MAXLIFETIME_CONN, static_cast<long>(lifetime));
        }
    }

    void finishExchanges()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            Exchange *exchange = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &exchange);
            const CURLcode code = message->data.result;
            finish(exchange->id,
                   [code](Exchange &done) { return internal::exchangeResult(code, done); });
        }
    }

    template <class MakeResult>
    void finish(SendId id, MakeResult makeResult)
    {
        const auto entry = running.find(id);
        if (entry == running.end())
            return;
        const auto exchange = std::move(entry->second);
        running.erase(entry);
        Result<HttpResponse, HttpError> result = makeResult(*exchange);
        curl_multi_remove_handle(multi, exchange->easy);
        exchange->callback(std::move(result));
    }

    // Ends the exchanges whose progressTimeout has passed. Returns the milliseconds until the next
    // one may have to end.
    int endStalledExchanges()
    {
        const auto now = Clock::now();
        Milliseconds untilNext{internal::maxPollMs};
        std::vector<SendId> stalled;
        for (const auto &[id, exchange] : running) {
            if (exchange->request.progressTimeout.count() <= 0)
                continue;
            const auto left = std::chrono::ceil<Milliseconds>(
                    exchange->lastProgress + exchange->request.progressTimeout - now);
            if (left.count() <= 0)
                stalled.push_back(id);
            else
                untilNext = std::min(untilNext, left);
        }
        for (const SendId id : stalled)
            finish(id, [](Exchange &exchange) {
                const HttpFailure failure =
                        exchange.requestStarted ? HttpFailure::Timeout : HttpFailure::ConnectFailed;
                return internal::exchangeError(
                        failure, exchange,
                        "no byte moved for "
                                + std::to_string(exchange.request.progressTimeout.count()) + " ms, "
                                + std::to_string(exchange.response.body.size())
                                + " bytes of the body had come");
            });
        return static_cast<int>(untilNext.count());
    }

    // Calls onSilence where it is due. Returns whether an exchange must still be watched.
    bool reportSilence()
    {
        bool watching = false;
        const auto now = Clock::now();
        for (auto &[id, exchange] : running) {
            if (exchange->request.silenceLimit.count() <= 0 || exchange->silenceReported
                || exchange->firstByteSeen)
                continue;
            watching = true;
            if (exchange->requestStarted
                && now - exchange->requestStart >= exchange->request.silenceLimit) {
                exchange->silenceReported = true;
                if (exchange->request.onSilence)
                    exchange->request.onSilence();
            }
        }
        return watching;
    }
};

HttpClient::HttpClient(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) { }

HttpClient::~HttpClient() = default;

Result<std::unique_ptr<HttpClient>, HttpClientError> HttpClient::create(HttpClientOptions options)
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (initialised != CURLE_OK)
        return HttpClientError{curl_easy_strerror(initialised)};
    auto impl = std::make_unique<Impl>();
    impl->options = options;
    impl->multi = curl_multi_init();
    if (impl->multi == nullptr)
        return HttpClientError{"libcurl has no multi handle"};
    curl_multi_setopt(impl->multi, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(options.maxIdleConnections));
    impl->thread = std::thread([raw = impl.get()] { raw->run(); });
    return std::unique_ptr<HttpClient>(new HttpClient(std::move(impl)));
}

HttpClient::SendId HttpClient::send(HttpRequest request, Callback callback)
{
    auto exchange = std::make_unique<internal::HttpExchange>();
    exchange->id = impl_->nextId++;
    exchange->request = std::move(request);
    exchange->callback = std::move(callback);
    const SendId id = exchange->id;
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->added.push_back(std::move(exchange));
    }
    curl_multi_wakeup(impl_->multi);
    return id;
}

void HttpClient::cancel(SendId id)
{
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->cancelled.push_back(id);
    }
    curl_multi_wakeup(impl_->multi);
}

void HttpClient::abandonConnections(const std::string &authority)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->abandonedAt[authority] = Clock::now();
}

} // namespace chestnutvane
