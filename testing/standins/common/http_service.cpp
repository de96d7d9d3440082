#include "common/http_service.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <sstream>
#include <utility>

namespace egretstile::standins {

namespace {

service_call read_call(Poco::Net::HTTPServerRequest& request, const Poco::URI& uri) {
    service_call call;
    call.method = request.getMethod();
    for (const auto& [name, value] : uri.getQueryParameters()) {
        call.query[name] = value;
    }
    for (const auto& [name, value] : request) {
        call.headers[Poco::toLower(name)] = value;
    }
    // A request with neither a length nor chunked encoding has no body; Poco would read until the
    // caller closes the connection.
    if (request.hasContentLength() || request.getChunkedTransferEncoding()) {
        Poco::StreamCopier::copyToString(request.stream(), call.body);
    }
    return call;
}

void set_header(Poco::Net::HTTPServerResponse& response, const service_answer& answer) {
    response.setStatus(std::to_string(answer.status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setContentType(answer.content_type);
    for (const auto& [name, value] : answer.headers) {
        response.set(name, value);
    }
}

void close_without_answer(Poco::Net::HTTPServerRequest& request) {
    auto& actual = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
    Poco::Net::StreamSocket socket = actual.detachSocket();
    socket.shutdown();
}

void send_truncated(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
                    const service_answer& answer) {
    response.setContentLength64(static_cast<Poco::Int64>(answer.body.size()));
    std::ostringstream header;
    response.write(header);
    const std::string sent = header.str() + answer.body.substr(0, answer.body.size() / 2);
    auto& actual = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
    Poco::Net::StreamSocket socket = actual.detachSocket();
    socket.sendBytes(sent.data(), static_cast<int>(sent.size()));
    socket.shutdown();
}

class call_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit call_handler(const route_table& routes)
        : routes_(routes) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override {
        const Poco::URI uri(request.getURI());
        // The path stays encoded here so that an encoded slash in a key is not taken for a
        // separator.
        const std::string path = request.getURI().substr(0, request.getURI().find('?'));
        const service_answer answer = routes_.dispatch(read_call(request, uri), path);
        if (answer.delivered == delivery::none) {
            close_without_answer(request);
            return;
        }
        set_header(response, answer);
        if (answer.delivered == delivery::truncated) {
            send_truncated(request, response, answer);
            return;
        }
        response.sendBuffer(answer.body.data(), answer.body.size());
    }

private:
    const route_table& routes_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(const route_table& routes)
        : routes_(routes) {}

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
        return new call_handler(routes_);
    }

private:
    const route_table& routes_;
};

constexpr int idle_timeout_s = 600;

Poco::Net::HTTPServerParams::Ptr server_parameters(int max_connections) {
    Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
    parameters->setMaxThreads(max_connections);
    parameters->setMaxQueued(max_connections);
    parameters->setKeepAlive(true);
    parameters->setKeepAliveTimeout(Poco::Timespan(idle_timeout_s, 0));
    parameters->setTimeout(Poco::Timespan(idle_timeout_s, 0));
    return parameters;
}

} // namespace

struct http_service::implementation {
    implementation(std::uint16_t port, const route_table& routes, int max_connections)
        : threads(2, max_connections)
        , server(new handler_factory(routes), threads,
                 Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", port), 512),
                 server_parameters(max_connections)) {}

    Poco::ThreadPool threads;
    Poco::Net::HTTPServer server;
};

http_service::http_service(std::uint16_t port, const route_table& routes, int max_connections)
    : implementation_(std::make_unique<implementation>(port, routes, max_connections)) {
    implementation_->server.start();
}

http_service::~http_service() {
    implementation_->server.stopAll(true);
    implementation_->threads.joinAll();
}

std::uint16_t http_service::port() const {
    return implementation_->server.port();
}

int http_service::connections() const {
    return implementation_->server.currentConnections();
}

} // namespace egretstile::standins
