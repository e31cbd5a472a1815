#include "chestnutvane/connection/http_server.h"

#include <restinio/all.hpp>

#include <thread>

#include "chestnutvane/connection/refusing_socket.h"

namespace chestnutvane {
namespace internal {
namespace {

struct ServerTraits : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                                         restinio::default_request_handler_t,
                                         restinio::default_strand_t, RefusingSocket>
{
    // NOLINTNEXTLINE(readability-identifier-naming): RESTinio looks for this name
    static constexpr bool use_connection_count_limiter = true;
};

using Server = restinio::http_server_t<ServerTraits>;

// Between the body limit and this factor of it a request is read whole and refused with 413. A body
// above it is refused by RefusingSocket in the middle of the transfer.
constexpr std::uint64_t readFactor = 2;
constexpr std::size_t maxUrlBytes = 8192;
constexpr std::size_t maxHeaderFields = 64;
constexpr std::size_t maxHeaderBytes = 8192;

ServerRequest toServerRequest(const restinio::request_handle_t &request)
{
    ServerRequest result;
    const auto &header = request->header();
    result.method = header.method().c_str();
    result.path.assign(header.path().data(), header.path().size());
    result.query.assign(header.query().data(), header.query().size());
    header.for_each_field([&result](const auto &field) {
        result.headers.push_back({field.name(), field.value()});
    });
    result.body = request->body();
    result.remoteAddress = request->remote_endpoint().address().to_string();
    result.remotePort = request->remote_endpoint().port();
    return result;
}

restinio::http_status_line_t statusLine(int status)
{
    return restinio::http_status_line_t{
            restinio::http_status_code_t{static_cast<std::uint16_t>(status)}, "Status"};
}

// Announces more bytes than it sends and closes, so that the peer sees a cut answer.
void abortConnection(const restinio::request_handle_t &request)
{
    constexpr std::size_t announcedBytes = 1024;
    auto response = request->create_response<restinio::user_controlled_output_t>(statusLine(200));
    response.set_content_length(announcedBytes);
    response.append_header("Content-Type", "application/octet-stream");
    response.append_body(std::string("x"));
    response.connection_close();
    response.done();
}

void sendResponse(const restinio::request_handle_t &request, ServerResponse response)
{
    if (response.abort) {
        abortConnection(request);
        return;
    }
    auto builder = request->create_response(statusLine(response.status));
    for (auto &[name, text] : response.headers)
        builder.append_header(std::move(name), std::move(text));
    if (response.closeConnection)
        builder.connection_close();
    builder.set_body(std::move(response.body));
    builder.done();
}

ServerResponse bodyTooLarge()
{
    return {.status = 413,
            .headers = {{"Vane-Outcome", "not-run"}, {"Vane-Reason", "body-too-large"}},
            .body = {},
            .closeConnection = true,
            .abort = false};
}

// Refuses a body above the limit and hands every other request on. A responder keeps the context,
// so that it may outlive the server.
auto requestHandler(Handler handler, std::size_t maxBodyBytes,
                    std::weak_ptr<asio::io_context> weakContext)
{
    return [handler = std::move(handler), maxBodyBytes,
            weakContext = std::move(weakContext)](const restinio::request_handle_t &request) {
        if (request->body().size() > maxBodyBytes) {
            sendResponse(request, bodyTooLarge());
            return restinio::request_accepted();
        }
        auto context = weakContext.lock();
        const auto peer = request->remote_endpoint();
        auto received = toServerRequest(request);
        const auto watch = asio::use_service<CloseWatches>(*context).add(peer);
        received.closeWatch = watch;
        handler(std::move(received), [context, request, peer, watch](ServerResponse response) {
            asio::use_service<CloseWatches>(*context).remove(peer, watch);
            sendResponse(request, std::move(response));
        });
        return restinio::request_accepted();
    };
}

restinio::server_settings_t<ServerTraits> serverSettings(const HttpServerOptions &options)
{
    const auto readLimit = static_cast<std::uint64_t>(options.maxBodyBytes) * readFactor;
    const auto limits = restinio::incoming_http_msg_limits_t{}
                                .max_url_size(maxUrlBytes)
                                .max_field_count(maxHeaderFields)
                                .max_field_value_size(maxHeaderBytes)
                                .max_body_size(readLimit);
    restinio::server_settings_t<ServerTraits> settings;
    settings.address(options.address)
            .port(options.port)
            .incoming_http_msg_limits(limits)
            .max_parallel_connections(options.maxConnections)
            .max_pipelined_requests(1)
            .read_next_http_message_timelimit(options.readTimeout)
            .handle_request_timeout(options.handleTimeout)
            .write_http_response_timelimit(options.handleTimeout)
            .separate_accept_and_create_connect(false);
    return settings;
}

} // namespace
} // namespace internal

struct HttpServer::Impl
{
    // Shared with the responders, which may outlive the server.
    std::shared_ptr<asio::io_context> context = std::make_shared<asio::io_context>();
    std::unique_ptr<internal::Server> server;
    std::vector<std::thread> workers;
    std::uint16_t port = 0;

    ~Impl()
    {
        context->stop();
        for (auto &worker : workers)
            worker.join();
        server.reset(); // closes the listener; no other thread runs the context any more
    }
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) { }

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const
{
    return impl_->port;
}

Result<std::unique_ptr<HttpServer>, HttpServerError> HttpServer::create(HttpServerOptions options,
                                                                        Handler handler)
{
    auto impl = std::make_unique<Impl>();
    auto settings = internal::serverSettings(options);
    settings.request_handler(internal::requestHandler(std::move(handler), options.maxBodyBytes,
                                                      impl->context))
            .acceptor_post_bind_hook([raw = impl.get()](asio::ip::tcp::acceptor &acceptor) {
                raw->port = acceptor.local_endpoint().port();
            });
    try {
        impl->server = std::make_unique<internal::Server>(
                restinio::external_io_context(*impl->context), std::move(settings));
        impl->server->open_sync();
    } catch (const std::exception &failure) {
        return HttpServerError{failure.what()};
    }
    for (int i = 0; i < options.threads; ++i)
        impl->workers.emplace_back([context = impl->context] { context->run(); });
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

} // namespace chestnutvane
