#include "command/poco_http_client.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <istream>
#include <ostream>

namespace egretstile::cli {

namespace {

http_response exchange(Poco::Net::HTTPClientSession& session, const http_request& request) {
    Poco::Net::HTTPRequest header(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
    header.setHost(request.server.host, request.server.port);
    if (!request.token.empty()) {
        header.setCredentials("Bearer", request.token);
    }
    if (!request.content_type.empty()) {
        header.setContentType(request.content_type);
    }
    header.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    session.sendRequest(header) << request.body;

    Poco::Net::HTTPResponse response_header;
    std::istream& stream = session.receiveResponse(response_header);
    http_response response;
    response.status = static_cast<int>(response_header.getStatus());
    response.outcome = response_header.get("Egretstile-Outcome", "");
    Poco::StreamCopier::copyToString(stream, response.body);
    // When the connection is lost, the stream ends early without an exception.
    if (response_header.hasContentLength() &&
        response.body.size() != static_cast<std::size_t>(response_header.getContentLength64())) {
        throw Poco::Net::NetException("connection closed before the end of the response body");
    }
    return response;
}

} // namespace

poco_http_client::poco_http_client(std::chrono::milliseconds timeout)
    : timeout_(timeout) {}

std::variant<http_response, http_failure> poco_http_client::send(const http_request& request) {
    const Poco::Timespan timeout(std::chrono::microseconds(timeout_).count());
    Poco::Net::StreamSocket socket;
    try {
        socket.connect(Poco::Net::SocketAddress(request.server.host, request.server.port), timeout);
    } catch (const Poco::Exception& error) {
        return http_failure{http_failure_kind::not_sent, error.displayText()};
    }
    try {
        Poco::Net::HTTPClientSession session(socket);
        session.setTimeout(timeout);
        return exchange(session, request);
    } catch (const Poco::Exception& error) {
        return http_failure{http_failure_kind::no_response, error.displayText()};
    }
}

} // namespace egretstile::cli
